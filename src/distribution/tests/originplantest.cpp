#include "distribution/originplan.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <set>

namespace oriolerill::distribution {

namespace {

/// The origin of a deployment with 88 VMs, and of one with 45.
constexpr OriginCapacity Slow{4.38e6 / 8, 48, 24576};
constexpr OriginCapacity Fast{15e6 / 8, 76, 49152};

std::vector<PushMember> members(std::size_t count)
{
    std::vector<PushMember> members;
    for (std::size_t i = 0; i < count; ++i) {
        members.push_back({"10.0.0." + std::to_string(i),
                domain::DataCentreId("dc" + std::to_string(i % 3)), 1});
    }
    return members;
}

std::string firstReader(const OriginPlan &plan, std::size_t lane)
{
    return plan.readers(lane, plan.dataCentres(lane).front()).front();
}

} // namespace

// Guards against more requests in flight than the link completes before their time-out.
TEST(OriginPlan, laneCount_statedCapacities_requestsOfAThirdOfASecond)
{
    EXPECT_EQ(laneCount(Slow), 7U);
    EXPECT_EQ(laneCount(Fast), 12U);
    const OriginPlan plan("m", members(30), Slow);
    EXPECT_LT(plan.expectedTime(), std::chrono::milliseconds(330));
    EXPECT_GT(plan.expectedTime(), std::chrono::milliseconds(280));
}

// Guards against connections that the origin refuses.
TEST(OriginPlan, laneCount_fewConnections_atMostHalfAndAtLeastTwo)
{
    EXPECT_EQ(laneCount({Fast.bytesPerSecond, 10, Fast.pieceBytes}), 5U);
    EXPECT_EQ(laneCount({Fast.bytesPerSecond, 3, Fast.pieceBytes}), 2U);
    EXPECT_EQ(laneCount({Fast.bytesPerSecond, 0, Fast.pieceBytes}), 12U);
    EXPECT_EQ(laneCount({}), 2U);
}

// Guards against a data centre that cannot read a lane when it is cut off from the others, and
// against lanes that are all read in one data centre.
TEST(OriginPlan, readers_threeDataCentres_allInEachLaneAndHomesInTurn)
{
    const std::vector<PushMember> all = members(30);
    const OriginPlan plan("m", all, Slow);
    std::map<std::string, std::size_t> homes;
    for (std::size_t lane = 0; lane < plan.laneCount(); ++lane) {
        ASSERT_EQ(plan.dataCentres(lane).size(), 3U);
        ++homes[plan.dataCentres(lane).front().value()];
        std::set<std::string> hosts;
        for (const domain::DataCentreId &dataCentre : plan.dataCentres(lane)) {
            for (const std::string &host : plan.readers(lane, dataCentre))
                EXPECT_TRUE(hosts.insert(host).second) << host;
        }
        EXPECT_EQ(hosts.size(), all.size());
    }
    for (const auto &[dataCentre, lanes] : homes)
        EXPECT_TRUE(lanes == 2 || lanes == 3) << dataCentre;
}

// Guards against a VM that reads several lanes while others read none: it has to send the pieces of
// all of them.
TEST(OriginPlan, readers_moreVmsThanLanes_differentVmsReadFirst)
{
    for (const std::size_t count : {30U, 45U, 88U}) {
        const OriginPlan plan("m", members(count), count == 45 ? Fast : Slow);
        std::set<std::string> first;
        for (std::size_t lane = 0; lane < plan.laneCount(); ++lane)
            first.insert(firstReader(plan, lane));
        EXPECT_EQ(first.size(), plan.laneCount()) << count << " VMs";
    }
}

// Guards against lanes that move in the middle of a transfer, and are read twice, because another
// VM left the list.
TEST(OriginPlan, readers_memberLeaves_itsLanesAndFewOthersMove)
{
    const std::vector<PushMember> all = members(30);
    const OriginPlan before("m", all, Slow);
    for (const PushMember &left : all) {
        std::vector<PushMember> rest = all;
        std::erase_if(rest, [&](const PushMember &member) { return member.host == left.host; });
        const OriginPlan after("m", rest, Slow);
        std::size_t own = 0;
        std::size_t moved = 0;
        for (std::size_t lane = 0; lane < before.laneCount(); ++lane) {
            own += firstReader(before, lane) == left.host ? 1 : 0;
            moved += firstReader(before, lane) != firstReader(after, lane) ? 1 : 0;
        }
        EXPECT_GE(moved, own) << left.host;
        EXPECT_LE(moved, own == 0 ? 0 : 3) << left.host;
    }
}

// Guards against plans that depend on the order in which the platform lists the members.
TEST(OriginPlan, readers_membersInOtherOrder_samePlan)
{
    std::vector<PushMember> all = members(30);
    const OriginPlan plan("m", all, Slow);
    std::reverse(all.begin(), all.end());
    const OriginPlan other("m", all, Slow);
    for (std::size_t lane = 0; lane < plan.laneCount(); ++lane) {
        EXPECT_EQ(plan.dataCentres(lane), other.dataCentres(lane));
        EXPECT_EQ(firstReader(plan, lane), firstReader(other, lane));
    }
}

} // namespace oriolerill::distribution
