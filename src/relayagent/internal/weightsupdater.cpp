#include "relayagent/internal/weightsupdater.h"

#include "observability/log.h"
#include "platform/fleetcodec.h"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <algorithm>
#include <functional>

namespace oriolerill::relayagent::internal {

namespace asio = boost::asio;
using distribution::FetchEnd;
using distribution::PieceFetch;
using domain::ErrorKind;
using domain::TimePoint;
using observability::logEvent;
using observability::Severity;
using std::chrono::milliseconds;

namespace {

constexpr auto UseTuple = asio::as_tuple(asio::use_awaitable);
constexpr auto StepInterval = milliseconds(50);
/// Minimum interval between messages about new pieces; a piece takes 42 ms over a VM's link.
constexpr auto HoldingsInterval = milliseconds(100);
/// Interval at which unchanged holdings are sent again, in case a datagram was lost.
constexpr auto UnchangedHoldingsInterval = milliseconds(400);
/// Interval between reads of the member list while pieces are missing.
constexpr auto MembersReadInterval = milliseconds(2500);
/// Interval between reads of the configuration while model or origin is unknown.
constexpr auto ConfigReadInterval = milliseconds(3000);
/// Interval between reads of the configuration while the origin fails.
constexpr auto OriginFailureReadInterval = milliseconds(3000);
/// How long service facts received from an entry stay valid; entries send them each second.
constexpr auto FactsLifetime = milliseconds(3500);
/// Wait after the start for service facts: entries read the configuration first.
constexpr auto FactsTimeout = milliseconds(2500);
/// A piece takes 42 ms over a VM's link. This covers several pieces in parallel and the time for
/// which a request waits at a peer that does not hold the piece yet.
constexpr auto PeerFetchTimeout = milliseconds(1500);
constexpr auto OriginFetchTimeout = milliseconds(2500);
/// Number of versions whose pieces are kept: the newest, and two before it. The bounds of two
/// versions may be pending at the same time, and an older one may be complete while the origin
/// cannot supply a newer one.
constexpr std::size_t MaxKeptVersions = 3;

std::string_view toString(FetchEnd end)
{
    switch (end) {
    case FetchEnd::Stored:
        return "stored";
    case FetchEnd::Corrupted:
        return "corrupted";
    case FetchEnd::Absent:
        return "absent";
    case FetchEnd::Failed:
        return "failed";
    case FetchEnd::TimedOut:
        return "timed_out";
    }
    return "failed";
}

/// Larger than the pieces and manifests of any deployment. Answers of this size to all parallel
/// fetches still take only a fifth of an agent's memory.
constexpr auto MaxAnswerSize = domain::Bytes(4U << 20U);

/// Bytes of the pieces being fetched queue in this VM's link ahead of requests to the engine. Small
/// receive buffers limit that queue to what a degraded link carries in half a second.
transport::HttpClientOptions peerOptions()
{
    transport::HttpClientOptions options;
    options.receiveBuffer = domain::Bytes(6U << 10U);
    options.maxBody = MaxAnswerSize;
    return options;
}

/// The origin accepts few connections in total, and counts those of a VM that lost power until it
/// detects the loss. So a connection is closed after each answer.
transport::HttpClientOptions originOptions()
{
    transport::HttpClientOptions options;
    options.maxIdlePerPeer = 0;
    options.maxBody = MaxAnswerSize;
    return options;
}

} // namespace

WeightsUpdater::WeightsUpdater(asio::io_context &context, EngineClient &engine,
        LoadReporter &reporter, FleetView &fleet, observability::Metrics &metrics,
        std::uint16_t peerPort, rollout::SwitchSchedule schedule, distribution::UploadPacer pacer,
        domain::SuspensionClock clock)
    : m_context(context)
    , m_reporter(reporter)
    , m_fleet(fleet)
    , m_metrics(metrics)
    , m_peerPort(peerPort)
    , m_schedule(schedule)
    , m_exchange(context, fleet, metrics, pacer, transfers())
    , m_client(context.get_executor(), peerOptions())
    , m_originClient(context.get_executor(), originOptions())
    , m_manifests(fleet, m_client, m_originClient, peerPort)
    , m_switcher(context, engine, reporter, metrics, std::move(clock))
    , m_startedAt(TimePoint::clock::now())
{
    m_reporter.setFactsHandler([this](const protocol::ServiceFacts &facts) {
        if (!m_fleet.applyFacts(facts))
            return;
        m_factsReceivedAt = TimePoint::clock::now();
        m_reporter.setModel(m_fleet.model(), m_fleet.speed());
    });
    m_reporter.setNamedHandler(
            [this](const routing::NamedVersion &version) { onNamed(version, "entry"); });
    m_reporter.setHoldingsHandler(
            [this](const std::string &host, const protocol::PieceHoldings &message) {
                onHoldings(host, message);
            });
}

PeerExchange::Transfers WeightsUpdater::transfers()
{
    const auto find = [this](const Version &version) {
        const auto known = m_transfers.find(version);
        return known == m_transfers.end() ? nullptr : known->second;
    };
    return {find, [this](Version version) { return openForPeer(std::move(version)); }};
}

asio::awaitable<WeightsUpdater::Transfer> WeightsUpdater::openForPeer(Version version)
{
    const bool isServed = version.number > 0 && version.number == servedVersion()
            && version.model == m_fleet.model();
    if (const auto known = m_transfers.find(version); known != m_transfers.end())
        co_return known->second;
    if (!isServed)
        co_return nullptr;
    co_return co_await transferOf(std::move(version));
}

void WeightsUpdater::onHoldings(const std::string &host, const protocol::PieceHoldings &message)
{
    const auto known = m_transfers.find({domain::ModelId(message.model()), message.version()});
    if (known == m_transfers.end() || message.pieces() != known->second->manifest().pieces.size())
        return;
    known->second->onHoldings(host,
            distribution::HaveMap::fromBytes(message.held(), message.pieces()), message.waiting(),
            TimePoint::clock::now());
    if (known->second == m_plannedTransfer)
        beginFetches(known->second);
}

void WeightsUpdater::sendHoldings()
{
    const TimePoint now = TimePoint::clock::now();
    for (const auto &[version, transfer] : m_transfers) {
        SentHoldings &sent = m_sentHoldings[version];
        const bool isChanged
                = sent.held != transfer->heldCount() || sent.waiting != m_exchange.waiting();
        const auto interval = isChanged ? HoldingsInterval : UnchangedHoldingsInterval;
        if (!transfer->isExchangeNeeded(now) || now - sent.at < interval)
            continue;
        sent = {transfer->heldCount(), m_exchange.waiting(), now};
        protocol::PieceHoldings message;
        message.set_model(version.model.value());
        message.set_version(version.number);
        message.set_pieces(static_cast<std::uint32_t>(transfer->manifest().pieces.size()));
        message.set_held(transfer->held().toBytes());
        message.set_waiting(static_cast<std::uint32_t>(m_exchange.waiting()));
        m_reporter.sendToAgents(message, m_fleet.localHosts());
    }
}

void WeightsUpdater::onNamed(const objectstore::ObjectList &objects)
{
    for (const objectstore::StoredObject &object : objects.objects) {
        if (object.isDeleted)
            continue;
        const auto named = platform::readNamedWeights(object.value);
        if (!named) {
            logEvent(Severity::Warning, "object_malformed",
                    {{"object", object.key}, {"error", named.error().message},
                            {"remedy", named.error().remedy}});
            continue;
        }
        onNamed({named->model, named->number, std::nullopt}, "store");
    }
}

void WeightsUpdater::onNamed(const routing::NamedVersion &version, std::string_view source)
{
    const TimePoint now = TimePoint::clock::now();
    const TimePoint namedAt = version.namedAt.value_or(now);
    const auto [known, isNew] = m_namedAt.emplace(Version{version.model, version.version}, namedAt);
    known->second = std::min(known->second, namedAt);
    if (!isNew)
        return;
    m_membersReadAt = {};
    logEvent(Severity::Info, "weights_named",
            {{"model", version.model.value()}, {"version", version.version}, {"source", source},
                    {"age_ms", std::chrono::duration_cast<milliseconds>(now - namedAt).count()}});
}

asio::awaitable<void> WeightsUpdater::wait(domain::Duration duration)
{
    asio::steady_timer timer(m_context, duration);
    co_await timer.async_wait(UseTuple);
}

asio::awaitable<void> WeightsUpdater::run()
{
    for (;;) {
        co_await step();
        sendHoldings();
        co_await wait(StepInterval);
    }
}

asio::awaitable<bool> WeightsUpdater::refreshConfig()
{
    const TimePoint now = TimePoint::clock::now();
    const bool isKnown = !m_fleet.model().isEmpty() && m_fleet.origin();
    // A failing origin may have moved; the configuration has its address. The configuration can be
    // large, and repeated reads by all agents at once fill the links between regions. So it is read
    // only while no entry sends the service facts.
    const bool hasValidFacts
            = m_factsReceivedAt != TimePoint() && now - m_factsReceivedAt <= FactsLifetime;
    if (isKnown && (hasValidFacts || !m_hasOriginFailed))
        co_return true;
    if (!isKnown && now - m_startedAt < FactsTimeout)
        co_return false;
    const auto interval = isKnown ? OriginFailureReadInterval : ConfigReadInterval;
    if (m_configReadAt != TimePoint() && now - m_configReadAt < interval)
        co_return isKnown;
    m_configReadAt = now;
    m_hasOriginFailed = false;
    const bool isRead = co_await m_fleet.readConfig();
    if (isRead)
        m_reporter.setModel(m_fleet.model(), m_fleet.speed());
    co_return isRead;
}

std::vector<std::uint64_t> WeightsUpdater::wantedVersions() const
{
    std::set<std::uint64_t, std::greater<>> wanted;
    for (const auto &[version, namedAt] : m_namedAt) {
        if (version.model == m_fleet.model())
            wanted.insert(version.number);
    }
    wanted.insert(m_fleet.maxServedVersion());
    const std::uint64_t served = servedVersion();
    std::vector<std::uint64_t> newer;
    for (const std::uint64_t number : wanted) {
        if (number > served && newer.size() < MaxKeptVersions)
            newer.push_back(number);
    }
    return newer;
}

std::uint64_t WeightsUpdater::servedVersion() const
{
    if (!m_reporter.state())
        return 0;
    const auto served = m_reporter.state()->weights.find(m_fleet.model());
    return served == m_reporter.state()->weights.end() ? 0 : served->second;
}

asio::awaitable<void> WeightsUpdater::step()
{
    if (!m_reporter.state() || !co_await refreshConfig() || !m_reporter.state())
        co_return;
    m_switcher.onEngineState();
    if (servedVersion() != 0 && wantedVersions().empty())
        co_return;
    const TimePoint now = TimePoint::clock::now();
    const bool isFirstRead = m_membersReadAt == TimePoint();
    const bool isFetching = !isNewestComplete();
    if (isFirstRead || (isFetching && now - m_membersReadAt > MembersReadInterval)) {
        m_membersReadAt = now;
        co_await m_fleet.readMembers();
    }
    co_await advance(wantedVersions());
}

bool WeightsUpdater::isNewestComplete() const
{
    const std::vector<std::uint64_t> wanted = wantedVersions();
    if (wanted.empty())
        return false;
    const auto found = m_transfers.find({m_fleet.model(), wanted.front()});
    return found != m_transfers.end() && found->second->isComplete();
}

asio::awaitable<void> WeightsUpdater::advance(std::vector<std::uint64_t> numbers)
{
    std::vector<rollout::WantedVersion> wanted;
    for (const std::uint64_t number : numbers) {
        const Version version{m_fleet.model(), number};
        Transfer transfer = co_await transferOf(version);
        if (transfer && transfer->isManifestSuspect()) {
            logEvent(Severity::Warning, "manifest_doubted",
                    {{"version", number}, {"remedy", "the manifest is fetched again"}});
            m_transfers.erase(version);
            transfer = nullptr;
        }
        wanted.push_back(describe(number, transfer));
    }
    const rollout::PushDecision decision
            = m_plan.decide(wanted, servedVersion(), TimePoint::clock::now());
    m_rotation.onFetch(decision.fetch, TimePoint::clock::now());
    if (decision.fetch) {
        const Version version{m_fleet.model(), *decision.fetch};
        if (const auto found = m_transfers.find(version); found != m_transfers.end()) {
            // Ranking the members for each piece is expensive, so the plan is kept until the list
            // changes.
            if (m_plannedTransfer != found->second || m_plannedGeneration != m_fleet.generation()) {
                m_plannedTransfer = found->second;
                m_plannedGeneration = m_fleet.generation();
                found->second->setSources(
                        std::make_shared<const distribution::PieceSources>(version, m_fleet.self(),
                                m_fleet.members(), found->second->manifest().pieces.size()));
            }
            beginFetches(found->second);
        }
    }
    if (decision.stage)
        m_switcher.begin(m_transfers[{m_fleet.model(), *decision.stage}], decision.isDue);
}

rollout::WantedVersion WeightsUpdater::describe(std::uint64_t number, const Transfer &transfer)
{
    const TimePoint now = TimePoint::clock::now();
    const Version version{m_fleet.model(), number};
    rollout::WantedVersion wanted;
    wanted.number = number;
    if (const auto named = m_namedAt.find(version); named != m_namedAt.end()) {
        wanted.namedAt = named->second;
        wanted.switchAt = m_schedule.switchAt(
                version, m_fleet.self().host, m_fleet.localHosts(), named->second);
        wanted.excludedAt = m_schedule.lastSwitchAt(named->second);
        wanted.boundAt = m_schedule.boundAt(named->second);
    }
    wanted.isStalled = !transfer || m_rotation.isStalled(number, transfer->progressAt(), now);
    if (transfer) {
        wanted.heldShare = static_cast<double>(transfer->heldCount())
                / static_cast<double>(transfer->manifest().pieces.size());
    }
    return wanted;
}

asio::awaitable<WeightsUpdater::Transfer> WeightsUpdater::transferOf(Version version)
{
    const auto known = m_transfers.find(version);
    if (known != m_transfers.end())
        co_return known->second;
    // A peer's request and step() may open the same version at the same time.
    if (!m_opening.insert(version).second)
        co_return nullptr;
    auto manifest = co_await m_manifests.find(version);
    m_hasOriginFailed = m_manifests.takeOriginFailed() || m_hasOriginFailed;
    Transfer transfer;
    if (manifest) {
        transfer = std::make_shared<distribution::VersionTransfer>(
                std::move(*manifest), TimePoint::clock::now());
        // Staged pieces belong to this version only if the engine serves it, or served it before a
        // crash.
        const std::uint64_t served = servedVersion();
        if (served == 0 || served == version.number)
            co_await m_switcher.staged().offerTo(transfer);
        m_transfers[version] = transfer;
        evictOldTransfers();
        m_exchange.onPieceStored();
        logEvent(Severity::Info, "transfer_begun",
                {{"version", version.number}, {"pieces", transfer->manifest().pieces.size()},
                        {"staged", transfer->heldCount()}, {"members", m_fleet.members().size()}});
    } else {
        logEvent(Severity::Warning, "manifest_missing",
                {{"version", version.number}, {"error", manifest.error().message},
                        {"remedy", "the manifest is requested again until a source answers"}});
    }
    m_opening.erase(version);
    co_return transfer;
}

void WeightsUpdater::evictOldTransfers()
{
    while (m_transfers.size() > MaxKeptVersions) {
        m_sentHoldings.erase(m_transfers.begin()->first);
        m_transfers.erase(m_transfers.begin());
    }
}

void WeightsUpdater::beginFetches(const Transfer &transfer)
{
    while (auto next = transfer->next(TimePoint::clock::now()))
        asio::co_spawn(m_context, fetch(transfer, std::move(*next)), asio::detached);
}

asio::awaitable<void> WeightsUpdater::fetch(Transfer transfer, PieceFetch fetch)
{
    const Version version = transfer->manifest().version;
    transport::HttpRequest request;
    domain::SocketAddress address{fetch.source.host, m_peerPort};
    auto timeout = domain::Duration(PeerFetchTimeout);
    request.target = PeerExchange::pieceTarget(version, fetch.piece);
    if (fetch.source.isOrigin()) {
        address = *m_fleet.origin();
        request.target = platform::pieceTarget(version, fetch.piece);
        request.fields.add("Connection", "close");
        timeout = OriginFetchTimeout;
    }
    const TimePoint startedAt = TimePoint::clock::now();
    transport::HttpClient &client = fetch.source.isOrigin() ? m_originClient : m_client;
    auto response = co_await client.send(address, std::move(request), startedAt + timeout);
    FetchEnd end = FetchEnd::Failed;
    std::string bytes;
    if (response && response->status == 200) {
        end = FetchEnd::Stored;
        bytes = std::move(response->body);
        m_metrics.increment("oriolerill_agent_fetched_bytes_total",
                {{"source", fetch.source.isOrigin() ? "origin" : "peer"}}, bytes.size());
    } else if (response && response->status == 404) {
        end = FetchEnd::Absent;
    } else if (!response && response.error().kind == ErrorKind::Timeout) {
        end = FetchEnd::TimedOut;
    }
    m_hasOriginFailed = m_hasOriginFailed || (fetch.source.isOrigin() && !response);
    const std::size_t size = bytes.size();
    const TimePoint now = TimePoint::clock::now();
    const FetchEnd final = transfer->onEnd(fetch, end, std::move(bytes), now);
    if (final == FetchEnd::Stored)
        m_exchange.onPieceStored();
    if (final != FetchEnd::Absent) {
        logEvent(final == FetchEnd::Stored ? Severity::Debug : Severity::Warning, "piece_fetched",
                {{"version", version.number}, {"piece", fetch.piece},
                        {"source", fetch.source.isOrigin() ? "origin" : fetch.source.host},
                        {"end", toString(final)}, {"bytes", size},
                        {"ms", std::chrono::duration_cast<milliseconds>(now - startedAt).count()},
                        {"reason", response ? "" : response.error().message}});
    }
    if (transfer->isComplete() && final == FetchEnd::Stored) {
        logEvent(Severity::Info, "transfer_complete",
                {{"version", version.number}, {"pieces", transfer->heldCount()}});
    }
    if (final == FetchEnd::Stored || final == FetchEnd::Absent)
        beginFetches(transfer);
}

} // namespace oriolerill::relayagent::internal
