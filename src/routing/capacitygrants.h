#pragma once

#include <cstdint>
#include <random>
#include <vector>

namespace oriolerill::routing {

/// Splits the free capacity of one engine among the entries that send to it.
///
/// Under overload many entries see the same report with a free slot at once, and without a split
/// each of them fills it. The agent beside the engine is the only process that has the engine's
/// total load, so it grants each entry a number of requests until the next report. Shares follow
/// the demand of the entries and add up to the free capacity; fractions are rounded at random, so
/// that no entry is left out for long.
class CapacityGrants
{
public:
    explicit CapacityGrants(std::uint64_t seed);

    /// Grants in the order of the demands, which are in requests a second.
    std::vector<std::uint32_t> split(double capacity, const std::vector<double> &demands);

private:
    std::mt19937_64 m_random;
};

/// Load of an engine at the time of a report.
struct EngineOccupancy
{
    std::uint32_t slots = 1;
    std::uint32_t running = 0;
    std::uint32_t waiting = 0;
    /// Requests a second that the engine completes when all its slots are taken.
    double completedPerSecond = 0;
    /// Seconds until entries have the next report.
    double reportIntervalSeconds = 0;
};

/// Slots that are free now or come free until the next report, and a short queue that keeps the
/// engine busy meanwhile.
double grantableCapacity(const EngineOccupancy &occupancy);

} // namespace oriolerill::routing
