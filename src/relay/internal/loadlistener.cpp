#include "relay/internal/loadlistener.h"

#include "config/versiontext.h"
#include "observability/log.h"
#include "protocol/control.pb.h"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <algorithm>
#include <array>
#include <utility>

namespace oriolerill::relay::internal {

namespace asio = boost::asio;
using asio::ip::udp;
using domain::TimePoint;

namespace {

constexpr auto UseTuple = asio::as_tuple(asio::use_awaitable);
constexpr auto SubscriptionInterval = std::chrono::milliseconds(1000);
/// At the start, agents and other entries read the store until the first subscription arrives.
constexpr auto StartupSubscriptionInterval = std::chrono::milliseconds(250);
constexpr auto StartupTime = std::chrono::milliseconds(3000);
constexpr auto EntryCountLifetime = std::chrono::milliseconds(5000);
constexpr std::size_t MaxDatagramBytes = 1500;
constexpr auto EvidenceInterval = std::chrono::milliseconds(1000);
/// Interval at which publishers send their confirmed revisions, whether changed or not.
constexpr auto UpdateInterval = std::chrono::milliseconds(400);
/// Allows for two lost or late updates of a publisher.
constexpr auto PublisherLifetime = std::chrono::milliseconds(1200);
/// Covers two lost reports with knowledge.
constexpr auto SourceLifetime = std::chrono::milliseconds(1500);

} // namespace

LoadListener::LoadListener(asio::io_context &context, routing::Dispatcher &dispatcher,
        FleetSubscriber &fleet, domain::EntryId entry, domain::DataCentreId dataCentre,
        const domain::SocketAddress &listen)
    : m_context(context)
    , m_dispatcher(dispatcher)
    , m_fleet(fleet)
    , m_entry(std::move(entry))
    , m_dataCentre(std::move(dataCentre))
    , m_listen(listen)
    , m_socket(context)
    , m_startupEnd(TimePoint::clock::now() + StartupTime)
    , m_provenAt(TimePoint::clock::now())
    , m_updateTimer(context)
{}

domain::Expected<domain::Done> LoadListener::open()
{
    boost::system::error_code code;
    m_socket.open(udp::v4(), code);
    if (!code)
        m_socket.bind({asio::ip::make_address_v4(m_listen.host), m_listen.port}, code);
    if (code) {
        return domain::Error{domain::ErrorKind::Unavailable,
                "cannot listen on UDP " + m_listen.toString() + ": " + code.message(),
                "choose a free address of this machine in the settings"};
    }
    m_socket.non_blocking(true, code);
    return domain::Done{};
}

asio::awaitable<void> LoadListener::subscribe()
{
    asio::steady_timer timer(m_context);
    for (;;) {
        const bool isStarting = TimePoint::clock::now() < m_startupEnd;
        const auto interval = isStarting ? StartupSubscriptionInterval : SubscriptionInterval;
        sendSubscriptions(std::chrono::duration<double>(interval).count());
        timer.expires_after(interval);
        co_await timer.async_wait(UseTuple);
    }
}

void LoadListener::sendSubscriptions(double seconds)
{
    protocol::AgentDatagram datagram;
    protocol::LoadSubscription &subscription = *datagram.mutable_subscription();
    subscription.set_entry(m_entry.value());
    subscription.set_data_centre(m_dataCentre.value());
    *subscription.mutable_knowledge() = knowledge();
    const std::map<domain::ServiceId, double> localDemand = takeLocalDemand(seconds);
    for (const auto &[id, endpoint] : m_dispatcher.endpoints().endpoints()) {
        if (!needsReports(endpoint))
            continue;
        const double sent = static_cast<double>(m_dispatcher.load(id).takeSentCount()) / seconds;
        const auto local = localDemand.find(endpoint.service);
        const routing::WorkingSet *set = m_dispatcher.workingSet(endpoint.service);
        const bool isLocal = endpoint.dataCentre == m_dataCentre && local != localDemand.end()
                && set->contains(id);
        subscription.clear_service();
        if (endpoint.dataCentre == m_dataCentre)
            addFacts(endpoint.service, *subscription.mutable_service());
        subscription.set_demand(isLocal ? std::max(sent, local->second) : sent);
        sendTo(endpoint, datagram.SerializeAsString());
    }
}

void LoadListener::publishKnowledge()
{
    protocol::AgentDatagram datagram;
    // The datagram is no subscription, as it carries neither demand nor a data centre.
    *datagram.mutable_knowledge() = knowledge();
    const std::string bytes = datagram.SerializeAsString();
    for (const auto &[id, endpoint] : m_dispatcher.endpoints().endpoints()) {
        if (isEngine(endpoint) && endpoint.dataCentre == m_dataCentre)
            sendTo(endpoint, bytes);
    }
}

void LoadListener::publishRaisedLimit(
        const routing::EndpointInstance &instance, std::optional<double> perSecond)
{
    const routing::ListedEndpoint *endpoint = m_dispatcher.endpoints().find(instance.id);
    const routing::ListedEndpoint *forwarder
            = endpoint == nullptr ? nullptr : forwarderFor(*endpoint);
    if (forwarder == nullptr)
        return;
    protocol::AgentDatagram datagram;
    protocol::RaisedLimit &raised = *datagram.mutable_raised_limit();
    raised.set_id(instance.id.value());
    raised.set_started_at_ms(instance.startedAtMs);
    if (perSecond)
        raised.set_per_second(*perSecond);
    // An entry that misses the datagram receives the limit with the next answer of the endpoint.
    sendTo(*forwarder, datagram.SerializeAsString());
}

std::vector<domain::EndpointId> LoadListener::countingEngines()
{
    std::vector<domain::EndpointId> engines;
    const auto config = m_dispatcher.config();
    if (!config)
        return engines;
    for (const auto &[id, service] : config->services()) {
        if (const routing::WorkingSet *set = m_dispatcher.workingSet(id)) {
            engines.insert(
                    engines.end(), set->countingEngines().begin(), set->countingEngines().end());
        }
    }
    return engines;
}

void LoadListener::publishCrashEvidence()
{
    protocol::AgentDatagram datagram;
    *datagram.mutable_crash_evidence()
            = m_dispatcher.crashes().evidence().encode(TimePoint::clock::now());
    const std::string bytes = datagram.SerializeAsString();
    for (const domain::EndpointId &engine : countingEngines()) {
        if (const auto *endpoint = m_dispatcher.endpoints().find(engine))
            sendTo(*endpoint, bytes);
    }
}

asio::awaitable<void> LoadListener::repeatCrashEvidence()
{
    asio::steady_timer timer(m_context);
    for (;;) {
        timer.expires_after(EvidenceInterval);
        co_await timer.async_wait(UseTuple);
        const routing::CrashEvidence &evidence = m_dispatcher.crashes().evidence();
        const std::vector<domain::EndpointId> engines = countingEngines();
        if (evidence.isEmpty() || engines.empty())
            continue;
        const auto *endpoint
                = m_dispatcher.endpoints().find(engines[m_evidenceRepeats++ % engines.size()]);
        protocol::AgentDatagram datagram;
        *datagram.mutable_crash_evidence() = evidence.encode(TimePoint::clock::now());
        if (endpoint != nullptr)
            sendTo(*endpoint, datagram.SerializeAsString());
    }
}

const routing::ListedEndpoint *LoadListener::forwarderFor(const routing::ListedEndpoint &endpoint)
{
    if (isEngine(endpoint))
        return &endpoint;
    const auto config = m_dispatcher.config();
    if (!config)
        return nullptr;
    for (const auto &[id, service] : config->services()) {
        const routing::WorkingSet *set = m_dispatcher.workingSet(id);
        // All entries subscribe to these agents.
        if (set != nullptr && !set->countingEngines().empty())
            return m_dispatcher.endpoints().find(set->countingEngines().front());
    }
    return nullptr;
}

void LoadListener::applyRaisedLimit(const protocol::RaisedLimit &raised)
{
    const routing::EndpointInstance instance{
            domain::EndpointId(raised.id()), raised.started_at_ms()};
    const auto perSecond
            = raised.has_per_second() ? std::optional(raised.per_second()) : std::nullopt;
    if (!m_dispatcher.limits().onRaised(instance, perSecond))
        return;
    observability::logEvent(observability::Severity::Info, "endpoint_limit",
            {{"endpoint", instance.id.value()}, {"started_at_ms", instance.startedAtMs},
                    {"per_second", perSecond.value_or(0)}, {"source", "entry"},
                    {"verdict", perSecond ? "raised" : "ended"}});
}

protocol::StoreKnowledge LoadListener::knowledge() const
{
    protocol::StoreKnowledge knowledge = m_fleet.knowledge();
    for (const auto &instance : m_dispatcher.notices().recentlyLeaving(TimePoint::clock::now())) {
        protocol::LeavingEndpoint &leaving = *knowledge.add_leaving();
        leaving.set_id(instance.id.value());
        leaving.set_started_at_ms(instance.startedAtMs);
    }
    return knowledge;
}

void LoadListener::addFacts(const domain::ServiceId &id, protocol::ServiceFacts &facts) const
{
    const auto config = m_dispatcher.config();
    const routing::ServiceSpec &service = *config->service(id);
    facts.set_config_version(config->version());
    if (!service.models.empty())
        facts.set_model(service.models.front().value());
    for (const auto &[name, other] : config->services()) {
        if (!other.origin)
            continue;
        facts.set_origin(other.origin->toString());
        facts.set_origin_mbps(other.originMbps);
        facts.set_origin_max_connections(other.maxConnections);
    }
    facts.set_piece_bytes(service.pieceBytes);
    const routing::EngineSpeed &speed = *service.engine;
    facts.set_slots(speed.slots);
    facts.set_step_ms(speed.stepMs);
    facts.set_step_ms_per_writer(speed.stepMsPerSequence);
    facts.set_prompt_tokens_per_ms(speed.promptTokensPerMs);
    facts.set_usual_prompt_tokens(speed.usualPromptTokens);
    facts.set_usual_answer_tokens(speed.usualAnswerTokens);
}

bool LoadListener::needsReports(const routing::ListedEndpoint &endpoint)
{
    const routing::WorkingSet *set = m_dispatcher.workingSet(endpoint.service);
    if (set == nullptr)
        return false;
    const auto &countingEngines = set->countingEngines();
    // The load is also needed for a cold engine's first requests and for requests that were sent to
    // engines outside the working set.
    return set->contains(endpoint.id) || m_dispatcher.load(endpoint.id).inFlight() > 0
            || std::find(countingEngines.begin(), countingEngines.end(), endpoint.id)
            != countingEngines.end();
}

asio::awaitable<void> LoadListener::publishUpdates()
{
    for (;;) {
        countEntries(TimePoint::clock::now());
        if (isPublishing(TimePoint::clock::now())) {
            protocol::StoreUpdate update;
            for (const PublishedChanges &confirmed :
                    m_fleet.confirmedVersions(TimePoint::clock::now())) {
                for (protocol::StoreChanges &part : splitChanges(confirmed))
                    *update.add_changes() = std::move(part);
            }
            update.set_is_store_lost(m_fleet.isStoreLost());
            sendUpdate(update);
        }
        m_updateTimer.expires_after(UpdateInterval);
        co_await m_updateTimer.async_wait(UseTuple);
    }
}

void LoadListener::publishProof()
{
    // Ends the wait of publishUpdates(), which then sends one update for all collections proved by
    // the same answer.
    if (isPublishing(TimePoint::clock::now()))
        m_updateTimer.cancel();
}

void LoadListener::publishUpdates(const PublishedChanges &changes)
{
    if (!isPublishing(TimePoint::clock::now()))
        return;
    std::vector<protocol::StoreChanges> parts = splitChanges(changes);
    if (parts.empty()) {
        // Too large for datagrams: subscribers get the version and fetch the collection from this
        // entry.
        const domain::ConfigVersion upTo = changes.changes.storeVersion;
        parts = splitChanges({changes.collection, upTo, {{}, upTo}, true, changes.provenAt});
    }
    for (protocol::StoreChanges &part : parts) {
        protocol::StoreUpdate update;
        *update.add_changes() = std::move(part);
        sendUpdate(update);
    }
}

void LoadListener::sendUpdate(const protocol::StoreUpdate &update)
{
    protocol::AgentDatagram datagram;
    *datagram.mutable_update() = update;
    datagram.mutable_update()->set_source(m_listen.toString());
    const std::string bytes = datagram.SerializeAsString();
    const auto config = m_dispatcher.config();
    if (!config)
        return;
    for (const auto &[id, service] : config->services()) {
        const routing::WorkingSet *set = m_dispatcher.workingSet(id);
        if (set == nullptr || set->localCountingEngines().empty())
            continue;
        // Each publisher uses another agent, so that updates do not depend on a single agent.
        const auto &countingEngines = set->localCountingEngines();
        const auto *endpoint = m_dispatcher.endpoints().find(
                countingEngines[m_localRank.rank % countingEngines.size()]);
        if (endpoint != nullptr)
            sendTo(*endpoint, bytes);
        return;
    }
}

bool LoadListener::isPublishing(TimePoint now) const
{
    const objectstore::ReadStagger &readStagger = m_fleet.readStagger();
    if (readStagger.isPublisher())
        return true;
    return m_localRank.entries > 0 && !m_fleet.isStoreLost()
            && now - m_provenAt > readStagger.delay();
}

std::optional<domain::SocketAddress> LoadListener::nextPublisher()
{
    const TimePoint now = TimePoint::clock::now();
    std::erase_if(m_publishers,
            [now](const auto &source) { return now - source.second > PublisherLifetime; });
    if (m_publishers.empty())
        return std::nullopt;
    auto next = m_lastPublisher ? m_publishers.upper_bound(*m_lastPublisher) : m_publishers.begin();
    if (next == m_publishers.end())
        next = m_publishers.begin();
    m_lastPublisher = next->first;
    return next->first;
}

void LoadListener::recordSource(const std::string &collection, const std::string &address,
        const protocol::Version &version, TimePoint now)
{
    const auto source = domain::SocketAddress::parse(address);
    if (source && *source != m_listen)
        m_sources[collection] = {*source, config::fromProtocol(version), now};
}

std::optional<domain::SocketAddress> LoadListener::nextSource(const std::string &collection)
{
    const auto found = m_sources.find(collection);
    const bool isUseful = found != m_sources.end()
            && TimePoint::clock::now() - found->second.reportedAt <= SourceLifetime
            && found->second.version > m_fleet.lastChangeOf(collection);
    // Either may have been killed, or lack the change.
    if (isUseful && std::exchange(m_isSourceTurn, !m_isSourceTurn))
        return found->second.address;
    const auto publisher = nextPublisher();
    return publisher || !isUseful ? publisher : std::optional(found->second.address);
}

void LoadListener::applyUpdate(const protocol::StoreUpdate &update, TimePoint now)
{
    // A publisher that reaches the store ignores other publishers; otherwise two of them could
    // confirm a stale copy to each other.
    if (m_fleet.readStagger().isPublisher() && !m_fleet.isStoreLost())
        return;
    // A publisher that has lost the store may still receive its small collections: it sends their
    // changes, but does not count as reachable.
    for (const protocol::StoreChanges &part : update.changes()) {
        const TimePoint provenAt = now - std::chrono::milliseconds(part.proof_age_ms());
        if (!update.is_store_lost())
            m_provenAt = std::max(m_provenAt, provenAt);
    }
    if (const auto source = domain::SocketAddress::parse(update.source()))
        recordPublisher(*source, update.is_store_lost(), now);
    for (const protocol::StoreChanges &part : update.changes()) {
        if (const auto changes = m_assembler.add(part, now))
            m_fleet.onPublishedChanges(*changes, now);
    }
}

void LoadListener::recordPublisher(
        const domain::SocketAddress &source, bool isStoreLost, TimePoint now)
{
    if (!isStoreLost) {
        m_publishers[source] = now;
        return;
    }
    const bool wasReachable = m_publishers.erase(source) > 0;
    // The last confirmation of a publisher that lost the store may have been stale. It is ignored
    // while another publisher confirms the copies.
    if (wasReachable || !nextPublisher())
        m_fleet.onPublisherStoreLoss(now);
}

bool LoadListener::isEngine(const routing::ListedEndpoint &endpoint) const
{
    const auto config = m_dispatcher.config();
    const routing::ServiceSpec *service = config ? config->service(endpoint.service) : nullptr;
    return service != nullptr && service->engine;
}

std::map<domain::ServiceId, double> LoadListener::takeLocalDemand(double seconds)
{
    std::map<domain::ServiceId, double> demand;
    for (const auto &[id, endpoint] : m_dispatcher.endpoints().endpoints()) {
        const routing::WorkingSet *set = m_dispatcher.workingSet(endpoint.service);
        if (set != nullptr && set->contains(id) && endpoint.dataCentre == m_dataCentre)
            ++demand[endpoint.service];
    }
    for (auto &[service, engines] : demand)
        engines = static_cast<double>(m_dispatcher.takeDemand(service)) / seconds / engines;
    return demand;
}

void LoadListener::sendTo(const routing::ListedEndpoint &endpoint, const std::string &bytes)
{
    boost::system::error_code code;
    const auto host = asio::ip::make_address_v4(endpoint.address.host, code);
    // A lost datagram is replaced by the next one, within a second.
    if (!code)
        m_socket.send_to(asio::buffer(bytes), {host, m_listen.port}, 0, code);
}

asio::awaitable<void> LoadListener::receive()
{
    std::array<char, MaxDatagramBytes> bytes;
    udp::endpoint sender;
    for (;;) {
        auto [code, size]
                = co_await m_socket.async_receive_from(asio::buffer(bytes), sender, UseTuple);
        if (code == asio::error::operation_aborted)
            co_return;
        if (code) {
            observability::logEvent(observability::Severity::Warning, "reports_unreadable",
                    {{"error", code.message()}, {"remedy", "the next report is awaited"}});
            continue;
        }
        protocol::EntryDatagram datagram;
        if (!datagram.ParseFromArray(bytes.data(), static_cast<int>(size))) {
            observability::logEvent(observability::Severity::Warning, "report_malformed",
                    {{"sender", sender.address().to_string()}, {"bytes", size},
                            {"remedy", "check what sends to the load port"}});
            continue;
        }
        if (datagram.has_update())
            applyUpdate(datagram.update(), TimePoint::clock::now());
        if (datagram.has_raised_limit())
            applyRaisedLimit(datagram.raised_limit());
        if (datagram.has_crash_evidence() && m_onEvidence)
            m_onEvidence(datagram.crash_evidence());
        if (!datagram.has_report())
            continue;
        const protocol::LoadReport &message = datagram.report();
        const domain::SocketAddress address{
                sender.address().to_string(), static_cast<std::uint16_t>(message.endpoint_port())};
        routing::EngineReport report;
        report.sequence = message.sequence();
        report.running = message.running();
        report.waiting = message.waiting();
        report.weightsVersion = message.weights_version();
        report.pace = std::max(message.pace(), 1.0);
        report.isSwitching = message.is_switching();
        report.grant = message.grant();
        report.entries = message.entries();
        const TimePoint now = TimePoint::clock::now();
        if (message.has_knowledge()) {
            const protocol::StoreKnowledge &knowledge = message.knowledge();
            recordSource("configuration", knowledge.configuration_source(),
                    knowledge.configuration_changed_at(), now);
            recordSource("endpoints", knowledge.endpoints_source(),
                    knowledge.endpoints_changed_at(), now);
            m_fleet.onPeerKnowledge(knowledge, address);
            applyLeaving(message.knowledge(), now);
        }
        m_dispatcher.onReport(address, message.engine_started_at_ms(), report, now);
        m_entryCounts[address] = {{message.entries(), message.rank()},
                {message.local_entries(), message.local_rank()}, now};
    }
}

void LoadListener::applyLeaving(const protocol::StoreKnowledge &knowledge, TimePoint now)
{
    for (const protocol::LeavingEndpoint &leaving : knowledge.leaving()) {
        const routing::EndpointInstance instance{
                domain::EndpointId(leaving.id()), leaving.started_at_ms()};
        if (!m_dispatcher.notices().onLeaving(instance, now))
            continue;
        observability::logEvent(observability::Severity::Info, "endpoint_leaving",
                {{"endpoint", instance.id.value()}, {"started_at_ms", instance.startedAtMs},
                        {"source", "entry"}});
    }
}

void LoadListener::countEntries(TimePoint now)
{
    routing::EntryShare global{0, 0};
    routing::EntryShare local{0, 0};
    std::erase_if(m_entryCounts,
            [now](const auto &count) { return now - count.second.at > EntryCountLifetime; });
    for (const auto &[agent, count] : m_entryCounts) {
        if (count.share.entries > global.entries)
            global = count.share;
        if (count.local.entries > local.entries)
            local = count.local;
    }
    m_dispatcher.limits().setTimeOfDayOffset(
            std::chrono::duration_cast<domain::Duration>(
                    std::chrono::system_clock::now().time_since_epoch())
            - now.time_since_epoch());
    const bool wasPublisher = m_fleet.readStagger().isPublisher();
    m_localRank = local;
    // Without any report the last rank is kept: entries without a rank would all read at once.
    if (local.entries > 0)
        m_fleet.setRank(local.rank, local.entries);
    if (wasPublisher != m_fleet.readStagger().isPublisher()) {
        observability::logEvent(observability::Severity::Info, "store_reader",
                {{"is_reader", m_fleet.readStagger().isPublisher() ? 1 : 0}, {"rank", local.rank},
                        {"entries", local.entries}});
    }
    // After a restart of all entries, agents receive their subscriptions one after another. A count
    // of the first few would make each entry's share of a limit far too large, so the assumed
    // number is used until the start is over.
    if (now < m_startupEnd)
        return;
    const routing::EntryShare &before = m_dispatcher.share();
    // Without any report the last count is kept: overestimating the number of entries is safe.
    if (global.entries == 0 || (global.entries == before.entries && global.rank == before.rank))
        return;
    observability::logEvent(observability::Severity::Info, "entries_counted",
            {{"entries", global.entries}, {"rank", global.rank}, {"before", before.entries}});
    m_dispatcher.setShare(global);
}

} // namespace oriolerill::relay::internal
