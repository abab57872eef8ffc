#include "observability/internal/burnseries.h"

#include <algorithm>
#include <chrono>

namespace oriolerill::observability::internal {

namespace {

constexpr std::int64_t MinutesPerQuarter = 15;
constexpr std::int64_t RetainedMinutes = std::chrono::minutes(std::chrono::hours(6)).count();
constexpr std::int64_t RetainedQuarters
        = std::chrono::minutes(std::chrono::hours(72)).count() / MinutesPerQuarter;

std::int64_t minuteOf(domain::WallTime time)
{
    return std::chrono::floor<std::chrono::minutes>(time.time_since_epoch()).count();
}

} // namespace

void BurnSeries::add(domain::WallTime at, const BurnCounts &counts)
{
    const std::int64_t minute = minuteOf(at);
    addTo(m_minutes, minute, RetainedMinutes, counts);
    addTo(m_quarters, minute / MinutesPerQuarter, RetainedQuarters, counts);
}

void BurnSeries::addTo(
        Buckets &buckets, std::int64_t number, std::int64_t retained, const BurnCounts &counts)
{
    // The wall clock can step back, so the bucket is not always the last one.
    auto position = std::find_if(buckets.rbegin(), buckets.rend(), [&](const Bucket &bucket) {
        return bucket.number <= number;
    }).base();
    if (position == buckets.begin() || std::prev(position)->number != number)
        position = std::next(buckets.insert(position, Bucket{number}));
    Bucket &bucket = *std::prev(position);
    bucket.answered += static_cast<std::uint32_t>(counts.answered);
    bucket.late += static_cast<std::uint32_t>(counts.late);
    bucket.refused += static_cast<std::uint32_t>(counts.refused);
    bucket.cut += static_cast<std::uint32_t>(counts.cut);
    bucket.unknown += static_cast<std::uint32_t>(counts.unknown);
    while (buckets.front().number <= buckets.back().number - retained)
        buckets.pop_front();
}

BurnCounts BurnSeries::sum(const Buckets &buckets, std::int64_t now, std::int64_t length)
{
    BurnCounts sum;
    for (const Bucket &bucket : buckets) {
        if (bucket.number <= now - length || bucket.number > now)
            continue;
        sum += BurnCounts{bucket.answered, bucket.late, bucket.refused, bucket.cut, bucket.unknown};
    }
    return sum;
}

WindowCounts BurnSeries::sums(domain::WallTime now) const
{
    WindowCounts counts;
    const std::int64_t minute = minuteOf(now);
    for (std::size_t i = 0; i < counts.size(); ++i) {
        const std::int64_t length = BurnWindows[i].length.count();
        counts[i] = length <= RetainedMinutes
                ? sum(m_minutes, minute, length)
                : sum(m_quarters, minute / MinutesPerQuarter, length / MinutesPerQuarter);
    }
    return counts;
}

} // namespace oriolerill::observability::internal
