#pragma once

#include <cstdint>
#include <random>
#include <vector>

namespace oriolerill::routing {

/// Splits the free places of one engine among the entries that send to it.
///
/// Load pattern: more requests than places, at many entries at once. Each entry sees the same
/// report with a free place; without a split each of them fills it. The agent beside the engine is
/// the only process that sees all of its load, so it tells each entry how many requests it may send
/// until the next report. Shares follow the demand of the entries and add up to the free places; a
/// fraction is drawn by chance, so that no entry is left out for long.
class CapacityGrants
{
public:
    explicit CapacityGrants(std::uint64_t seed);

    /// Grants in the order of the demands, which are in requests a second.
    std::vector<std::uint32_t> split(double places, const std::vector<double> &demands);

private:
    std::mt19937_64 m_random;
};

/// Places that come free until the next report, those that are free now, and a short queue that
/// keeps the engine busy meanwhile.
struct EngineOccupancy
{
    std::uint32_t slots = 1;
    std::uint32_t running = 0;
    std::uint32_t waiting = 0;
    /// Requests that the engine ends a second when all its places are taken.
    double completedPerSecond = 0;
    /// Seconds until entries have the next report.
    double reportIntervalSeconds = 0;
};

double grantableCapacity(const EngineOccupancy &count);

} // namespace oriolerill::routing
