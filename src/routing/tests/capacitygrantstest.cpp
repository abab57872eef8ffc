#include "routing/capacitygrants.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <numeric>
#include <vector>

namespace oriolerill::routing {

class PlaceGrantsFixture : public testing::Test
{
protected:
    CapacityGrants m_grants{1};
};

// Guards against an engine that gets more than it has places for, because each of many entries
// fills the same free ones: 250 requests a second for engines that end 120 (hunt on probador-rill,
// mix --seed 790282484569: 4 in 10 answers late before the split, none of the queue after it).
TEST_F(PlaceGrantsFixture, split_overloadAtEightEntries_neverMoreThanThePlaces)
{
    const std::vector<double> demands = {31, 31, 31, 44, 44, 44, 31, 31};
    std::vector<double> given(demands.size());
    constexpr int Rounds = 4000;
    for (int i = 0; i < Rounds; ++i) {
        const double places = 0.25 * (i % 13);
        const auto grants = m_grants.split(places, demands);
        const auto sum = std::accumulate(grants.begin(), grants.end(), 0U);
        ASSERT_LT(sum, places + 1);
        ASSERT_GT(sum, places - 1);
        for (std::size_t e = 0; e < given.size(); ++e)
            given[e] += grants[e];
    }
    // By demand on average, so that callers of a busy data centre fare no worse.
    const double perDemand = std::accumulate(given.begin(), given.end(), 0.0)
            / std::accumulate(demands.begin(), demands.end(), 0.0);
    for (std::size_t e = 0; e < given.size(); ++e)
        EXPECT_NEAR(given[e] / demands[e] / perDemand, 1.0, 0.1) << e;
}

// Guards against an entry without demand lately that cannot serve the first request of a burst.
TEST_F(PlaceGrantsFixture, split_idleEntry_getsASmallPart)
{
    std::uint32_t given = 0;
    for (int i = 0; i < 100; ++i)
        given += m_grants.split(8, {100, 0}).back();
    EXPECT_GT(given, 0U);
}

// Guards against places that are split among entries which never send to the engine: with 42
// entries in four data centres the ten beside an engine got a quarter of its places.
TEST_F(PlaceGrantsFixture, split_mostEntriesInOtherDataCentres_thoseBesideGetThePlaces)
{
    std::vector<double> demands(42, 0.0);
    std::fill(demands.begin(), demands.begin() + 10, 0.8);
    std::uint32_t beside = 0;
    std::uint32_t all = 0;
    for (int i = 0; i < 200; ++i) {
        const auto grants = m_grants.split(5, demands);
        beside += std::accumulate(grants.begin(), grants.begin() + 10, 0U);
        all += std::accumulate(grants.begin(), grants.end(), 0U);
    }
    EXPECT_GE(beside, 0.9 * all);
    EXPECT_NEAR(all, 200 * 5, 10);
}

// Guards against an idle engine that is granted less than its places, and a full one that is
// granted a waiting room.
TEST_F(PlaceGrantsFixture, grantablePlaces_idleAndFull_placesAndShortQueue)
{
    EXPECT_GE(grantableCapacity({16, 0, 0, 12, 0.1}), 16);
    EXPECT_LE(grantableCapacity({16, 16, 0, 12, 0.1}), 3);
    EXPECT_EQ(grantableCapacity({16, 16, 5, 12, 0.1}), 0);
}

} // namespace oriolerill::routing
