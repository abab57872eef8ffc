#include "relayagent/internal/loadreporter.h"

#include "config/versiontext.h"
#include "observability/log.h"
#include "protocol/control.pb.h"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <algorithm>
#include <array>
#include <cmath>
#include <functional>
#include <set>

namespace oriolerill::relayagent::internal {

namespace asio = boost::asio;
using asio::ip::udp;
using domain::TimePoint;
using observability::logEvent;
using observability::Severity;

namespace {

constexpr auto UseTuple = asio::as_tuple(asio::use_awaitable);
constexpr auto ReportInterval = std::chrono::milliseconds(100);
/// Entries subscribe each second; this covers three lost datagrams and a delay. Until it ends, an
/// entry that has stopped is still counted, which only makes each entry's share of a bound smaller.
constexpr auto SubscriberLifetime = std::chrono::milliseconds(6000);
/// Covers three lost or late subscriptions.
constexpr auto StoreAnsweringLifetime = std::chrono::milliseconds(3000);
/// Covers one lost subscription.
constexpr auto SourceLifetime = std::chrono::milliseconds(2500);
/// Interval at which evidence of crashes is sent again, for entries that have just started or lost
/// a datagram. Shorter than the operators' time of contact.
constexpr auto EvidenceInterval = std::chrono::milliseconds(1500);
/// One of this many reports carries the entries' store knowledge, which changes rarely; reports
/// cross regions.
constexpr std::uint64_t KnowledgeReportDivisor = 5;
/// Entries of other data centres that have sent no requests to the engine for this long get only
/// every third report. Most of them never send any, and reports to all of them are most of the
/// traffic between regions.
constexpr auto ActivityLifetime = std::chrono::milliseconds(3000);
constexpr std::uint64_t IdleReportDivisor = 3;
constexpr std::size_t MaxDatagramBytes = 1500;
/// Maximum number of leaving endpoints in one report; they share its datagram with the other
/// fields.
constexpr int MaxLeaving = 16;
/// Maximum number of models in one report, which is one datagram.
constexpr std::size_t MaxModels = 8;

bool isNewer(const protocol::Version &version, const protocol::Version &other)
{
    return config::fromProtocol(version) > config::fromProtocol(other);
}

} // namespace

LoadReporter::LoadReporter(asio::io_context &context, EngineClient &engine,
        domain::DataCentreId dataCentre, const domain::SocketAddress &listen)
    : m_context(context)
    , m_engine(engine)
    , m_dataCentre(std::move(dataCentre))
    , m_listen(listen)
    , m_socket(context)
    // The agents of a data centre begin with different entries.
    , m_entryTurn(std::hash<std::string>{}(listen.host))
    , m_grants(std::hash<std::string>{}(listen.host))
{}

domain::Expected<domain::Done> LoadReporter::open()
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

asio::awaitable<void> LoadReporter::receive()
{
    std::array<char, MaxDatagramBytes> bytes;
    udp::endpoint sender;
    for (;;) {
        auto [code, size]
                = co_await m_socket.async_receive_from(asio::buffer(bytes), sender, UseTuple);
        if (code == asio::error::operation_aborted)
            co_return;
        if (code) {
            logEvent(Severity::Warning, "datagrams_unreadable",
                    {{"error", code.message()}, {"remedy", "the next datagram is awaited"}});
            continue;
        }
        protocol::AgentDatagram datagram;
        if (!datagram.ParseFromArray(bytes.data(), static_cast<int>(size))) {
            logEvent(Severity::Warning, "datagram_malformed",
                    {{"sender", sender.address().to_string()}, {"bytes", size},
                            {"remedy", "check what sends to the load port"}});
            continue;
        }
        if (datagram.has_holdings() && m_onHoldings)
            m_onHoldings(sender.address().to_string(), datagram.holdings());
        if (datagram.has_remote_holdings() && m_onRemoteHoldings)
            m_onRemoteHoldings(datagram.remote_holdings());
        if (datagram.has_knowledge())
            onKnowledge(datagram.knowledge());
        if (datagram.has_update())
            forward(datagram.update(), sender);
        if (datagram.has_raised_limit())
            forward(datagram.raised_limit(), sender);
        if (datagram.has_crash_evidence())
            onCrashEvidence(datagram.crash_evidence(), sender);
        if (!datagram.has_subscription())
            continue;
        const protocol::LoadSubscription &message = datagram.subscription();
        const bool isNew = m_subscribers.count(sender) == 0;
        const TimePoint now = TimePoint::clock::now();
        Subscriber &subscriber = m_subscribers[sender];
        // Any process can send a datagram; a demand that is not finite would make all shares
        // invalid.
        subscriber.demand = std::isfinite(message.demand()) ? std::max(message.demand(), 0.0) : 0;
        subscriber.isLocal = message.data_centre() == m_dataCentre.value();
        subscriber.seenAt = now;
        subscriber.knowledge = message.knowledge();
        if (message.demand() > 0)
            subscriber.activeAt = now;
        onKnowledge(message.knowledge());
        if (message.has_service() && m_onFacts)
            m_onFacts(message.service());
        if (isNew) {
            logEvent(Severity::Info, "entry_subscribed",
                    {{"entry", message.entry()}, {"data_centre", message.data_centre()},
                            {"entries", m_subscribers.size()}});
            // An entry that has just started must not try again what has crashed engines before.
            if (subscriber.isLocal && !m_crashes.isEmpty())
                sendCrashEvidenceTo(sender);
        }
    }
}

asio::awaitable<void> LoadReporter::report()
{
    asio::steady_timer timer(m_context);
    for (;;) {
        auto state = co_await m_engine.readState();
        if (state.hasValue() != m_state.has_value()) {
            logEvent(state ? Severity::Info : Severity::Warning,
                    state ? "engine_answers" : "engine_silent",
                    {{"engine", m_engine.address().toString()},
                            {"reason", state ? "" : state.error().message}});
        }
        m_state = state ? std::optional(*state) : std::nullopt;
        const auto now = TimePoint::clock::now();
        std::erase_if(m_subscribers, [now](const auto &subscriber) {
            return now - subscriber.second.seenAt > SubscriberLifetime;
        });
        repeatCrashEvidence(now);
        // No reports while the engine does not answer; entries detect that by the age of the last
        // one.
        if (m_state)
            send(false);
        timer.expires_after(ReportInterval);
        co_await timer.async_wait(UseTuple);
    }
}

void LoadReporter::setSwitching(bool isSwitching)
{
    if (m_isSwitching == isSwitching)
        return;
    m_isSwitching = isSwitching;
    if (m_state)
        send(true);
}

void LoadReporter::onKnowledge(const protocol::StoreKnowledge &knowledge)
{
    const TimePoint now = TimePoint::clock::now();
    for (const protocol::NamedWeights &named : knowledge.named()) {
        const routing::NamedVersion version = routing::decodeNamedVersion(named, now);
        if (m_named.size() >= MaxModels && m_named.count(version.model) == 0)
            continue;
        auto &versions = m_named[version.model];
        routing::NamedVersion &known = versions.try_emplace(version.version, version).first->second;
        if (version.namedAt)
            known.namedAt = std::min(known.namedAt.value_or(*version.namedAt), *version.namedAt);
        m_onNamed(known);
        while (versions.size() > routing::MaxPublishedVersions)
            versions.erase(versions.begin());
    }
    if (knowledge.is_store_answering() && m_onNamedVersionsRead)
        m_onNamedVersionsRead();
}

bool LoadReporter::isReportDue(
        const Subscriber &subscriber, std::size_t position, TimePoint now) const
{
    const bool isActive = subscriber.isLocal || now - subscriber.activeAt <= ActivityLifetime;
    return isActive || (m_sequence + position) % IdleReportDivisor == 0;
}

bool LoadReporter::isStoreAnsweringEntries(TimePoint now) const
{
    return std::any_of(m_subscribers.begin(), m_subscribers.end(), [now](const auto &entry) {
        return entry.second.knowledge.is_store_answering()
                && now - entry.second.seenAt <= StoreAnsweringLifetime;
    });
}

std::optional<domain::SocketAddress> LoadReporter::nextEntry(TimePoint now)
{
    std::vector<udp::endpoint> answered;
    std::vector<udp::endpoint> others;
    for (const auto &[entry, subscriber] : m_subscribers) {
        if (subscriber.isLocal && now - subscriber.seenAt <= StoreAnsweringLifetime)
            (subscriber.knowledge.is_store_answering() ? answered : others).push_back(entry);
    }
    const std::vector<udp::endpoint> &entries = answered.empty() ? others : answered;
    if (entries.empty())
        return std::nullopt;
    const udp::endpoint &entry = entries[m_entryTurn++ % entries.size()];
    return domain::SocketAddress{entry.address().to_string(), entry.port()};
}

protocol::StoreKnowledge LoadReporter::knowledge() const
{
    protocol::StoreKnowledge merged;
    const TimePoint now = TimePoint::clock::now();
    for (const auto &[model, versions] : m_named) {
        for (const auto &[number, version] : versions)
            *merged.add_named() = routing::encodeNamedVersion(version, now);
    }
    std::set<std::string> addedIds;
    for (const auto &[entry, subscriber] : m_subscribers) {
        const protocol::StoreKnowledge &reported = subscriber.knowledge;
        if (isNewer(reported.configuration_changed_at(), merged.configuration_changed_at()))
            *merged.mutable_configuration_changed_at() = reported.configuration_changed_at();
        // Only an entry that has read the latest change has the data centres withdrawn by it.
        if (isNewer(reported.withdrawals_changed_at(), merged.withdrawals_changed_at())) {
            *merged.mutable_withdrawals_changed_at() = reported.withdrawals_changed_at();
            *merged.mutable_withdrawn() = reported.withdrawn();
        }
        if (isNewer(reported.weights_changed_at(), merged.weights_changed_at()))
            *merged.mutable_weights_changed_at() = reported.weights_changed_at();
        if (isNewer(reported.endpoints_changed_at(), merged.endpoints_changed_at()))
            *merged.mutable_endpoints_changed_at() = reported.endpoints_changed_at();
        for (const protocol::LeavingEndpoint &leaving : reported.leaving()) {
            if (merged.leaving_size() < MaxLeaving && addedIds.insert(leaving.id()).second)
                *merged.add_leaving() = leaving;
        }
    }
    return merged;
}

std::string LoadReporter::sourceOf(
        VersionField field, const protocol::StoreKnowledge &merged, TimePoint now) const
{
    const domain::ConfigVersion newest = config::fromProtocol((merged.*field)());
    std::vector<const udp::endpoint *> sources;
    for (const auto &[entry, subscriber] : m_subscribers) {
        const bool isSource = subscriber.isLocal && now - subscriber.seenAt <= SourceLifetime
                && config::fromProtocol((subscriber.knowledge.*field)()) == newest;
        if (isSource)
            sources.push_back(&entry);
    }
    if (sources.empty() || newest == domain::ConfigVersion())
        return {};
    // Many entries ask at the same time, so the reports name the sources in turn.
    const udp::endpoint &source = *sources[m_sequence / KnowledgeReportDivisor % sources.size()];
    return domain::SocketAddress{source.address().to_string(), source.port()}.toString();
}

void LoadReporter::sendToAgents(
        const protocol::AgentDatagram &datagram, const std::vector<std::string> &hosts)
{
    const std::string bytes = datagram.SerializeAsString();
    for (const std::string &host : hosts) {
        boost::system::error_code code;
        const auto address = asio::ip::make_address_v4(host, code);
        // A lost datagram is replaced by the next one.
        if (!code && host != m_listen.host)
            m_socket.send_to(asio::buffer(bytes), {address, m_listen.port}, 0, code);
    }
}

void LoadReporter::forward(const protocol::StoreUpdate &update, const udp::endpoint &sender)
{
    protocol::EntryDatagram datagram;
    *datagram.mutable_update() = update;
    const std::string bytes = datagram.SerializeAsString();
    for (const auto &[entry, subscriber] : m_subscribers) {
        boost::system::error_code code;
        // An entry that misses a datagram detects the gap and reads the store.
        if (subscriber.isLocal && entry != sender)
            m_socket.send_to(asio::buffer(bytes), entry, 0, code);
    }
}

void LoadReporter::forward(const protocol::RaisedLimit &raised, const udp::endpoint &sender)
{
    protocol::EntryDatagram datagram;
    *datagram.mutable_raised_limit() = raised;
    const std::string bytes = datagram.SerializeAsString();
    for (const auto &[entry, subscriber] : m_subscribers) {
        boost::system::error_code code;
        if (entry != sender)
            m_socket.send_to(asio::buffer(bytes), entry, 0, code);
    }
}

void LoadReporter::onCrashEvidence(
        const protocol::CrashEvidence &evidence, const udp::endpoint &sender)
{
    if (m_crashes.merge(evidence, TimePoint::clock::now()).isNews)
        sendCrashEvidence(&sender);
}

void LoadReporter::sendCrashEvidence(const udp::endpoint *sender)
{
    for (const auto &[entry, subscriber] : m_subscribers) {
        // Entries of other data centres receive it from the agents there.
        if (subscriber.isLocal && (sender == nullptr || entry != *sender))
            sendCrashEvidenceTo(entry);
    }
}

void LoadReporter::sendCrashEvidenceTo(const udp::endpoint &entry)
{
    protocol::EntryDatagram datagram;
    *datagram.mutable_crash_evidence() = m_crashes.encode(TimePoint::clock::now());
    boost::system::error_code code;
    m_socket.send_to(asio::buffer(datagram.SerializeAsString()), entry, 0, code);
}

void LoadReporter::repeatCrashEvidence(TimePoint now)
{
    if (now < m_evidenceRepeatAt)
        return;
    m_evidenceRepeatAt = now + EvidenceInterval;
    m_crashes.expire(now);
    if (!m_crashes.isEmpty())
        sendCrashEvidence(nullptr);
}

void LoadReporter::setModel(const domain::ModelId &model, const routing::EngineSpeed &speed)
{
    m_model = model;
    m_speed = speed;
}

void LoadReporter::send(bool isUrgent)
{
    protocol::EntryDatagram datagram;
    protocol::LoadReport &message = *datagram.mutable_report();
    message.set_endpoint_port(m_engine.address().port);
    message.set_sequence(++m_sequence);
    message.set_running(m_state->running);
    message.set_waiting(m_state->waiting);
    const auto version = m_state->weights.find(m_model);
    message.set_weights_version(version == m_state->weights.end() ? 0 : version->second);
    if (m_state->pace > 1)
        message.set_pace(m_state->pace);
    message.set_is_switching(m_isSwitching);
    message.set_entries(static_cast<std::uint32_t>(m_subscribers.size()));
    message.set_engine_started_at_ms(m_state->startedAtMs);
    routing::EngineOccupancy occupancy;
    occupancy.slots = std::max(m_speed.slots, 1U);
    occupancy.running = m_state->running;
    occupancy.waiting = m_state->waiting;
    const double completionIntervalMs
            = m_speed.completionIntervalMs() * std::max(m_state->pace, 1.0);
    occupancy.completedPerSecond = completionIntervalMs > 0 ? 1000 / completionIntervalMs : 0;
    occupancy.reportIntervalSeconds = std::chrono::duration<double>(ReportInterval).count();
    std::vector<double> demands;
    for (const auto &[entry, subscriber] : m_subscribers)
        demands.push_back(subscriber.demand);
    const double capacity = m_isSwitching ? 0 : routing::grantableCapacity(occupancy);
    const std::vector<std::uint32_t> grants = m_grants.split(capacity, demands);
    const TimePoint now = TimePoint::clock::now();
    std::string configurationSource;
    std::string endpointsSource;
    if (m_sequence % KnowledgeReportDivisor == 0) {
        *message.mutable_knowledge() = knowledge();
        using protocol::StoreKnowledge;
        configurationSource
                = sourceOf(&StoreKnowledge::configuration_changed_at, message.knowledge(), now);
        endpointsSource = sourceOf(&StoreKnowledge::endpoints_changed_at, message.knowledge(), now);
    }
    std::size_t position = 0;
    const auto localEntries = static_cast<std::uint32_t>(std::count_if(m_subscribers.begin(),
            m_subscribers.end(), [](const auto &entry) { return entry.second.isLocal; }));
    std::uint32_t localPosition = 0;
    for (const auto &[entry, subscriber] : m_subscribers) {
        message.set_rank(static_cast<std::uint32_t>(position));
        message.set_local_entries(subscriber.isLocal ? localEntries : 0);
        message.set_local_rank(subscriber.isLocal ? localPosition++ : 0);
        message.set_grant(grants[position++]);
        if (message.has_knowledge()) {
            protocol::StoreKnowledge &knowledge = *message.mutable_knowledge();
            knowledge.set_configuration_source(subscriber.isLocal ? configurationSource : "");
            knowledge.set_endpoints_source(subscriber.isLocal ? endpointsSource : "");
        }
        if (!isUrgent && !isReportDue(subscriber, position, now))
            continue;
        const std::string bytes = datagram.SerializeAsString();
        boost::system::error_code code;
        // A lost report is replaced by the next one.
        m_socket.send_to(asio::buffer(bytes), entry, 0, code);
    }
}

} // namespace oriolerill::relayagent::internal
