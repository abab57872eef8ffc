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
/// Interval between requests for a manifest that nobody has yet; doubles up to the maximum, so that
/// a fleet without the origin does not request it hundreds of times a second.
constexpr auto MinManifestInterval = milliseconds(100);
constexpr auto MaxManifestInterval = milliseconds(400);

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
    // The origin of another region answers within some milliseconds; packets to one that is down
    // may be dropped.
    options.connectTimeout = milliseconds(600);
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
    , m_holdings(reporter, fleet)
    , m_origin(context, fleet, m_holdings, m_originClient, metrics,
              [this](const Transfer &transfer, const PieceFetch &fetch, FetchEnd end,
                      std::string bytes) { return store(transfer, fetch, end, std::move(bytes)); })
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
    m_reporter.setNamedVersionsReadHandler([this] { onNamedVersionsRead(); });
    m_reporter.setHoldingsHandler(
            [this](const std::string &host, const protocol::PieceHoldings &message) {
                onHoldings(host, message);
            });
    m_reporter.setRemoteHoldingsHandler([this](const protocol::DataCentreHoldings &message) {
        const Transfer transfer = findTransfer(message.model(), message.version());
        onPeerVersion(message.model(), message.version(), message.pieces());
        m_holdings.onRemote(message, transfer, true);
        if (transfer)
            continueFetches(transfer);
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

WeightsUpdater::Transfer WeightsUpdater::findTransfer(
        const std::string &model, std::uint64_t version) const
{
    const auto known = m_transfers.find({domain::ModelId(model), version});
    return known == m_transfers.end() ? nullptr : known->second;
}

void WeightsUpdater::onPeerVersion(
        const std::string &model, std::uint64_t version, std::size_t pieces)
{
    // A peer without a manifest may have received the version in a corrupted answer.
    if (pieces == 0 || model != m_fleet.model().value())
        return;
    const TimePoint now = TimePoint::clock::now();
    if (m_unnamed.isSearchNeeded(now))
        m_holdings.holdings().expectReports(now);
    m_unnamed.onPeer(version, now);
}

void WeightsUpdater::onHoldings(const std::string &host, const protocol::PieceHoldings &message)
{
    onPeerVersion(message.model(), message.version(), message.pieces());
    const Transfer transfer = findTransfer(message.model(), message.version());
    m_holdings.onHoldings(host, message, transfer);
    if (transfer)
        continueFetches(transfer);
}

void WeightsUpdater::sendHoldings()
{
    m_holdings.send(m_transfers, m_exchange.waiting(), m_origin.isUnreachable());
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
    onNamedVersionsRead();
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
    m_holdings.holdings().expectReports(now);
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
        logAwaited();
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
    const std::uint64_t served = servedVersion();
    std::uint64_t unnamed = m_fleet.maxServedVersion();
    if (served == 0)
        unnamed = std::max(unnamed, m_unnamed.newest(TimePoint::clock::now()));
    // An engine never loads an older version than a named one only because another VM serves it.
    if (wanted.empty() || unnamed > *wanted.begin())
        wanted.insert(unnamed);
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

std::string_view WeightsUpdater::awaitedByEngine() const
{
    if (!m_reporter.state())
        return "engine_report";
    if (servedVersion() != 0)
        return "nothing";
    if (m_fleet.model().isEmpty() || !m_fleet.origin())
        return "configuration";
    const std::vector<std::uint64_t> wanted = wantedVersions();
    if (wanted.empty())
        return m_unnamed.areNamedVersionsRead() ? "newest_version" : "named_versions";
    const auto found = m_transfers.find({m_fleet.model(), wanted.front()});
    if (found == m_transfers.end())
        return "manifest";
    return found->second->isComplete() ? "load" : "pieces";
}

void WeightsUpdater::logAwaited()
{
    const std::string_view awaited = awaitedByEngine();
    if (awaited == m_loggedAwaited)
        return;
    m_loggedAwaited = awaited;
    logEvent(Severity::Info, "weights_awaited",
            {{"for", awaited}, {"members", m_fleet.members().size()},
                    {"origin_requests", m_origin.plan() ? "planned" : "unplanned"}});
}

asio::awaitable<void> WeightsUpdater::step()
{
    if (!m_reporter.state() || !co_await refreshConfig() || !m_reporter.state())
        co_return;
    m_switcher.onEngineState();
    m_unnamed.setModel(m_fleet.model());
    m_unnamed.onConfirmed(servedVersion());
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
    const bool isOriginPlanned = m_origin.update();
    if (numbers.empty())
        searchNewest();
    std::vector<rollout::WantedVersion> wanted;
    for (const std::uint64_t number : numbers) {
        const Version version{m_fleet.model(), number};
        Transfer transfer;
        if (isOriginPlanned)
            transfer = openTransfer(version);
        else
            transfer = co_await transferOf(version);
        if (transfer && transfer->isManifestSuspect()) {
            logEvent(Severity::Warning, "manifest_doubted",
                    {{"version", number}, {"remedy", "the manifest is fetched again"}});
            // The pieces stay for the case that the manifest was right and the origin was not.
            m_doubted[version] = std::move(transfer);
            m_transfers.erase(version);
            transfer = nullptr;
        }
        wanted.push_back(describe(number, transfer));
    }
    const TimePoint now = TimePoint::clock::now();
    const rollout::PushDecision decision = m_plan.decide(wanted, servedVersion(), now);
    m_fetchOrder.clear();
    if (isOriginPlanned) {
        std::vector<rollout::PendingVersion> pending;
        // Newest first; an older version than one that is held whole is not needed any more.
        for (const rollout::WantedVersion &version : wanted) {
            if (version.isComplete())
                break;
            // Entries stop sending requests to engines with older versions at this time.
            pending.push_back({version.number,
                    version.namedAt ? version.excludedAt : m_schedule.lastSwitchAt(now), 0});
        }
        m_fetchOrder = m_origin.order(m_transfers, std::move(pending), now);
    } else if (decision.fetch) {
        m_fetchOrder.push_back(*decision.fetch);
    }
    fetchInOrder(m_fetchOrder);
    if (decision.stage)
        m_switcher.begin(m_transfers[{m_fleet.model(), *decision.stage}], decision.isDue);
}

void WeightsUpdater::searchNewest()
{
    const TimePoint now = TimePoint::clock::now();
    if (!m_unnamed.isSearchNeeded(now))
        return;
    // One of the running VMs asks the origin.
    m_holdings.sendPresence({m_fleet.model(), 0}, m_origin.isUnreachable());
    const bool mayAskOrigin = m_origin.plan() ? m_origin.mayReadManifest(now)
                                              : m_manifests.mayFindNewest(m_fleet.model(), now);
    if (!mayAskOrigin || m_isSearchingNewest || now < m_newestSearch.nextAt)
        return;
    m_isSearchingNewest = true;
    asio::co_spawn(m_context, findNewest(), asio::detached);
}

asio::awaitable<void> WeightsUpdater::findNewest()
{
    const auto newest = co_await m_manifests.findNewest(m_fleet.model());
    const bool hasOriginFailed = m_manifests.takeOriginFailed();
    m_hasOriginFailed = m_hasOriginFailed || hasOriginFailed;
    if (m_origin.plan())
        m_origin.onManifest(!hasOriginFailed);
    const TimePoint now = TimePoint::clock::now();
    if (newest) {
        m_holdings.holdings().expectReports(now);
        m_unnamed.onOriginAnswer(newest->number, now);
        m_newestSearch = {};
        logEvent(Severity::Info, "newest_version_found",
                {{"model", newest->model.value()}, {"version", newest->number},
                        {"source", "origin"}});
    } else {
        scheduleSearch(m_newestSearch, "newest", newest.error());
    }
    m_isSearchingNewest = false;
}

void WeightsUpdater::scheduleSearch(
        ManifestSearch &search, const std::string &version, const domain::Error &error)
{
    constexpr std::uint32_t MaxDoublings = 4;
    const auto interval = MinManifestInterval * (1U << std::min(search.failures, MaxDoublings));
    search.nextAt = TimePoint::clock::now() + std::min(interval, MaxManifestInterval);
    // Logged once; transfer_begun is the end of the search.
    if (search.failures++ == 0) {
        logEvent(Severity::Warning, "manifest_missing",
                {{"version", version}, {"error", error.message},
                        {"remedy", "the manifest is requested again until a source answers"}});
    }
}

void WeightsUpdater::fetchInOrder(const std::vector<std::uint64_t> &order)
{
    const TimePoint now = TimePoint::clock::now();
    std::optional<std::uint64_t> fetched;
    for (const std::uint64_t number : order) {
        const Version version{m_fleet.model(), number};
        const auto found = m_transfers.find(version);
        if (found == m_transfers.end() || found->second->isComplete())
            continue;
        const Transfer transfer = found->second;
        setSources(version, transfer);
        // The next version is fetched only while no piece of this one can be received.
        if (!fetched || !m_transfers.at({m_fleet.model(), *fetched})->isReceiving())
            beginFetches(transfer);
        fetched = fetched.value_or(number);
    }
    m_rotation.onFetch(fetched      ? fetched
                    : order.empty() ? std::nullopt
                                    : std::optional(order.back()),
            now);
    if (m_origin.plan()) {
        m_origin.begin(m_transfers, order);
        m_hasOriginFailed = m_hasOriginFailed || m_origin.isUnreachable();
    }
}

void WeightsUpdater::setSources(const Version &version, const Transfer &transfer)
{
    if (m_origin.plan())
        transfer->setStopped(m_holdings.stoppedHosts(version, TimePoint::clock::now()));
    // Ranking the members for each piece is expensive, so the plan is kept until the list changes.
    const SourcesInput input{m_fleet.generation(), m_origin.plan()};
    if (std::exchange(m_sourcesInputs[version], input) == input)
        return;
    transfer->setSources(std::make_shared<const distribution::PieceSources>(version, m_fleet.self(),
            m_fleet.members(), transfer->manifest().pieces.size(), m_origin.plan()));
}

void WeightsUpdater::continueFetches(const Transfer &transfer)
{
    for (const std::uint64_t number : m_fetchOrder) {
        const auto found = m_transfers.find({m_fleet.model(), number});
        if (found == m_transfers.end() || found->second->isComplete())
            continue;
        if (found->second == transfer)
            beginFetches(transfer);
        if (found->second == transfer || found->second->isReceiving())
            break;
    }
    if (m_origin.plan())
        m_origin.begin(m_transfers, m_fetchOrder);
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

WeightsUpdater::Transfer WeightsUpdater::openTransfer(const Version &version)
{
    if (const auto known = m_transfers.find(version); known != m_transfers.end())
        return known->second;
    const TimePoint now = TimePoint::clock::now();
    m_holdings.sendPresence(version, m_origin.isUnreachable());
    const auto search = m_manifestSearches.find(version);
    const bool isDue = search == m_manifestSearches.end() || now >= search->second.nextAt
            || m_holdings.hasSender(version, now);
    if (isDue && m_opening.count(version) == 0) {
        asio::co_spawn(
                m_context,
                [](WeightsUpdater &updater, Version opened) -> asio::awaitable<void> {
                    co_await updater.transferOf(std::move(opened));
                }(*this, version),
                asio::detached);
    }
    return nullptr;
}

asio::awaitable<domain::Expected<distribution::PieceManifest>> WeightsUpdater::findManifest(
        const Version &version)
{
    if (!m_origin.plan())
        co_return co_await m_manifests.find(version);
    const TimePoint now = TimePoint::clock::now();
    const bool mayAskOrigin = m_origin.mayReadManifest(now);
    /// Hosts that are asked before the search is repeated.
    constexpr std::size_t MaxHosts = 2;
    std::vector<std::string> hosts = m_holdings.holders(version, now);
    hosts.resize(std::min(hosts.size(), MaxHosts));
    // Listed members may be gone: after a loss of power the list names their former versions.
    const auto search = m_manifestSearches.find(version);
    const bool hasFailed = search != m_manifestSearches.end() && search->second.failures > 0;
    const bool isRemote = hosts.empty() || (hasFailed && !m_holdings.hasSender(version, now));
    if (isRemote && mayAskOrigin)
        hosts = m_origin.remoteManifestReaders();
    // A VM without a peer that has the manifest waits for the one that asks the origin. Peers may
    // have the same wrong manifest.
    const bool isOriginAsked = mayAskOrigin && (isRemote || m_doubted.count(version) > 0);
    auto manifest = co_await m_manifests.find(version, isOriginAsked, std::move(hosts));
    if (isOriginAsked)
        m_origin.onManifest(!m_manifests.takeOriginFailed());
    co_return manifest;
}

asio::awaitable<WeightsUpdater::Transfer> WeightsUpdater::transferOf(Version version)
{
    const auto known = m_transfers.find(version);
    if (known != m_transfers.end())
        co_return known->second;
    // A peer's request and step() may open the same version at the same time.
    if (!m_opening.insert(version).second)
        co_return nullptr;
    auto manifest = co_await findManifest(version);
    m_hasOriginFailed = m_manifests.takeOriginFailed() || m_hasOriginFailed;
    Transfer transfer;
    if (manifest) {
        m_manifestSearches.erase(version);
        transfer = std::make_shared<distribution::VersionTransfer>(
                std::move(*manifest), TimePoint::clock::now());
        // Staged pieces belong to this version only if the engine serves it, or served it before a
        // crash.
        const std::uint64_t served = servedVersion();
        if (served == 0 || served == version.number)
            co_await m_switcher.staged().offerTo(transfer);
        if (const auto doubted = m_doubted.find(version); doubted != m_doubted.end()) {
            for (std::uint32_t i = 0; i < transfer->manifest().pieces.size(); ++i) {
                if (const auto bytes = doubted->second->piece(i))
                    transfer->offer(i, *bytes);
            }
            m_doubted.erase(doubted);
        }
        m_transfers[version] = transfer;
        if (version.model == m_fleet.model())
            m_unnamed.onConfirmed(version.number);
        m_sourcesInputs.erase(version);
        evictOldTransfers();
        m_exchange.onPieceStored();
        logEvent(Severity::Info, "transfer_begun",
                {{"version", version.number}, {"pieces", transfer->manifest().pieces.size()},
                        {"staged", transfer->heldCount()}, {"members", m_fleet.members().size()}});
    } else {
        scheduleSearch(
                m_manifestSearches[version], std::to_string(version.number), manifest.error());
    }
    m_opening.erase(version);
    co_return transfer;
}

void WeightsUpdater::evictOldTransfers()
{
    while (m_transfers.size() > MaxKeptVersions) {
        m_holdings.forget(m_transfers.begin()->first);
        m_sourcesInputs.erase(m_transfers.begin()->first);
        m_transfers.erase(m_transfers.begin());
    }
    const auto isOld
            = [this](const auto &entry) { return entry.first < m_transfers.begin()->first; };
    std::erase_if(m_manifestSearches, isOld);
    std::erase_if(m_doubted, isOld);
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
    const FetchEnd final = store(transfer, fetch, end, std::move(bytes));
    const TimePoint now = TimePoint::clock::now();
    if (final != FetchEnd::Absent) {
        logEvent(final == FetchEnd::Stored ? Severity::Debug : Severity::Warning, "piece_fetched",
                {{"version", version.number}, {"piece", fetch.piece},
                        {"source", fetch.source.isOrigin() ? "origin" : fetch.source.host},
                        {"end", distribution::toString(final)}, {"bytes", size},
                        {"ms", std::chrono::duration_cast<milliseconds>(now - startedAt).count()},
                        {"reason", response ? "" : response.error().message}});
    }
    if (final == FetchEnd::Stored || final == FetchEnd::Absent)
        continueFetches(transfer);
}

FetchEnd WeightsUpdater::store(
        const Transfer &transfer, const PieceFetch &fetch, FetchEnd end, std::string bytes)
{
    const FetchEnd final = transfer->onEnd(fetch, end, std::move(bytes), TimePoint::clock::now());
    if (final != FetchEnd::Stored)
        return final;
    m_exchange.onPieceStored();
    if (transfer->isComplete()) {
        logEvent(Severity::Info, "transfer_complete",
                {{"version", transfer->manifest().version.number},
                        {"pieces", transfer->heldCount()}});
    }
    return final;
}

} // namespace oriolerill::relayagent::internal
