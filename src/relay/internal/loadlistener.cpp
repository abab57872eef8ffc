#include "relay/internal/loadlistener.h"

#include "observability/log.h"
#include "protocol/control.pb.h"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <algorithm>
#include <array>

namespace oriolerill::relay::internal {

namespace asio = boost::asio;
using asio::ip::udp;
using domain::TimePoint;

namespace {

constexpr auto UseTuple = asio::as_tuple(asio::use_awaitable);
constexpr auto SubscriptionInterval = std::chrono::milliseconds(1000);
/// At the start agents and other entries wait for the first word; until then each asks the store.
constexpr auto FirstSubscriptionInterval = std::chrono::milliseconds(250);
constexpr auto StartTime = std::chrono::milliseconds(3000);
/// An agent's count of entries is used for this long.
constexpr auto CountLife = std::chrono::milliseconds(5000);
constexpr std::size_t MaxDatagram = 1500;
/// Readers tell this often how far they have read, whether anything has changed or not.
constexpr auto UpdateInterval = std::chrono::milliseconds(400);
/// A publisher counts as reachable for two updates that were lost or late.
constexpr auto SourceLife = std::chrono::milliseconds(1200);

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
    , m_startEnd(TimePoint::clock::now() + StartTime)
    , m_updatedAt(TimePoint::clock::now())
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
        const bool isStarting = TimePoint::clock::now() < m_startEnd;
        const auto interval = isStarting ? FirstSubscriptionInterval : SubscriptionInterval;
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
        if (!isWanted(endpoint))
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

void LoadListener::tellNow()
{
    protocol::AgentDatagram datagram;
    // Without demand or data centre it is no subscription; only the knowledge counts.
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
    const routing::ListedEndpoint *publisher
            = endpoint == nullptr ? nullptr : publisherFor(*endpoint);
    if (publisher == nullptr)
        return;
    protocol::AgentDatagram datagram;
    protocol::RaisedLimit &raised = *datagram.mutable_raised_limit();
    raised.set_id(instance.id.value());
    raised.set_started_at_ms(instance.startedAtMs);
    if (perSecond)
        raised.set_per_second(*perSecond);
    // An entry that misses the datagram learns of it with its next request to the endpoint.
    sendTo(*publisher, datagram.SerializeAsString());
}

const routing::ListedEndpoint *LoadListener::publisherFor(const routing::ListedEndpoint &endpoint)
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

void LoadListener::takeRaisedLimit(const protocol::RaisedLimit &raised)
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
        if (other.origin)
            facts.set_origin(other.origin->toString());
    }
    const routing::EngineSpeed &speed = *service.engine;
    facts.set_slots(speed.slots);
    facts.set_step_ms(speed.stepMs);
    facts.set_step_ms_per_writer(speed.stepMsPerSequence);
    facts.set_prompt_tokens_per_ms(speed.promptTokensPerMs);
    facts.set_usual_prompt_tokens(speed.usualPromptTokens);
    facts.set_usual_answer_tokens(speed.usualAnswerTokens);
}

bool LoadListener::isWanted(const routing::ListedEndpoint &endpoint)
{
    const routing::WorkingSet *set = m_dispatcher.workingSet(endpoint.service);
    if (set == nullptr)
        return false;
    const auto &countingEngines = set->countingEngines();
    // A cold engine's first requests, and what is sent beyond the set, need its load too.
    return set->contains(endpoint.id) || m_dispatcher.load(endpoint.id).inFlight() > 0
            || std::find(countingEngines.begin(), countingEngines.end(), endpoint.id)
            != countingEngines.end();
}

asio::awaitable<void> LoadListener::publishUpdates()
{
    asio::steady_timer timer(m_context);
    for (;;) {
        countEntries(TimePoint::clock::now());
        if (isPublishing(TimePoint::clock::now())) {
            protocol::StoreUpdate update;
            for (const PublishedChanges &heard :
                    m_fleet.confirmedRevisions(TimePoint::clock::now())) {
                for (protocol::StoreChanges &part : splitChanges(heard))
                    *update.add_changes() = std::move(part);
            }
            update.set_is_store_lost(m_fleet.isStoreLost());
            sendUpdate(update);
        }
        timer.expires_after(UpdateInterval);
        co_await timer.async_wait(UseTuple);
    }
}

