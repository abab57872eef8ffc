#pragma once

#include "distribution/versiontransfer.h"
#include "domain/suspensionclock.h"
#include "domain/timepoint.h"
#include "objectstore/storesubscriber.h"
#include "observability/metrics.h"
#include "relayagent/internal/engineclient.h"
#include "relayagent/internal/engineswitcher.h"
#include "relayagent/internal/fleetview.h"
#include "relayagent/internal/loadreporter.h"
#include "relayagent/internal/manifestfinder.h"
#include "relayagent/internal/peerexchange.h"
#include "rollout/fetchrotation.h"
#include "rollout/pushplan.h"
#include "rollout/switchschedule.h"
#include "transport/httpclient.h"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include <map>
#include <memory>
#include <set>

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
    boost::asio::awaitable<void> run();
    PeerExchange &exchange() { return m_exchange; }
    /// Whether all pieces of the newest wanted version are held; false when none is wanted.
    bool isNewestComplete() const;

private:
    using Version = distribution::WeightsVersion;
    using Transfer = PeerExchange::Transfer;
    /// State of a transfer that was last sent to peers.
    struct SentHoldings
    {
        std::size_t held = 0;
        std::size_t waiting = 0;
        domain::TimePoint at;
    };

    PeerExchange::Transfers transfers();
    boost::asio::awaitable<Transfer> openForPeer(Version version);
    void onHoldings(const std::string &host, const protocol::PieceHoldings &message);
    void sendHoldings();
    boost::asio::awaitable<void> step();
    boost::asio::awaitable<bool> refreshConfig();
    /// Versions newer than the served one, newest first.
    std::vector<std::uint64_t> wantedVersions() const;
    boost::asio::awaitable<void> advance(std::vector<std::uint64_t> numbers);
    rollout::WantedVersion describe(std::uint64_t number, const Transfer &transfer);
    std::uint64_t servedVersion() const;
    boost::asio::awaitable<Transfer> transferOf(Version version);
    void beginFetches(const Transfer &transfer);
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
    rollout::FetchRotation m_rotation;
    PeerExchange m_exchange;
    transport::HttpClient m_client;
    transport::HttpClient m_originClient;
    ManifestFinder m_manifests;
    EngineSwitcher m_switcher;

    /// Earliest known time at which each version was named, including models of other services.
    std::map<Version, domain::TimePoint> m_namedAt;
    std::map<Version, Transfer> m_transfers;
    std::map<Version, SentHoldings> m_sentHoldings;
    /// Transfer and generation of the member list for which the sources were planned.
    Transfer m_plannedTransfer;
    std::uint64_t m_plannedGeneration = 0;
    std::set<Version> m_opening;
    domain::TimePoint m_configReadAt;
    bool m_hasOriginFailed = false;
    /// When service facts were last received from an entry.
    domain::TimePoint m_factsReceivedAt;
    /// Start of this process.
    domain::TimePoint m_startedAt;
    domain::TimePoint m_membersReadAt;
};

} // namespace oriolerill::relayagent::internal
