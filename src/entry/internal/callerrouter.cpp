#include "entry/internal/callerrouter.h"

#include "routing/slotowner.h"

#include <algorithm>
#include <utility>

namespace oriolerill::entry {

using domain::DataCentreId;
using domain::Error;
using domain::ErrorKind;
using domain::Expected;
using domain::TimePoint;
using membership::EndpointRecord;
using membership::MembershipSnapshot;

namespace {

// A load reported with an answer is more recent than the membership record for about this long.
constexpr auto ReportedLoadLifetime = std::chrono::seconds(1);
// A target that failed is avoided for this long; otherwise requests would be sent to a dead process
// until the membership marks it as dead.
constexpr auto AvoidanceTime = std::chrono::seconds(1);

bool isCandidate(const EndpointRecord &record, const RouteQuery &query)
{
    if (!record.isServing() || record.service != query.service)
        return false;
    if (query.isModel && record.activeDigest.isNone())
        return false;
    return query.digest.isNone() || record.activeDigest == query.digest;
}

Route routeTo(const EndpointRecord &record)
{
    return {record.id.value(), {record.requestAddress, record.incarnation}, record.activeDigest,
            false};
}

Error noEndpoint(const RouteQuery &query)
{
    return Error{ErrorKind::Unavailable,
            "no endpoint of " + query.service.value() + " can take the request",
            "send the request again after Retry-After"};
}

Error noCapacity()
{
    return Error{ErrorKind::Overloaded, "all endpoints have reached their limits",
            "send the request again after Retry-After"};
}

Error notOwner()
{
    return Error{ErrorKind::Unavailable, "this data centre does not own the idempotency key now",
            "send the request again after Retry-After"};
}

} // namespace

/// Removes targets at which this or another recent request failed, unless no target remains.
template<class Record>
void CallerRouter::preferReachable(
        std::vector<const Record *> &records, const RouteQuery &query, TimePoint now) const
{
    std::vector<const Record *> preferred;
    for (const Record *record : records) {
        const auto load = m_loads.find(record->id.value());
        const bool isAvoided = load != m_loads.end() && load->second.avoidedUntil > now;
        if (!isAvoided && !query.avoided.contains(record->id.value()))
            preferred.push_back(record);
    }
    if (!preferred.empty())
        records = std::move(preferred);
}

CallerRouter::CallerRouter(domain::EntryId self, DataCentreId dataCentre, std::uint64_t seed)
    : m_self(std::move(self))
    , m_dataCentre(std::move(dataCentre))
    , m_random(seed)
    , m_endpointChooser(routing::EndpointChooserOptions())
{}

Expected<Route> CallerRouter::choose(const RouteQuery &query,
        const config::ConfigSnapshot &configuration, const MembershipSnapshot &membership,
        TimePoint now)
{
    const std::scoped_lock lock(m_mutex);
    const std::optional<DataCentreId> dataCentre
            = chooseDataCentre(query, configuration, membership, now);
    if (!dataCentre)
        return noEndpoint(query);
    if (*dataCentre == m_dataCentre)
        return chooseEndpoint(query, membership, now);
    // Entries with different membership views would otherwise forward an order to each other
    // endlessly.
    if (query.isForwarded)
        return query.slot ? notOwner() : noEndpoint(query);
    return chooseEntry(*dataCentre, query, membership, now);
}

std::vector<routing::DataCentreCandidate> CallerRouter::dataCentres(const RouteQuery &query,
        const config::ConfigSnapshot &configuration, const MembershipSnapshot &membership) const
{
    std::vector<routing::DataCentreCandidate> candidates;
    routing::DataCentreCandidate own;
    own.id = m_dataCentre;
    own.isWithdrawn = configuration.isWithdrawn(m_dataCentre);
    for (const EndpointRecord &record : membership.endpoints) {
        if (!isCandidate(record, query))
            continue;
        ++own.serving;
        own.inFlight += record.inFlight;
        own.limit += record.limit;
    }
    candidates.push_back(own);
    for (const auto &[id, summary] : membership.summaries) {
        const auto service = summary.services.find(query.service);
        if (id == m_dataCentre || service == summary.services.end())
            continue;
        const bool hasDigest
                = query.digest.isNone() || service->second.activeDigests.contains(query.digest);
        candidates.push_back({id, configuration.isWithdrawn(id), summary.isFresh,
                hasDigest ? service->second.serving : 0, service->second.inFlight,
                service->second.limit});
    }
    return candidates;
}

std::optional<DataCentreId> CallerRouter::chooseDataCentre(const RouteQuery &query,
        const config::ConfigSnapshot &configuration, const MembershipSnapshot &membership,
        TimePoint now)
{
    const std::vector<routing::DataCentreCandidate> candidates
            = dataCentres(query, configuration, membership);
    if (query.slot) {
        std::vector<DataCentreId> serving;
        for (const routing::DataCentreCandidate &candidate : candidates) {
            if (candidate.isUsable())
                serving.push_back(candidate.id);
        }
        return routing::slotDataCentre(query.service, *query.slot, serving);
    }
    if (query.isForwarded) {
        const bool isUsable = candidates.front().isUsable();
        return isUsable ? std::optional<DataCentreId>(m_dataCentre) : std::nullopt;
    }
    const auto chooser = m_dataCentreChoosers.try_emplace(
            query.service, m_dataCentre, routing::DataCentreChooserOptions());
    return chooser.first->second.choose(candidates, now, m_random);
}

routing::EndpointCandidate CallerRouter::candidateOf(
        const EndpointRecord &record, TimePoint now) const
{
    routing::EndpointCandidate candidate;
    candidate.idHash = routing::endpointHash(record.id);
    candidate.inFlight = record.inFlight;
    candidate.limit = std::max(1U, record.limit);
    const auto load = m_loads.find(record.id.value());
    if (load == m_loads.end())
        return candidate;
    if (load->second.reported && now - load->second.reportedAt < ReportedLoadLifetime) {
        candidate.inFlight = load->second.reported->in_flight();
        candidate.limit = load->second.reported->limit();
    }
    candidate.inFlight = std::max(candidate.inFlight, load->second.inFlight);
    return candidate;
}

const EndpointRecord *CallerRouter::slotOwner(
        const RouteQuery &query, const MembershipSnapshot &membership) const
{
    std::vector<domain::EndpointId> serving;
    for (const EndpointRecord &record : membership.endpoints) {
        if (isCandidate(record, query))
            serving.push_back(record.id);
    }
    const auto owner = routing::slotEndpoint(query.service, *query.slot, serving);
    if (!owner || query.excluded.contains(owner->value()))
        return nullptr;
    const auto record = std::find_if(membership.endpoints.begin(), membership.endpoints.end(),
            [&](const EndpointRecord &other) { return other.id == *owner; });
    return &*record;
}

Expected<Route> CallerRouter::chooseEndpoint(
        const RouteQuery &query, const MembershipSnapshot &membership, TimePoint now)
{
    if (query.slot) {
        const EndpointRecord *owner = slotOwner(query, membership);
        return owner == nullptr ? Expected<Route>(noEndpoint(query)) : routeTo(*owner);
    }
    std::vector<const EndpointRecord *> records;
    for (const EndpointRecord &record : membership.endpoints) {
        if (isCandidate(record, query) && !query.excluded.contains(record.id.value()))
            records.push_back(&record);
    }
    preferReachable(records, query, now);
    if (records.empty())
        return noEndpoint(query);
    std::vector<routing::EndpointCandidate> candidates;
    candidates.reserve(records.size());
    for (const EndpointRecord *record : records)
        candidates.push_back(candidateOf(*record, now));
    const std::optional<std::size_t> index
            = m_endpointChooser.choose(candidates, query.affinity, m_random);
    return index ? routeTo(*records[*index]) : Expected<Route>(noCapacity());
}

Expected<Route> CallerRouter::chooseEntry(const DataCentreId &dataCentre, const RouteQuery &query,
        const MembershipSnapshot &membership, TimePoint now)
{
    std::vector<const membership::EntryRecord *> entries;
    for (const membership::EntryRecord &entry : membership.entries) {
        if (entry.dataCentre == dataCentre && entry.isAlive && !entry.isLeaving
                && !query.excluded.contains(entry.id.value()))
            entries.push_back(&entry);
    }
    preferReachable(entries, query, now);
    if (entries.empty())
        return noEndpoint(query);
    std::uniform_int_distribution<std::size_t> any(0, entries.size() - 1);
    const membership::EntryRecord &entry = *entries[any(m_random)];
    return Route{entry.id.value(), {entry.requestAddress, entry.incarnation}, {}, true};
}

void CallerRouter::started(const Route &route)
{
    const std::scoped_lock lock(m_mutex);
    ++m_loads[route.id].inFlight;
}

void CallerRouter::finished(const Route &route, const AttemptResult &result, TimePoint now)
{
    const std::scoped_lock lock(m_mutex);
    TargetLoad &load = m_loads[route.id];
    --load.inFlight;
    if (result.load && !route.isForward) {
        load.reported = result.load;
        load.reportedAt = now;
    }
    // An expired deadline does not show that the target is unreachable.
    const bool isUnreachable = result.outcome != protocol::OUTCOME_ANSWERED && !result.isReported
            && !result.isReceiverDisconnected && result.error.kind != ErrorKind::Timeout;
    if (isUnreachable)
        load.avoidedUntil = now + AvoidanceTime;
}

std::uint32_t CallerRouter::capacity(
        const domain::ServiceId &service, const MembershipSnapshot &membership) const
{
    std::uint32_t localLimits = 0;
    for (const EndpointRecord &record : membership.endpoints) {
        if (record.service == service && record.isServing())
            localLimits += record.limit;
    }
    std::uint32_t remoteLimits = 0;
    for (const auto &[id, summary] : membership.summaries) {
        const auto found = summary.services.find(service);
        if (id != m_dataCentre && summary.isFresh && found != summary.services.end())
            remoteLimits += found->second.limit;
    }
    const auto entries = std::count_if(membership.entries.begin(), membership.entries.end(),
            [](const membership::EntryRecord &entry) { return entry.isAlive && !entry.isLeaving; });
    return std::max(
            1U, (localLimits + remoteLimits) / std::max(1U, static_cast<std::uint32_t>(entries)));
}

} // namespace oriolerill::entry
