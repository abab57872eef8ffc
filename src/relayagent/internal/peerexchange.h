#pragma once

#include "distribution/uploadpacer.h"
#include "distribution/uploadqueue.h"
#include "distribution/versiontransfer.h"
#include "observability/metrics.h"
#include "relayagent/internal/fleetview.h"
#include "transport/httpserver.h"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include <functional>
#include <map>
#include <memory>
#include <string>

namespace oriolerill::relayagent::internal {

/// Serves pieces and manifests to the agents of other VMs, no faster than the link allows.
class PeerExchange
{
public:
    using Version = distribution::WeightsVersion;
    using Transfer = std::shared_ptr<distribution::VersionTransfer>;
    /// Access to the transfers of this agent. find returns null for a version without one; open
    /// also begins one for the version that the engine serves.
    struct Transfers
    {
        std::function<Transfer(const Version &)> find;
        std::function<boost::asio::awaitable<Transfer>(Version)> open;
    };

    PeerExchange(boost::asio::io_context &context, const FleetView &fleet,
            observability::Metrics &metrics, distribution::UploadPacer pacer, Transfers transfers);

    boost::asio::awaitable<void> answer(transport::HttpServerExchange &exchange);
    /// A piece was stored; wakes a request that can be served now.
    void onPieceStored() { wakeNext(); }
    std::size_t waiting() const { return m_queue.size(); }

    static std::string manifestTarget(const Version &version);
    static std::string pieceTarget(const Version &version, std::uint32_t piece);
    static std::optional<distribution::PieceManifest> readManifest(
            const Version &version, const std::string &text);

private:
    boost::asio::awaitable<transport::HttpResponse> sendPiece(
            Version version, std::uint32_t piece, std::string receiver);
    std::shared_ptr<const std::string> heldPiece(const distribution::UploadRequest &request) const;
    std::optional<distribution::UploadQueue::Ticket> nextTicket() const;
    void wakeNext();
    bool isInOtherDataCentre(const std::string &host) const;

    boost::asio::io_context &m_context;
    const FleetView &m_fleet;
    observability::Metrics &m_metrics;
    distribution::UploadPacer m_pacer;
    Transfers m_transfers;
    distribution::UploadQueue m_queue;
    /// Timers of the requests in the queue.
    std::map<distribution::UploadQueue::Ticket, boost::asio::steady_timer *> m_timers;
};

} // namespace oriolerill::relayagent::internal
