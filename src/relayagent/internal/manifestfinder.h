#pragma once

#include "domain/expected.h"
#include "domain/timepoint.h"
#include "relayagent/internal/fleetview.h"
#include "transport/httpclient.h"

#include <boost/asio/awaitable.hpp>

#include <map>
#include <string>
#include <vector>

namespace oriolerill::relayagent::internal {

/// Fetches the manifest of a version. Two VMs of each data centre request it from the origin, which
/// accepts few connections in total, and the others request it from those two.
class ManifestFinder
{
public:
    ManifestFinder(const FleetView &fleet, transport::HttpClient &peers,
            transport::HttpClient &origin, std::uint16_t peerPort);

    boost::asio::awaitable<domain::Expected<distribution::PieceManifest>> find(
            distribution::WeightsVersion version);
    /// The same with the origin read by lanes: asks the origin if this VM is the one that does, and
    /// otherwise the hosts, in this order.
    boost::asio::awaitable<domain::Expected<distribution::PieceManifest>>
    find(distribution::WeightsVersion version, bool mayAskOrigin, std::vector<std::string> hosts);
    /// Asks the origin for its newest version, which may have no name in the store.
    boost::asio::awaitable<domain::Expected<distribution::WeightsVersion>> findNewest(
            domain::ModelId model);
    /// Whether this VM asks the origin for its newest version now, unless the origin is read by
    /// lanes.
    bool mayFindNewest(const domain::ModelId &model, domain::TimePoint now);
    /// Whether the origin failed to answer since the last call.
    bool takeOriginFailed() { return std::exchange(m_hasOriginFailed, false); }

private:
    boost::asio::awaitable<domain::Expected<distribution::PieceManifest>> fetchFromOrigin(
            distribution::WeightsVersion version);
    boost::asio::awaitable<domain::Expected<distribution::PieceManifest>> readFromOrigin(
            std::string target);
    /// Whether this VM is one of the readers, or they have had no manifest for too long.
    bool isOriginAsked(const distribution::WeightsVersion &version,
            const std::vector<std::string> &readers, domain::TimePoint now);
    boost::asio::awaitable<domain::Expected<distribution::PieceManifest>> fetchFromPeers(
            const distribution::WeightsVersion &version, const std::vector<std::string> &hosts,
            domain::Error lastError);
    std::vector<std::string> originReaders(const distribution::WeightsVersion &version) const;

    const FleetView &m_fleet;
    transport::HttpClient &m_peers;
    transport::HttpClient &m_origin;
    std::uint16_t m_peerPort;
    /// Time of the first attempt to fetch the manifest of a version.
    std::map<distribution::WeightsVersion, domain::TimePoint> m_firstTriedAt;
    bool m_hasOriginFailed = false;
};

} // namespace oriolerill::relayagent::internal
