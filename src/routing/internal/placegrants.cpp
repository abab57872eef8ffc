#include "routing/placegrants.h"

#include <algorithm>
#include <cmath>

namespace oriolerill::routing {

PlaceGrants::PlaceGrants(std::uint64_t seed)
    : m_random(seed)
{}

std::vector<std::uint32_t> PlaceGrants::split(double places, const std::vector<double> &demands)
{
    // Entries with no demand lately still get a small part, for the first requests of a burst.
    constexpr double LeastDemand = 1.0;
    double total = 0;
    for (const double demand : demands)
        total += std::max(demand, LeastDemand);
    // Cumulated shares are rounded at one common offset: the grants add up, and each is its share
    // on average.
    const double offset = std::uniform_real_distribution<double>(0, 1)(m_random);
    std::vector<std::uint32_t> grants;
    double cumulated = 0;
    double before = std::floor(offset);
    for (const double demand : demands) {
        cumulated += std::max(places, 0.0) * std::max(demand, LeastDemand) / total;
        const double upTo = std::floor(cumulated + offset);
        grants.push_back(static_cast<std::uint32_t>(upTo - before));
        before = upTo;
    }
    return grants;
}

double grantablePlaces(const PlaceCount &count)
{
    /// Requests that wait for the next place, so that the engine stays busy between two reports.
    constexpr double ShortQueue = 1.5;
    const double used = static_cast<double>(count.running) + count.waiting;
    const double ending = std::min<double>(
            count.endedPerSecond * count.reportSeconds * std::min(1.0, used / count.slots), used);
    return std::max(0.0, count.slots + ShortQueue + ending - used);
}

} // namespace oriolerill::routing
