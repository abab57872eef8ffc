#pragma once

#include "distribution/piecesources.h"
#include "domain/timepoint.h"

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace oriolerill::distribution {

/// What the configuration states of the origin and of the pieces that it sends.
struct OriginCapacity
{
    /// Rate of the origin's link in bytes a second; zero when it is not stated.
    double bytesPerSecond = 0;
    /// Connections that the origin accepts from all VMs together; zero when it is not stated.
    std::size_t maxConnections = 0;
    /// Bytes of a piece; zero when it is not stated.
    double pieceBytes = 0;

    bool isKnown() const { return bytesPerSecond > 0 && pieceBytes > 0; }
    /// Time in which the link carries one piece.
    domain::Duration pieceTime() const
    {
        return std::chrono::duration_cast<domain::Duration>(
                std::chrono::duration<double>(isKnown() ? pieceBytes / bytesPerSecond : 0));
    }
    friend bool operator==(const OriginCapacity &, const OriginCapacity &) = default;
};

struct OriginPlanOptions
{
    /// All requests in flight together are completed by the link within about this time: long
    /// enough to keep the link busy between two requests of a reader, and far below any timeout.
    domain::Duration queueTime = std::chrono::milliseconds(330);
    /// Share of the origin's connections that is used; the rest covers connections of killed VMs
    /// that the origin still counts, and readers that have just been replaced.
    double connectionShare = 0.5;
    std::size_t minLanes = 2;
};

/// Divides the pieces of each version among a fixed number of lanes. One VM, the reader, fetches
/// the pieces of a lane from the origin, one after another, so that the number of requests in
/// flight at the origin is bounded over all VMs and versions.
///
/// Each agent computes the same plan from the list of members. Readers do not depend on the
/// version. Immutable.
class OriginPlan
{
public:
    /// A VM that is not listed reads no lane: no other VM sends it holdings.
    OriginPlan(const std::string &model, const std::vector<PushMember> &members,
            OriginCapacity capacity, OriginPlanOptions options = {});

    std::size_t laneCount() const { return m_lanes.size(); }
    std::size_t laneOf(std::uint32_t piece) const { return piece % m_lanes.size(); }
    /// Data centres in the order in which they read the lane; the first is its home.
    const std::vector<domain::DataCentreId> &dataCentres(std::size_t lane) const
    {
        return m_lanes[lane].dataCentres;
    }
    /// Members of a data centre in the order in which they read the lane.
    const std::vector<std::string> &readers(
            std::size_t lane, const domain::DataCentreId &dataCentre) const;
    const OriginCapacity &capacity() const { return m_capacity; }
    /// Time that a request takes while all lanes have one in flight.
    domain::Duration expectedTime() const
    {
        return m_capacity.pieceTime() * static_cast<int>(m_lanes.size());
    }

private:
    struct Lane
    {
        std::vector<domain::DataCentreId> dataCentres;
        std::map<domain::DataCentreId, std::vector<std::string>> readers;
    };

    OriginCapacity m_capacity;
    std::vector<Lane> m_lanes;
};

/// Number of lanes at an origin of this capacity.
std::size_t laneCount(const OriginCapacity &capacity, const OriginPlanOptions &options = {});

} // namespace oriolerill::distribution
