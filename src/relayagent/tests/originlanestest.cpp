#include "agentfleet.h"

#include <gtest/gtest.h>

namespace oriolerill::relayagent {

using namespace std::chrono_literals;

/// Twelve agents in three data centres over real sockets, with an origin whose rate is stated: a
/// copy takes 0.8 s.
class OriginLanesFixture : public testing::Test
{
protected:
    static AgentFleetOptions options()
    {
        AgentFleetOptions options;
        options.isOriginStated = true;
        options.originMbps = 2;
        options.bound = 6s;
        options.firstPort = 21500;
        return options;
    }

    void SetUp() override
    {
        m_fleet.sendSubscription();
        m_fleet.runUntil([] { return false; }, 200ms);
    }

    bool isHeldEverywhere(std::uint64_t version) const
    {
        return std::all_of(
                m_fleet.agents.begin(), m_fleet.agents.end(), [version](const auto &agent) {
                    return agent.engine->version() >= version || agent.updater->isNewestComplete();
                });
    }

    AgentFleet m_fleet{options()};
};

// Guards against pieces that cross the origin's link more than once.
TEST_F(OriginLanesFixture, push_healthyFleet_heldEverywhereAtOneCopy)
{
    m_fleet.nameVersion(2);
    ASSERT_TRUE(m_fleet.runUntil([&] { return isHeldEverywhere(2); }, 5s));
    EXPECT_LE(m_fleet.origin.copies(), 1.1);
}

// Regression: after an outage of the origin all VMs asked it at once, each request timed out, and
// nothing arrived for 10 to 20 s.
TEST_F(OriginLanesFixture, push_originAwayInTheMiddle_restArrivesAtOneCopy)
{
    m_fleet.nameVersion(2);
    m_fleet.runUntil([] { return false; }, 500ms);
    m_fleet.origin.isDown = true;
    m_fleet.runUntil([] { return false; }, 2s);
    m_fleet.origin.isDown = false;
    ASSERT_TRUE(m_fleet.runUntil([&] { return isHeldEverywhere(2); }, 3s));
    EXPECT_LE(m_fleet.origin.copies(), 1.1);
}

// Regression: pieces of two versions named in quick succession shared the link, so that the second
// naming delayed the first version.
TEST_F(OriginLanesFixture, push_secondVersionNamed_bothAtOneCopyEach)
{
    m_fleet.nameVersion(2);
    m_fleet.runUntil([] { return false; }, 400ms);
    m_fleet.nameVersion(3);
    ASSERT_TRUE(m_fleet.runUntil([&] { return isHeldEverywhere(3); }, 5s));
    EXPECT_LE(m_fleet.origin.copies(), 2.2);
}

} // namespace oriolerill::relayagent
