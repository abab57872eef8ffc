#include "rollout/versionorder.h"

#include <gtest/gtest.h>

#include <algorithm>

namespace oriolerill::rollout {

using namespace std::chrono_literals;
using domain::TimePoint;

/// A copy of 96 pieces takes 4.3 s over the origin's link, and engines serve it 1.5 s later.
class VersionOrderFixture : public testing::Test
{
protected:
    using Order = std::vector<std::uint64_t>;

    PendingVersion version(
            std::uint64_t number, domain::Duration untilBound, std::size_t missing = 96) const
    {
        return {number, m_now + untilBound, missing};
    }
    Order order(std::vector<PendingVersion> pending) const
    {
        return versionOrder(std::move(pending), {45ms, 1500ms}, m_now);
    }

    TimePoint m_now{1h};
};

// Guards against a newer version that delays an older one although both bounds can be kept.
TEST_F(VersionOrderFixture, versionOrder_bothBoundsCanBeKept_orderOfBounds)
{
    EXPECT_EQ(order({version(3, 13s), version(2, 10s)}), (Order{2, 3}));
    EXPECT_EQ(order({version(2, 6s), version(3, 10200ms)}), (Order{2, 3}));
}

// Guards against a version whose bound has passed, after an outage, that makes a newer one late
// too.
TEST_F(VersionOrderFixture, versionOrder_olderBoundCannotBeKept_newerFirst)
{
    EXPECT_EQ(order({version(2, 1s), version(3, 6500ms)}), (Order{3, 2}));
    EXPECT_EQ(order({version(2, -3s), version(3, 0s)}), (Order{3, 2}));
}

// Guards against an older version that is given up although it is nearly whole and would serve
// requests until the newer one is.
TEST_F(VersionOrderFixture, versionOrder_olderIsLateButNearlyWhole_olderFirst)
{
    EXPECT_EQ(order({version(2, 1s, 3), version(3, 9s)}), (Order{2, 3}));
    EXPECT_EQ(order({version(2, -1s, 0), version(3, 6s)}), (Order{2, 3}));
}

// Guards against a third version that is delayed for one whose bound cannot be kept, and against
// versions that are never fetched.
TEST_F(VersionOrderFixture, versionOrder_threeVersions_lateOneFollowsAtTheEnd)
{
    EXPECT_EQ(order({version(2, 7s), version(3, 11s), version(4, 15s)}), (Order{2, 3, 4}));
    EXPECT_EQ(order({version(2, 1s), version(3, 6s), version(4, 10200ms)}), (Order{3, 4, 2}));
    EXPECT_EQ(order({version(2, 0s), version(3, 1s), version(4, 6s)}), (Order{4, 2, 3}));
}

// Guards against VMs that fetch in different orders because they learned of versions in different
// orders.
TEST_F(VersionOrderFixture, versionOrder_anyOrderOfInput_sameOrder)
{
    std::vector<PendingVersion> pending{version(2, 1s), version(3, 6s), version(4, 10200ms)};
    const Order expected = order(pending);
    const auto byNumber
            = [](const auto &left, const auto &right) { return left.number < right.number; };
    while (std::next_permutation(pending.begin(), pending.end(), byNumber))
        EXPECT_EQ(order(pending), expected);
    EXPECT_TRUE(order({}).empty());
}

} // namespace oriolerill::rollout
