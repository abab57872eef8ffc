#pragma once

#include "domain/timepoint.h"
#include "observability/burnsums.h"

#include <cstdint>
#include <deque>

namespace oriolerill::observability::internal {

/// Counts of one key in buckets of one minute for the windows up to 6 hours and of a quarter of an
/// hour for 3 days.
///
/// Buckets of one minute for 3 days would take seven times the memory. Buckets without requests are
/// not stored.
class BurnSeries
{
public:
    void add(domain::WallTime at, const BurnCounts &counts);
    WindowCounts sums(domain::WallTime now) const;

private:
    struct Bucket
    {
        /// Number of the bucket since the epoch of the wall clock.
        std::int64_t number = 0;
        std::uint32_t answered = 0;
        std::uint32_t late = 0;
        std::uint32_t refused = 0;
        std::uint32_t cut = 0;
        std::uint32_t unknown = 0;
    };
    using Buckets = std::deque<Bucket>;

    static void addTo(
            Buckets &buckets, std::int64_t number, std::int64_t retained, const BurnCounts &counts);
    static BurnCounts sum(const Buckets &buckets, std::int64_t now, std::int64_t length);

    Buckets m_minutes;
    Buckets m_quarters;
};

} // namespace oriolerill::observability::internal