void LoadListener::publishUpdates(const PublishedChanges &changes)
{
    if (!isPublishing(TimePoint::clock::now()))
        return;
    std::vector<protocol::StoreChanges> parts = splitChanges(changes);
    if (parts.empty()) {
        // Too large for datagrams: subscribers get the revision and fetch the collection here.
        const std::uint64_t upTo = changes.changes.storeVersion.revision;
        parts = splitChanges({changes.collection, upTo, {{}, {0, upTo}}, true});
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
        // Each reader uses another agent, so that no agent is needed by both.
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
    const objectstore::ReadStagger &turns = m_fleet.turns();
    if (turns.isPublisher())
        return true;
    return m_localRank.entries > 0 && !m_fleet.isStoreLost()
            && now - m_updatedAt > SourceLife + turns.delay();
}

std::optional<domain::SocketAddress> LoadListener::nextSource()
{
    const TimePoint now = TimePoint::clock::now();
    std::erase_if(
            m_sources, [now](const auto &source) { return now - source.second > SourceLife; });
    if (m_sources.empty())
        return std::nullopt;
    auto next = m_lastSource ? m_sources.upper_bound(*m_lastSource) : m_sources.begin();
    if (next == m_sources.end())
        next = m_sources.begin();
    m_lastSource = next->first;
    return next->first;
}

void LoadListener::takeUpdate(const protocol::StoreUpdate &update, TimePoint now)
{
    // A publisher that reaches the store takes nothing from others; else two of them could confirm
    // an old copy to each other.
    if (m_fleet.turns().isPublisher() && !m_fleet.isStoreLost())
        return;
    // A publisher that has lost the store may still read its small collections.
    if (update.changes_size() > 0 && !update.is_store_lost())
        m_updatedAt = now;
    if (const auto source = domain::SocketAddress::parse(update.source()))
        noteSource(*source, update.is_store_lost(), now);
    for (const protocol::StoreChanges &part : update.changes()) {
        if (const auto changes = m_assembler.add(part, now))
            m_fleet.onPublishedChanges(*changes, now);
    }
}

void LoadListener::noteSource(const domain::SocketAddress &source, bool isStoreLost, TimePoint now)
{
    if (!isStoreLost) {
        m_sources[source] = now;
        return;
    }
    const bool wasReachable = m_sources.erase(source) > 0;
    // The last confirmation of a publisher that lost the store is in doubt; the other publisher
    // still confirms.
    if (wasReachable || !nextSource())
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
    std::array<char, MaxDatagram> bytes;
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
            takeUpdate(datagram.update(), TimePoint::clock::now());
        if (datagram.has_raised_limit())
            takeRaisedLimit(datagram.raised_limit());
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
            m_fleet.onPeerRevision(message.knowledge(), address);
            learnLeaving(message.knowledge(), now);
        }
        m_dispatcher.onReport(address, message.engine_started_at_ms(), report, now);
        m_counts[address] = {{message.entries(), message.rank()},
                {message.local_entries(), message.local_rank()}, now};
    }
}

void LoadListener::learnLeaving(const protocol::StoreKnowledge &knowledge, TimePoint now)
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
    routing::EntryShare most{0, 0};
    routing::EntryShare local{0, 0};
    std::erase_if(m_counts, [now](const auto &count) { return now - count.second.at > CountLife; });
    for (const auto &[agent, count] : m_counts) {
        if (count.share.entries > most.entries)
            most = count.share;
        if (count.local.entries > local.entries)
            local = count.local;
    }
    m_dispatcher.limits().setTimeOfDayOffset(
            std::chrono::duration_cast<domain::Duration>(
                    std::chrono::system_clock::now().time_since_epoch())
            - now.time_since_epoch());
    const bool wasReader = m_fleet.turns().isPublisher();
    m_localRank = local;
    // Without any report the last rank stands: entries without one would all read at once.
    if (local.entries > 0)
        m_fleet.setRank(local.rank, local.entries);
    if (wasReader != m_fleet.turns().isPublisher()) {
        observability::logEvent(observability::Severity::Info, "store_reader",
                {{"is_reader", m_fleet.turns().isPublisher() ? 1 : 0}, {"rank", local.rank},
                        {"entries", local.entries}});
    }
    // After a restart of all, agents hear of the entries one after another: a count of the first
    // few would make each entry's part of a bound far too large. Until then the assumed number
    // holds.
    if (now < m_startEnd)
        return;
    const routing::EntryShare &before = m_dispatcher.share();
    // Without any report the last count stands: too many entries is the safe error.
    if (most.entries == 0 || (most.entries == before.entries && most.rank == before.rank))
        return;
    observability::logEvent(observability::Severity::Info, "entries_counted",
            {{"entries", most.entries}, {"rank", most.rank}, {"before", before.entries}});
    m_dispatcher.setShare(most);
}

} // namespace oriolerill::relay::internal
