#include "relayagent/internal/fleetview.h"

#include "observability/log.h"
#include "platform/fleetcodec.h"

#include <algorithm>
#include <cmath>

namespace oriolerill::relayagent::internal {

namespace asio = boost::asio;
using domain::TimePoint;
using observability::logEvent;
using observability::Severity;

namespace {

constexpr auto ReadTimeout = std::chrono::milliseconds(1500);
/// A copy is some ten kilobytes on the link of a VM.
constexpr auto EntryTimeout = std::chrono::milliseconds(500);
/// The first entry may have been killed a moment ago.
constexpr int EntryAttempts = 2;

/// Facts are datagrams from any sender; a rate that is not finite counts as not stated.
double bytesPerSecond(double mbps)
{
    constexpr double BytesPerMegabit = 1e6 / 8;
    return std::isfinite(mbps) ? std::max(mbps, 0.0) * BytesPerMegabit : 0;
}

} // namespace

FleetView::FleetView(objectstore::IObjectStore &store, objectstore::IObjectStore &memberStore,
        domain::ServiceId service, const domain::SocketAddress &engine,
        domain::DataCentreId dataCentre)
    : m_store(store)
    , m_memberStore(memberStore)
    , m_service(std::move(service))
    , m_self{engine.host, std::move(dataCentre), 0}
{}

asio::awaitable<bool> FleetView::readConfig()
{
    auto object
            = co_await m_store.read("configuration/main", TimePoint::clock::now() + ReadTimeout);
    auto config = object ? platform::readServingConfig(object->value) : object.error();
    if (!config) {
        logEvent(Severity::Warning, "config_unreadable",
                {{"error", config.error().message}, {"remedy", config.error().remedy}});
        co_return !m_model.isEmpty() && m_origin;
    }
    m_configVersion = std::max(m_configVersion, config->version());
    if (const routing::ServiceSpec *service = config->service(m_service);
            service != nullptr && !service->models.empty()) {
        m_model = service->models.front();
        m_speed = service->engine.value_or(m_speed);
        m_originCapacity.pieceBytes = static_cast<double>(service->pieceBytes);
    }
    for (const auto &[id, service] : config->services()) {
        if (!service.origin)
            continue;
        m_origin = service.origin;
        m_originCapacity.bytesPerSecond = bytesPerSecond(service.originMbps);
        m_originCapacity.maxConnections = service.maxConnections;
    }
    co_return !m_model.isEmpty() && m_origin;
}

bool FleetView::applyFacts(const protocol::ServiceFacts &facts)
{
    if (facts.config_version() < m_configVersion)
        return false;
    m_configVersion = facts.config_version();
    if (!facts.model().empty())
        m_model = domain::ModelId(facts.model());
    if (const auto origin = domain::SocketAddress::parse(facts.origin()))
        m_origin = *origin;
    m_originCapacity.bytesPerSecond = bytesPerSecond(facts.origin_mbps());
    m_originCapacity.maxConnections = facts.origin_max_connections();
    m_originCapacity.pieceBytes = static_cast<double>(facts.piece_bytes());
    m_speed.slots = facts.slots();
    m_speed.stepMs = facts.step_ms();
    m_speed.stepMsPerSequence = facts.step_ms_per_writer();
    m_speed.promptTokensPerMs = facts.prompt_tokens_per_ms();
    m_speed.usualPromptTokens = facts.usual_prompt_tokens();
    m_speed.usualAnswerTokens = facts.usual_answer_tokens();
    return true;
}

/// The lists of all agents fill the links out of the store's region, an entry's copy stays within
/// the data centre.
asio::awaitable<domain::Expected<objectstore::ObjectList>> FleetView::listEndpoints(
        const char *&source)
{
    source = "entry";
    for (int attempt = 0; attempt < EntryAttempts && m_entryCopy; ++attempt) {
        auto copy = co_await m_entryCopy(TimePoint::clock::now() + EntryTimeout);
        if (copy)
            co_return copy;
        logEvent(Severity::Info, "entry_copy_missing",
                {{"error", copy.error().message},
                        {"remedy", "another entry or the store is read instead"}});
    }
    source = "store";
    co_return co_await m_memberStore.list("endpoints", TimePoint::clock::now() + ReadTimeout);
}

asio::awaitable<bool> FleetView::readMembers()
{
    const TimePoint now = TimePoint::clock::now();
    const char *source = nullptr;
    auto list = co_await listEndpoints(source);
    if (!list) {
        logEvent(Severity::Warning, "members_unreadable",
                {{"error", list.error().message}, {"members", m_members.size()},
                        {"remedy", "the last list is used until the store answers"}});
        co_return false;
    }
    m_members.clear();
    ++m_generation;
    for (const objectstore::StoredObject &object : list->objects) {
        const auto endpoint = platform::readEndpoint(
                object.key.substr(object.key.find('/') + 1), object.value, now);
        // Objects that cannot be decoded, or that belong to other services, are skipped.
        if (!endpoint || endpoint->service != m_service)
            continue;
        const auto served = endpoint->weights.find(m_model);
        m_members.push_back({endpoint->address.host, endpoint->dataCentre,
                served == endpoint->weights.end() || endpoint->isDraining ? 0 : served->second});
    }
    const domain::Duration time = TimePoint::clock::now() - now;
    logEvent(Severity::Info, "members_read",
            {{"source", source}, {"objects", list->objects.size()}, {"members", m_members.size()},
                    {"ms", std::chrono::duration_cast<std::chrono::milliseconds>(time).count()}});
    co_return true;
}

std::vector<std::string> FleetView::localHosts() const
{
    std::vector<std::string> hosts = {m_self.host};
    for (const distribution::PushMember &member : m_members) {
        if (member.dataCentre == m_self.dataCentre && member.host != m_self.host)
            hosts.push_back(member.host);
    }
    return hosts;
}

std::map<domain::DataCentreId, std::vector<std::string>> FleetView::remoteHosts() const
{
    std::map<domain::DataCentreId, std::vector<std::string>> hosts;
    for (const distribution::PushMember &member : m_members) {
        if (member.dataCentre != m_self.dataCentre)
            hosts[member.dataCentre].push_back(member.host);
    }
    return hosts;
}

std::uint64_t FleetView::maxServedVersion() const
{
    std::uint64_t maxVersion = 0;
    for (const distribution::PushMember &member : m_members)
        maxVersion = std::max(maxVersion, member.servedVersion);
    return maxVersion;
}

} // namespace oriolerill::relayagent::internal
