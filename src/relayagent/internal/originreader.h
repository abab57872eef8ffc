#pragma once

#include "distribution/originschedule.h"
#include "observability/metrics.h"
#include "relayagent/internal/fleetview.h"
#include "relayagent/internal/holdingsexchange.h"
#include "rollout/versionorder.h"
#include "transport/httpclient.h"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace oriolerill::relayagent::internal {

/// Reads pieces from the origin where this VM is the reader of a lane. Without a stated rate of the
/// origin it does nothing, and every VM decides for itself.
class OriginReader
{
public:
    using Version = distribution::WeightsVersion;
    using Transfer = HoldingsExchange::Transfer;
    using Transfers = HoldingsExchange::Transfers;
    /// Ends a read: stores the piece, and returns the final result.
    using Store = std::function<distribution::FetchEnd(const Transfer &transfer,
            const distribution::PieceFetch &fetch, distribution::FetchEnd end, std::string bytes)>;

    OriginReader(boost::asio::io_context &context, const FleetView &fleet,
            const HoldingsExchange &exchange, transport::HttpClient &client,
            observability::Metrics &metrics, Store store);

    /// Follows the list of members and the stated capacity; true when the origin is read by lanes.
    bool update();
    const std::shared_ptr<const distribution::OriginPlan> &plan() const { return m_plan; }
    /// The wanted versions in the order in which the fleet fetches them.
    std::vector<std::uint64_t> order(const Transfers &transfers,
            std::vector<rollout::PendingVersion> wanted, domain::TimePoint now);
    /// Starts the reads that are due, for the versions in this order.
    void begin(const Transfers &transfers, const std::vector<std::uint64_t> &order);

    bool isUnreachable() const { return m_schedule.isUnreachable(); }
    /// Whether this VM asks the origin for manifests now.
    bool mayReadManifest(domain::TimePoint now) const;
    void onManifest(bool isAnswered) { onAnswered(isAnswered); }
    /// VMs of other data centres that ask the origin for manifests.
    std::vector<std::string> remoteManifestReaders() const;

private:
    boost::asio::awaitable<void> read(Transfer transfer, distribution::OriginRead read);
    void onAnswered(bool isAnswered);
    void logReachability(bool wasUnreachable) const;

    boost::asio::io_context &m_context;
    const FleetView &m_fleet;
    const HoldingsExchange &m_exchange;
    transport::HttpClient &m_client;
    observability::Metrics &m_metrics;
    Store m_store;
    distribution::OriginSchedule m_schedule;
    std::shared_ptr<const distribution::OriginPlan> m_plan;
    std::uint64_t m_plannedGeneration = 0;
    std::vector<std::uint64_t> m_order;
    std::uint64_t m_takeovers = 0;
};

} // namespace oriolerill::relayagent::internal
