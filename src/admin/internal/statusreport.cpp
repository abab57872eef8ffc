#include "admin/statusreport.h"

#include "config/versiontext.h"

#include <boost/json/array.hpp>
#include <boost/json/object.hpp>
#include <boost/json/serialize.hpp>

#include <algorithm>
#include <map>
#include <set>
#include <utility>

namespace oriolerill::admin {

namespace json = boost::json;
using config::ConfigSnapshot;
using membership::EndpointRecord;
using membership::MembershipSnapshot;

namespace {

json::value toValue(const std::optional<std::uint32_t> &count)
{
    return count ? json::value(*count) : json::value(nullptr);
}

std::string_view stateName(protocol::EndpointState state)
{
    switch (state) {
    case protocol::ENDPOINT_STATE_STARTING:
        return "starting";
    case protocol::ENDPOINT_STATE_SERVING:
        return "serving";
    case protocol::ENDPOINT_STATE_SWITCHING:
        return "switching";
    case protocol::ENDPOINT_STATE_LEAVING:
        return "leaving";
    case protocol::ENDPOINT_STATE_SUSPECT:
        return "suspect";
    case protocol::ENDPOINT_STATE_DEAD:
        return "dead";
    default:
        return "unknown";
    }
}

RolloutProgress localProgress(const config::Rollout &rollout, const MembershipSnapshot &members)
{
    RolloutProgress progress;
    std::uint32_t ready = 0;
    std::uint32_t switching = 0;
    std::uint32_t total = 0;
    for (const EndpointRecord &endpoint : members.endpoints) {
        if (endpoint.service != rollout.service)
            continue;
        ++total;
        progress.serving += endpoint.isServing() ? 1 : 0;
        switching += endpoint.state == protocol::ENDPOINT_STATE_SWITCHING ? 1 : 0;
        if (endpoint.isServing() && endpoint.activeDigest == rollout.manifest)
            ++ready;
    }
    progress.ready = ready;
    progress.switching = switching;
    progress.total = total;
    return progress;
}

/// A summary lists the digests in use, but not how many endpoints use each of them.
RolloutProgress remoteProgress(const config::Rollout &rollout,
        const domain::DataCentreId &dataCentre, const MembershipSnapshot &members)
{
    RolloutProgress progress;
    const auto summary = members.summaries.find(dataCentre);
    if (summary == members.summaries.end())
        return progress;
    const auto service = summary->second.services.find(rollout.service);
    if (service == summary->second.services.end()) {
        progress.ready = 0;
        return progress;
    }
    progress.serving = service->second.serving;
    const std::set<domain::Digest> &digests = service->second.activeDigests;
    // Without a serving endpoint, all of them may be switching to the rollout's digest.
    if (progress.serving == 0)
        return progress;
    if (!digests.contains(rollout.manifest))
        progress.ready = 0;
    else if (digests.size() == 1)
        progress.ready = progress.serving;
    return progress;
}

std::set<domain::DataCentreId> dataCentresOf(const MembershipSnapshot &members)
{
    std::set<domain::DataCentreId> ids = {members.ownDataCentre};
    for (const auto &[id, summary] : members.summaries)
        ids.insert(id);
    return ids;
}

json::object toObject(const RolloutStatus &rollout)
{
    json::array dataCentres;
    for (const RolloutProgress &progress : rollout.dataCentres) {
        dataCentres.push_back({{"dataCentre", progress.dataCentre.value()},
                {"ready", toValue(progress.ready)}, {"switching", toValue(progress.switching)},
                {"serving", progress.serving}, {"total", toValue(progress.total)}});
    }
    return {{"name", rollout.id.value()}, {"service", rollout.service.value()},
            {"manifest", rollout.manifest.hex()}, {"version", config::toText(rollout.version)},
            {"superseded", rollout.isSuperseded}, {"complete", rollout.isComplete()},
            {"dataCentres", std::move(dataCentres)}};
}

json::object toObject(const DataCentreStatus &dataCentre)
{
    return {{"name", dataCentre.id.value()}, {"region", dataCentre.region.value()},
            {"withdrawn", dataCentre.isWithdrawn}, {"reason", dataCentre.reason},
            {"fresh", dataCentre.isFresh}, {"serving", dataCentre.serving},
            {"inFlight", dataCentre.inFlight}};
}

json::object toObject(const EntryStatus &entry)
{
    return {{"name", entry.id.value()}, {"dataCentre", entry.dataCentre.value()},
            {"alive", entry.isAlive}, {"leaving", entry.isLeaving},
            {"watermark",
                    entry.watermark ? json::value(config::toText(*entry.watermark))
                                    : json::value(nullptr)},
            {"inForce", entry.hasVersion}};
}

json::object toObject(const EndpointRecord &endpoint)
{
    const bool hasDigest = !endpoint.activeDigest.isNone();
    return {{"name", endpoint.id.value()}, {"service", endpoint.service.value()},
            {"state", std::string(stateName(endpoint.state))},
            {"digest", hasDigest ? json::value(endpoint.activeDigest.hex()) : json::value(nullptr)},
            {"inFlight", endpoint.inFlight}, {"limit", endpoint.limit}};
}

template<class Item>
json::array toArray(const std::vector<Item> &items)
{
    json::array array;
    for (const Item &item : items)
        array.push_back(toObject(item));
    return array;
}

std::string progressText(const RolloutStatus &rollout)
{
    std::string text;
    for (const RolloutProgress &progress : rollout.dataCentres) {
        text += (text.empty() ? "" : ", ") + progress.dataCentre.value() + ' ';
        if (!progress.ready && progress.serving == 0) {
            text += "no endpoint known";
            continue;
        }
        text += progress.ready ? std::to_string(*progress.ready) : "some";
        text += " of " + std::to_string(progress.total.value_or(progress.serving)) + " ready";
        if (progress.switching.value_or(0) > 0)
            text += ", " + std::to_string(*progress.switching) + " switching";
    }
    return text.empty() ? "in no data centre" : text;
}

} // namespace

bool RolloutStatus::isComplete() const
{
    return !dataCentres.empty()
            && std::all_of(dataCentres.begin(), dataCentres.end(), [](const auto &progress) {
                   return progress.ready == progress.total.value_or(progress.serving);
               });
}

StatusReport::StatusReport(const ConfigSnapshot &config, const MembershipSnapshot &members,
        const std::vector<EntryWatermark> &watermarks, std::optional<domain::ConfigVersion> wanted)
    : m_ownDataCentre(members.ownDataCentre)
    , m_version(config.watermark)
{
    for (const EntryWatermark &entry : watermarks)
        m_version = std::max(m_version, entry.watermark);
    m_version = wanted.value_or(m_version);
    addRollouts(config, members);
    addDataCentres(config, members);
    addEntries(members, watermarks);
    m_endpoints = members.endpoints;
}

void StatusReport::addRollouts(const ConfigSnapshot &config, const MembershipSnapshot &members)
{
    for (const auto &[id, rollout] : config.rollouts) {
        RolloutStatus status = {id, rollout.service, rollout.manifest, rollout.version};
        bool hasTarget = false;
        const std::set<domain::DataCentreId> targets
                = rollout.dataCentres.empty() ? dataCentresOf(members) : rollout.dataCentres;
        for (const domain::DataCentreId &dataCentre : targets) {
            hasTarget = true;
            if (config.activeRollout(rollout.service, dataCentre) != &rollout)
                continue;
            RolloutProgress progress = dataCentre == members.ownDataCentre
                    ? localProgress(rollout, members)
                    : remoteProgress(rollout, dataCentre, members);
            progress.dataCentre = dataCentre;
            status.dataCentres.push_back(std::move(progress));
        }
        status.isSuperseded = hasTarget && status.dataCentres.empty();
        m_rollouts.push_back(std::move(status));
    }
}

void StatusReport::addDataCentres(const ConfigSnapshot &config, const MembershipSnapshot &members)
{
    std::set<domain::DataCentreId> ids = dataCentresOf(members);
    for (const auto &[id, withdrawal] : config.withdrawals)
        ids.insert(id);
    for (const domain::DataCentreId &id : ids) {
        DataCentreStatus status = {id};
        const auto withdrawal = config.withdrawals.find(id);
        status.isWithdrawn = withdrawal != config.withdrawals.end();
        if (status.isWithdrawn)
            status.reason = withdrawal->second.reason;
        const auto summary = members.summaries.find(id);
        status.isFresh = summary != members.summaries.end() && summary->second.isFresh;
        if (summary != members.summaries.end()) {
            status.region = summary->second.region;
            for (const auto &[service, counts] : summary->second.services) {
                status.serving += counts.serving;
                status.inFlight += counts.inFlight;
            }
        }
        m_dataCentres.push_back(std::move(status));
    }
}

void StatusReport::addEntries(
        const MembershipSnapshot &members, const std::vector<EntryWatermark> &watermarks)
{
    std::map<domain::EntryId, EntryStatus> entries;
    for (const membership::EntryRecord &record : members.entries)
        entries[record.id] = {record.id, record.dataCentre, record.isAlive, record.isLeaving};
    for (const EntryWatermark &reported : watermarks) {
        EntryStatus &entry = entries[reported.entry];
        entry.id = reported.entry;
        entry.dataCentre = reported.dataCentre;
        entry.watermark = reported.watermark;
        entry.hasVersion = reported.watermark >= m_version;
    }
    for (auto &[id, entry] : entries)
        m_entries.push_back(std::move(entry));
}

std::size_t StatusReport::entriesWithVersion() const
{
    return static_cast<std::size_t>(std::count_if(m_entries.begin(), m_entries.end(),
            [](const EntryStatus &entry) { return entry.hasVersion; }));
}

std::vector<observability::ProgressNote> StatusReport::progress() const
{
    std::vector<observability::ProgressNote> notes;
    for (const RolloutStatus &rollout : m_rollouts) {
        if (!rollout.isSuperseded && !rollout.isComplete())
            notes.push_back({"rollout", rollout.id.value(), progressText(rollout)});
    }
    for (const DataCentreStatus &dataCentre : m_dataCentres) {
        if (dataCentre.isWithdrawn)
            notes.push_back({"withdrawal", dataCentre.id.value(), dataCentre.reason});
    }
    return notes;
}

std::string StatusReport::toJson() const
{
    return json::serialize(json::object{{"dataCentre", m_ownDataCentre.value()},
            {"version", config::toText(m_version)},
            {"inForce", {{"entries", entriesWithVersion()}, {"of", m_entries.size()}}},
            {"rollouts", toArray(m_rollouts)}, {"dataCentres", toArray(m_dataCentres)},
            {"entries", toArray(m_entries)}, {"endpoints", toArray(m_endpoints)}});
}

} // namespace oriolerill::admin
