#include "routing/capacitygrants.h"

#include <algorithm>
#include <cmath>
#include <numeric>

namespace oriolerill::routing {

CapacityGrants::CapacityGrants(std::uint64_t seed)
    : m_random(seed)
{}

std::vector<std::uint32_t> CapacityGrants::split(
        double capacity, const std::vector<double> &demands)
{
    // An entry without recent demand counts with this share of the average demand, so that it can
    // send the first requests of a burst. The share is small because most entries of a large fleet
    // never send to most engines.
    constexpr double MinShare = 0.02;
    constexpr double NonZeroDemand = 1e-3;
    const double sum = std::accumulate(demands.begin(), demands.end(), 0.0);
    const double count = std::max<double>(static_cast<double>(demands.size()), 1);
    const double minDemand = std::max(MinShare * sum / count, NonZeroDemand);
    double total = 0;
    for (const double demand : demands)
        total += std::max(demand, minDemand);
    // Cumulative shares are rounded at one common offset: the grants add up to the capacity, and
    // the average grant of an entry is its share.
    const double offset = std::uniform_real_distribution<double>(0, 1)(m_random);
    std::vector<std::uint32_t> grants;
    double cumulated = 0;
    double before = std::floor(offset);
    for (const double demand : demands) {
        cumulated += std::max(capacity, 0.0) * std::max(demand, minDemand) / total;
        const double upTo = std::floor(cumulated + offset);
        grants.push_back(static_cast<std::uint32_t>(upTo - before));
        before = upTo;
    }
    return grants;
}

double grantableCapacity(const EngineOccupancy &occupancy)
{
    /// Requests that wait for the next slot, so that the engine stays busy between two reports.
    constexpr double ShortQueue = 1.5;
    const double used = static_cast<double>(occupancy.running) + occupancy.waiting;
    const double completing = std::min<double>(occupancy.completedPerSecond
                    * occupancy.reportIntervalSeconds * std::min(1.0, used / occupancy.slots),
            used);
    return std::max(0.0, occupancy.slots + ShortQueue + completing - used);
}

} // namespace oriolerill::routing
