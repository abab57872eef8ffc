#pragma once

#include "distribution/versiontransfer.h"
#include "domain/suspensionclock.h"
#include "domain/timepoint.h"
#include "objectstore/storesubscriber.h"
#include "observability/metrics.h"
#include "relayagent/internal/engineclient.h"
#include "relayagent/internal/engineswitcher.h"
#include "relayagent/internal/fleetview.h"
#include "relayagent/internal/holdingsexchange.h"
#include "relayagent/internal/loadreporter.h"
#include "relayagent/internal/manifestfinder.h"
#include "relayagent/internal/originreader.h"
#include "relayagent/internal/peerexchange.h"
#include "rollout/fetchrotation.h"
#include "rollout/pushplan.h"
#include "rollout/switchschedule.h"
#include "rollout/unnamedversion.h"
#include "transport/httpclient.h"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include <map>
#include <memory>
#include <set>
#include <string_view>

namespace oriolerill::relayagent::internal {

/// Updates the engine on this VM to the newest named version of its model: fetches the pieces from
/// peers and the origin, verifies and stages them, and orders the engine to load them. Serves
/// verified pieces to peers.
class WeightsUpdater
{
public:
    WeightsUpdater(boost::asio::io_context &context, EngineClient &engine, LoadReporter &reporter,
            FleetView &fleet, observability::Metrics &metrics, std::uint16_t peerPort,
            rollout::SwitchSchedule schedule, distribution::UploadPacer pacer,
            domain::SuspensionClock clock = domain::SuspensionClock());

    void onNamed(const objectstore::ObjectList &objects);
    void onNamed(const routing::NamedVersion &version, std::string_view source);
    /// The store's named versions have been received; there may be none.
    void onNamedVersionsRead() { m_unnamed.onNamedVersionsRead(); }
    boost::asio::awaitable<void> run();
    PeerExchange &exchange() { return m_exchange; }
    /// Whether all pieces of the newest wanted version are held; false when none is wanted.
    bool isNewestComplete() const;

private:
    using Version = distribution::WeightsVersion;
    using Transfer = PeerExchange::Transfer;
    /// Attempts to get the manifest of a version.
    struct ManifestSearch
    {
        domain::TimePoint nextAt;
        std::uint32_t failures = 0;
    };

    PeerExchange::Transfers transfers();
    boost::asio::awaitable<Transfer> openForPeer(Version version);
    void onHoldings(const std::string &host, const protocol::PieceHoldings &message);
    /// Another VM fetches or holds the version; no pieces while it has no manifest.
    void onPeerVersion(const std::string &model, std::uint64_t version, std::size_t pieces);
    Transfer findTransfer(const std::string &model, std::uint64_t version) const;
    void sendHoldings();
    boost::asio::awaitable<void> step();
    boost::asio::awaitable<bool> refreshConfig();
    /// Versions newer than the served one, newest first.
    std::vector<std::uint64_t> wantedVersions() const;
    boost::asio::awaitable<void> advance(std::vector<std::uint64_t> numbers);
    /// Asks the origin for its newest version, if none is known and this VM is the one that asks.
    void searchNewest();
    /// One request to the origin for its newest version.
    boost::asio::awaitable<void> findNewest();
    rollout::WantedVersion describe(std::uint64_t number, const Transfer &transfer);
    std::uint64_t servedVersion() const;
    /// The next thing that an engine without weights lacks, for the log; "nothing" for others.
    std::string_view awaitedByEngine() const;
    void logAwaited();
    boost::asio::awaitable<Transfer> transferOf(Version version);
    /// Sets when a search without a result is repeated.
    void scheduleSearch(
            ManifestSearch &search, const std::string &version, const domain::Error &error);
    /// The transfer, without waiting for its manifest; null until that is found.
    Transfer openTransfer(const Version &version);
    boost::asio::awaitable<domain::Expected<distribution::PieceManifest>> findManifest(
            const Version &version);
    /// Fetches the versions in this order from peers, and from the origin where this VM reads it.
    void fetchInOrder(const std::vector<std::uint64_t> &order);
    void setSources(const Version &version, const Transfer &transfer);
    void beginFetches(const Transfer &transfer);
    /// Goes on with the fetches in progress after news about the pieces of a version.
    void continueFetches(const Transfer &transfer);
    distribution::FetchEnd store(const Transfer &transfer, const distribution::PieceFetch &fetch,
            distribution::FetchEnd end, std::string bytes);
    boost::asio::awaitable<void> fetch(Transfer transfer, distribution::PieceFetch fetch);
    boost::asio::awaitable<void> wait(domain::Duration duration);
    void evictOldTransfers();

    boost::asio::io_context &m_context;
    LoadReporter &m_reporter;
    FleetView &m_fleet;
    observability::Metrics &m_metrics;
    std::uint16_t m_peerPort;
    rollout::SwitchSchedule m_schedule;
    rollout::PushPlan m_plan;
    rollout::UnnamedVersion m_unnamed;
    rollout::FetchRotation m_rotation;
    PeerExchange m_exchange;
    transport::HttpClient m_client;
    transport::HttpClient m_originClient;
    ManifestFinder m_manifests;
    EngineSwitcher m_switcher;
    HoldingsExchange m_holdings;
    OriginReader m_origin;

    /// Earliest known time at which each version was named, including models of other services.
    std::map<Version, domain::TimePoint> m_namedAt;
    std::map<Version, Transfer> m_transfers;
    /// Transfers whose manifest is fetched again.
    std::map<Version, Transfer> m_doubted;
    /// For which the sources of each transfer were set.
    struct SourcesInput
    {
        std::uint64_t generation = 0;
        std::shared_ptr<const distribution::OriginPlan> origin;
        friend bool operator==(const SourcesInput &, const SourcesInput &) = default;
    };
    std::map<Version, SourcesInput> m_sourcesInputs;
    /// Versions in the order in which they are fetched.
    std::vector<std::uint64_t> m_fetchOrder;
    std::set<Version> m_opening;
    std::map<Version, ManifestSearch> m_manifestSearches;
    ManifestSearch m_newestSearch;
    bool m_isSearchingNewest = false;
    std::string_view m_loggedAwaited;
    domain::TimePoint m_configReadAt;
    bool m_hasOriginFailed = false;
    /// When service facts were last received from an entry.
    domain::TimePoint m_factsReceivedAt;
    /// Start of this process.
    domain::TimePoint m_startedAt;
    domain::TimePoint m_membersReadAt;
};

} // namespace oriolerill::relayagent::internal
