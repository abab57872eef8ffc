#include "rollout/pushplan.h"
#include "rollout/switchschedule.h"

#include <gtest/gtest.h>

#include <map>

namespace oriolerill::rollout {

using namespace std::chrono_literals;
using domain::TimePoint;

class PushPlanFixture : public testing::Test
{
protected:
    WantedVersion wanted(std::uint64_t number, TimePoint namedAt, double share) const
    {
        WantedVersion version;
        version.number = number;
        version.namedAt = namedAt;
        version.switchAt = namedAt + 5s;
        version.excludedAt = namedAt + 6500ms;
        version.boundAt = namedAt + 8s;
        version.heldShare = share;
        return version;
    }

    TimePoint m_start{1h};
    PushPlan m_plan;
};

// Guards against two incomplete versions after a newer one is named while the older one is nearly
// complete.
TEST_F(PushPlanFixture, decide_newerNamedDuringTransfer_olderFinishedFirst)
{
    const auto decision
            = m_plan.decide({wanted(3, m_start + 2s, 0), wanted(2, m_start, 0.6)}, 1, m_start + 2s);
    EXPECT_EQ(decision.fetch, 2U);
    const auto early
            = m_plan.decide({wanted(3, m_start + 1s, 0), wanted(2, m_start, 0.1)}, 1, m_start + 1s);
    EXPECT_EQ(early.fetch, 3U);
}

// Guards against engines that receive no requests from the older version's bound until the newest
// version is complete, while the origin is unreachable.
TEST_F(PushPlanFixture, decide_newestStalled_olderLoadedAtItsSwitchTime)
{
    WantedVersion newest = wanted(3, m_start + 2s, 0.9);
    newest.isStalled = true;
    const std::vector<WantedVersion> versions = {newest, wanted(2, m_start, 1)};
    EXPECT_FALSE(m_plan.decide(versions, 1, m_start + 4s).isDue);
    const auto decision = m_plan.decide(versions, 1, m_start + 5s);
    EXPECT_EQ(decision.stage, 2U);
    EXPECT_TRUE(decision.isDue);
}

// Regression: an agent whose older version was complete fetched nothing while the newest one was
// stalled, so the newest was completed only after the engine had switched to the older one.
TEST_F(PushPlanFixture, decide_newestStalledAndOlderComplete_newestStillFetched)
{
    WantedVersion newest = wanted(3, m_start + 2s, 0.2);
    newest.isStalled = true;
    EXPECT_EQ(m_plan.decide({newest, wanted(2, m_start, 1)}, 1, m_start + 4s).fetch, 3U);
}

// Guards against two consecutive switches where one suffices.
TEST_F(PushPlanFixture, decide_newestNearlyComplete_olderWaitsUntilItsBound)
{
    const std::vector<WantedVersion> versions
            = {wanted(3, m_start + 2s, 0.8), wanted(2, m_start, 1)};
    EXPECT_FALSE(m_plan.decide(versions, 1, m_start + 6s).isDue);
    EXPECT_TRUE(m_plan.decide(versions, 1, m_start + 8s).isDue);
}

// Guards against an engine that waits for its scheduled switch although entries no longer send it
// requests.
TEST_F(PushPlanFixture, decide_olderVersionRequiredAlready_newestLoadedAtOnce)
{
    const std::vector<WantedVersion> versions = {wanted(3, m_start + 4s, 1), wanted(2, m_start, 1)};
    EXPECT_FALSE(m_plan.decide(versions, 1, m_start + 6s).isDue);
    EXPECT_TRUE(m_plan.decide(versions, 1, m_start + 6600ms).isDue);
}

// Guards against an empty engine that waits although it serves no requests.
TEST_F(PushPlanFixture, decide_emptyEngine_switchesAsSoonAsComplete)
{
    EXPECT_TRUE(m_plan.decide({wanted(2, m_start, 1)}, 0, m_start + 1s).isDue);
}

// Guards against more than about a third of a data centre's engines refusing new requests at a
// time.
TEST(SwitchSchedule, switchAt_membersOfOneDataCentre_threeGroupsWithinBound)
{
    const SwitchSchedule schedule;
    const distribution::WeightsVersion version{domain::ModelId("m"), 2};
    const TimePoint named{1h};
    for (const std::size_t count : {3U, 5U, 8U, 17U}) {
        std::vector<std::string> members;
        for (std::size_t i = 0; i < count; ++i)
            members.push_back("10.0.0." + std::to_string(i));
        std::map<TimePoint, std::size_t> groups;
        for (const std::string &member : members)
            ++groups[schedule.switchAt(version, member, members, named)];
        EXPECT_EQ(groups.size(), 3U);
        for (const auto &[at, size] : groups) {
            EXPECT_LE(size, (count + 2) / 3);
            EXPECT_LT(at, named + 7s);
        }
    }
}

} // namespace oriolerill::rollout
