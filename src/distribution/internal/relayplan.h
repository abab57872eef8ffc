#pragma once

#include "distribution/swarmsite.h"
#include "domain/digest.h"

#include <cstddef>
#include <cstdint>
#include <limits>
#include <vector>

namespace oriolerill::distribution::internal {

/// Key of a chunk for rendezvous hashing.
std::uint64_t itemKey(const domain::Digest &manifest, std::uint32_t chunk);
/// Rendezvous weight of a member, given by the hash of its name, for an item.
std::uint64_t itemWeight(std::uint64_t item, std::uint64_t member);

/// Selects the data centre from which this one fetches each chunk.
///
/// One region fetches a chunk from the origin. If it is the region of the origin, one other region
/// fetches the chunk from it and relays it to the rest; otherwise all regions fetch from it. So
/// each link between regions carries 1/(regions-1) of the chunks, and all links are used in
/// parallel.
class RelayPlan
{
public:
    static constexpr std::size_t Origin = std::numeric_limits<std::size_t>::max();

    /// The sites are the live data centres that need the version, the own one included.
    RelayPlan(std::vector<SwarmSite> sites, const domain::DataCentreId &own,
            const domain::RegionId &originRegion);

    /// Index of the site to fetch the item from, or Origin.
    std::size_t upstream(std::uint64_t item) const;
    std::size_t regionCount() const { return m_regions.size(); }
    const std::vector<SwarmSite> &sites() const { return m_sites; }

private:
    struct Site
    {
        std::size_t index = 0;
        std::uint64_t hash = 0;
    };
    struct Region
    {
        std::uint64_t hash = 0;
        bool isOriginRegion = false;
        std::vector<Site> sites;
    };

    static std::size_t gateway(const Region &region, std::uint64_t item);

    std::vector<SwarmSite> m_sites;
    std::vector<Region> m_regions;
    std::size_t m_ownSite = 0;
    std::size_t m_ownRegion = 0;
};

} // namespace oriolerill::distribution::internal
