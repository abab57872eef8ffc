#include "routing/capacitygrants.h"

#include <algorithm>
#include <cmath>
#include <numeric>

namespace oriolerill::routing {

CapacityGrants::CapacityGrants(std::uint64_t seed)
    : m_random(seed)
{}

std::vector<std::uint32_t> CapacityGrants::split(double places, const std::vector<double> &demands)
{
    // Entries with no demand lately still get a small part, for the first requests of a burst: this
    // share of the usual one. Most entries of a large fleet never send to most engines.
    constexpr double LeastShare = 0.02;
    constexpr double Nothing = 1e-3;
    const double sum = std::accumulate(demands.begin(), demands.end(), 0.0);
    const double count = std::max<double>(static_cast<double>(demands.size()), 1);
    const double least = std::max(LeastShare * sum / count, Nothing);
    double total = 0;
    for (const double demand : demands)
        total += std::max(demand, least);
    // Cumulated shares are rounded at one common offset: the grants add up, and each is its share
    // on average.
    const double offset = std::uniform_real_distribution<double>(0, 1)(m_random);
    std::vector<std::uint32_t> grants;
    double cumulated = 0;
    double before = std::floor(offset);
    for (const double demand : demands) {
        cumulated += std::max(places, 0.0) * std::max(demand, least) / total;
        const double upTo = std::floor(cumulated + offset);
        grants.push_back(static_cast<std::uint32_t>(upTo - before));
        before = upTo;
    }
    return grants;
}

double grantableCapacity(const EngineOccupancy &count)
{
    /// Requests that wait for the next place, so that the engine stays busy between two reports.
    constexpr double ShortQueue = 1.5;
    const double used = static_cast<double>(count.running) + count.waiting;
    const double ending = std::min<double>(count.completedPerSecond * count.reportIntervalSeconds
                    * std::min(1.0, used / count.slots),
            used);
    return std::max(0.0, count.slots + ShortQueue + ending - used);
}

} // namespace oriolerill::routing
