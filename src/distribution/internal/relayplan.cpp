#include "distribution/internal/relayplan.h"

#include "domain/rendezvous.h"

#include <algorithm>
#include <functional>
#include <utility>

namespace oriolerill::distribution::internal {

namespace {

/// The finalizer of SplitMix64; spreads every input bit over the whole word.
std::uint64_t mixed(std::uint64_t value)
{
    value = (value ^ (value >> 30U)) * 0xbf58476d1ce4e5b9ULL;
    value = (value ^ (value >> 27U)) * 0x94d049bb133111ebULL;
    return value ^ (value >> 31U);
}

} // namespace

std::uint64_t itemKey(const domain::Digest &manifest, std::uint32_t chunk)
{
    return mixed(std::hash<domain::Digest>{}(manifest) + chunk * 0x9e3779b97f4a7c15ULL);
}

std::uint64_t itemWeight(std::uint64_t item, std::uint64_t member)
{
    return mixed(item ^ member);
}

RelayPlan::RelayPlan(std::vector<SwarmSite> sites, const domain::DataCentreId &own,
        const domain::RegionId &originRegion)
    : m_sites(std::move(sites))
{
    std::vector<domain::RegionId> names;
    for (std::size_t i = 0; i < m_sites.size(); ++i) {
        const SwarmSite &site = m_sites[i];
        auto name = std::find(names.begin(), names.end(), site.region);
        const auto region = static_cast<std::size_t>(name - names.begin());
        if (name == names.end()) {
            names.push_back(site.region);
            m_regions.push_back({domain::rendezvousWeight("region", site.region.value()),
                    site.region == originRegion, {}});
        }
        m_regions[region].sites.push_back(
                {i, domain::rendezvousWeight("site", site.dataCentre.value())});
        if (site.dataCentre == own) {
            m_ownSite = i;
            m_ownRegion = region;
        }
    }
}

std::size_t RelayPlan::gateway(const Region &region, std::uint64_t item)
{
    const auto best = std::max_element(
            region.sites.begin(), region.sites.end(), [item](const Site &a, const Site &b) {
                return itemWeight(item, a.hash) < itemWeight(item, b.hash);
            });
    return best->index;
}

std::size_t RelayPlan::upstream(std::uint64_t item) const
{
    if (m_regions.empty())
        return Origin;
    constexpr std::size_t None = Origin;
    std::size_t first = None;
    std::size_t relay = None;
    std::uint64_t firstWeight = 0;
    std::uint64_t relayWeight = 0;
    for (std::size_t i = 0; i < m_regions.size(); ++i) {
        const std::uint64_t weight = itemWeight(item, m_regions[i].hash);
        if (first == None || weight > firstWeight) {
            first = i;
            firstWeight = weight;
        }
        if (!m_regions[i].isOriginRegion && (relay == None || weight > relayWeight)) {
            relay = i;
            relayWeight = weight;
        }
    }
    const std::size_t ownGateway = gateway(m_regions[m_ownRegion], item);
    if (ownGateway != m_ownSite)
        return ownGateway;
    if (m_ownRegion == first)
        return Origin;
    if (m_ownRegion == relay)
        return gateway(m_regions[first], item);
    return gateway(m_regions[relay], item);
}

} // namespace oriolerill::distribution::internal
