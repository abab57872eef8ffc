#include "distribution/swarmplanner.h"

#include <gtest/gtest.h>

#include <chrono>

namespace oriolerill::distribution {

using namespace std::chrono_literals;

class SwitchGrantFixture : public testing::Test
{
protected:
    bool report(const std::string &id, bool isWanted, bool isSwitching = false,
            const std::string &version = "v2")
    {
        protocol::SwarmReport report;
        report.set_manifest_digest(domain::Digest::of(version).bytes());
        report.mutable_endpoint()->set_id(id);
        report.mutable_endpoint()->set_request_address(id);
        report.set_chunk_count(1);
        report.set_have("\1");
        report.set_wants_switch_grant(isWanted);
        report.set_switching(isSwitching);
        return m_planner.report(report, m_now).switch_granted();
    }

    domain::TimePoint m_now = domain::TimePoint() + 1h;
    SwarmPlanner m_planner{SwarmOptions(), m_now};
};

// Guards against a new tracker that exceeds the bound while grants of its predecessor are valid.
TEST_F(SwitchGrantFixture, report_newTracker_grantsAfterOneLeaseAndCountsSwitching)
{
    EXPECT_FALSE(report("vm1", true));
    EXPECT_TRUE(report("vm2", true, true));
    m_now += SwarmOptions().grantLease - 1ms;
    EXPECT_FALSE(report("vm1", true));
    EXPECT_TRUE(report("vm2", true, true));
    m_now += 1s;
    EXPECT_FALSE(report("vm1", true));
    EXPECT_FALSE(report("vm2", false));
    EXPECT_TRUE(report("vm1", true));
    EXPECT_EQ(m_planner.outstandingGrants(m_now), 1U);
}

// Guards against a grant that is released by a report on another version, or never released.
TEST_F(SwitchGrantFixture, report_holderUnresponsive_grantEndsWithLease)
{
    m_now += SwarmOptions().grantLease;
    EXPECT_TRUE(report("vm1", true));
    EXPECT_FALSE(report("vm1", false, false, "v1"));
    EXPECT_FALSE(report("vm2", true));
    m_now += SwarmOptions().grantLease + 1ms;
    EXPECT_TRUE(report("vm2", true));
    EXPECT_FALSE(report("vm1", true));
}

// Guards against more endpoints out of service at once than the rollout allows.
TEST_F(SwitchGrantFixture, report_manyRequests_boundKept)
{
    m_now += SwarmOptions().grantLease;
    m_planner.setMaxUnavailable(3);
    int granted = 0;
    for (int i = 0; i < 20; ++i)
        granted += report("vm" + std::to_string(i), true) ? 1 : 0;
    EXPECT_EQ(granted, 3);
}

} // namespace oriolerill::distribution
