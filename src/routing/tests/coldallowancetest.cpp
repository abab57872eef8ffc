#include "routing/coldallowance.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <random>
#include <vector>

namespace oriolerill::routing {

using namespace std::chrono_literals;
using domain::TimePoint;

/// Many entries with more requests than a cold endpoint can take; each has its own allowance.
class ColdAllowanceFixture : public testing::Test
{
protected:
    static constexpr double Bound = 30.5;

    /// Maximum number of requests that arrive within any second while the endpoint is cold. Entries
    /// see the endpoint within the given time of one another and then always have a request to
    /// send.
    static std::size_t maxInOneSecond(
            std::size_t entries, domain::Duration seenWithin, std::uint64_t seed)
    {
        const domain::EndpointId endpoint("cold");
        const TimePoint start = TimePoint() + 1h;
        const TimePoint coldUntil = start + 10s;
        std::mt19937_64 random(seed);
        std::uniform_int_distribution<std::int64_t> delay(0, seenWithin.count());
        std::vector<ColdAllowance> allowances(entries);
        std::vector<TimePoint> seenAt;
        for (std::size_t i = 0; i < entries; ++i)
            seenAt.push_back(start + domain::Duration(delay(random)));
        std::vector<TimePoint> arrivals;
        for (TimePoint now = start; now < coldUntil; now += 5ms) {
            for (std::size_t i = 0; i < entries; ++i) {
                const bool isSent = now >= seenAt[i]
                        && allowances[i].hasRoom(endpoint, coldUntil, Bound, {entries, i}, now);
                if (!isSent)
                    continue;
                allowances[i].onSent(endpoint, now);
                arrivals.push_back(now);
            }
        }
        std::size_t maxCount = 0;
        std::size_t first = 0;
        for (std::size_t i = 0; i < arrivals.size(); ++i) {
            while (arrivals[i] - arrivals[first] >= 1s)
                ++first;
            maxCount = std::max(maxCount, i - first + 1);
        }
        return maxCount;
    }
};

// Regression: every entry sent its one request when a cold endpoint appeared: 42 entries sent 32
// requests within a second, where 30.5 were allowed.
TEST_F(ColdAllowanceFixture, hasRoom_endpointSeenByMoreEntriesThanTheBound_boundKeptInEachSecond)
{
    for (std::uint64_t seed = 1; seed <= 20; ++seed) {
        EXPECT_LE(maxInOneSecond(42, 600ms, seed), Bound) << "seed " << seed;
        EXPECT_LE(maxInOneSecond(42, 0ms, seed), Bound) << "seed " << seed;
        EXPECT_LE(maxInOneSecond(100, 300ms, seed), Bound) << "seed " << seed;
    }
}

// Guards against parts of more than one request that add up to more than the bound.
TEST_F(ColdAllowanceFixture, hasRoom_fewEntries_boundKeptInEachSecond)
{
    for (const std::size_t entries : {1, 3, 8, 22}) {
        const std::size_t maxCount = maxInOneSecond(entries, 100ms, entries);
        EXPECT_LE(maxCount, Bound) << entries << " entries";
        EXPECT_GE(maxCount, Bound / 3) << entries << " entries";
    }
}

// Guards against a second cold period to which the order of the ranks does not apply.
TEST_F(ColdAllowanceFixture, hasRoom_secondColdPeriod_orderedByRankAgain)
{
    const domain::EndpointId endpoint("cold");
    ColdAllowance allowance;
    const TimePoint start = TimePoint() + 1h;
    const EntryShare last{50, 49};
    EXPECT_FALSE(allowance.hasRoom(endpoint, start + 5s, Bound, last, start));
    EXPECT_TRUE(allowance.hasRoom(endpoint, start + 5s, Bound, last, start + 3s));
    EXPECT_FALSE(allowance.hasRoom(endpoint, start + 30s, Bound, last, start + 20s));
    EXPECT_TRUE(allowance.hasRoom(endpoint, start + 30s, Bound, last, start + 23s));
}

} // namespace oriolerill::routing
