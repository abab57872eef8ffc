#include "swarmdriver.h"

#include <gtest/gtest.h>

#include <iostream>

namespace oriolerill::distribution {

/// Pushes with faults; each test runs with several seeds.
class SwarmFaultFixture : public testing::TestWithParam<std::uint64_t>
{
protected:
    static DriverOptions threeRegions(std::uint64_t seed)
    {
        DriverOptions options;
        for (const char *region : {"a", "b", "c"}) {
            options.sites.push_back(
                    {domain::DataCentreId(std::string(region) + "-1"), domain::RegionId(region)});
        }
        options.seed = seed;
        options.chunks = 200;
        return options;
    }

    void SetUp() override { m_driver.requestAll(*m_manifest); }
    void TearDown() override
    {
        std::cout << "time/bound " << m_driver.seconds() / m_driver.boundSeconds() << " origin "
                  << m_driver.originCopies() << " WAN " << m_driver.maxWanCopies() << " VM "
                  << m_driver.maxVmCopies() << '\n';
        EXPECT_LE(m_driver.originCopies(), 4);
    }

    std::size_t held(std::size_t agent) const
    {
        return m_driver.agents[agent].scheduler->progress(m_manifest->digest()).chunksVerified;
    }
    /// Whether each chunk is stored by at least one agent.
    bool isOneCopyDistributed() const
    {
        std::set<domain::Digest> distributed;
        for (const SwarmDriver::Agent &agent : m_driver.agents)
            distributed.insert(agent.stored.begin(), agent.stored.end());
        return distributed.size() == m_manifest->chunks().size();
    }
    bool runToHalf()
    {
        return m_driver.runUntil([this] { return held(0) >= 100; }, 60s);
    }

    SwarmDriver m_driver{threeRegions(GetParam())};
    std::shared_ptr<const Manifest> m_manifest = m_driver.publish("v1");
};

INSTANTIATE_TEST_SUITE_P(Seeds, SwarmFaultFixture, testing::Values(1, 9, 13, 28, 30));

// Guards against a new tracker that plans fetches of chunks that agents hold or already fetch.
TEST_P(SwarmFaultFixture, push_trackersReplaced_finishesWithoutSecondCopy)
{
    ASSERT_TRUE(runToHalf());
    for (std::size_t site = 0; site < 3; ++site)
        m_driver.replaceTracker(site);
    ASSERT_TRUE(m_driver.runToEnd(*m_manifest, 60s));
    EXPECT_LE(m_driver.originCopies(), 1.2);
    EXPECT_LE(m_driver.maxWanCopies(), 1.1);
}

// Guards against duplicate fetches that accumulate over many replacements of trackers.
TEST_P(SwarmFaultFixture, push_trackersReplacedEverySecond_finishesWithoutSecondCopy)
{
    const auto isDone = [this] { return m_driver.isDone(*m_manifest); };
    for (int i = 0; i < 60 && !m_driver.runUntil(isDone, 1s); ++i) {
        for (std::size_t site = 0; site < 3; ++site)
            m_driver.replaceTracker(site);
    }
    ASSERT_TRUE(isDone());
    EXPECT_LE(m_driver.originCopies(), 1.2);
    EXPECT_LE(m_driver.maxWanCopies(), 1.1);
}

// Guards against a transfer that stops when its trackers are lost.
TEST_P(SwarmFaultFixture, push_trackersLost_agentsFinishWithoutThem)
{
    ASSERT_TRUE(runToHalf());
    m_driver.isTrackerUp.assign(3, false);
    ASSERT_TRUE(m_driver.runToEnd(*m_manifest, 180s));
}

// Guards against plans that rely on chunks which a restarted agent no longer holds.
TEST_P(SwarmFaultFixture, push_agentsReplacedEmpty_finishesFromPeers)
{
    ASSERT_TRUE(runToHalf());
    m_driver.restartAgent(0);
    m_driver.restartAgent(7);
    ASSERT_TRUE(m_driver.runToEnd(*m_manifest, 60s));
    EXPECT_LE(m_driver.originCopies(), 1.2);
}

// Guards against a push that stops while the origin is unreachable, or overloads it on its return.
TEST_P(SwarmFaultFixture, push_originTemporarilyUnreachable_finishesAfterReturn)
{
    m_driver.runFor(1s);
    m_driver.isOriginUp = false;
    m_driver.runFor(30s);
    m_driver.isOriginUp = true;
    ASSERT_TRUE(m_driver.runToEnd(*m_manifest, 60s));
    EXPECT_LE(m_driver.originCopies(), 1.5);
}

// Guards against agents that wait for the origin although peers hold every chunk.
TEST_P(SwarmFaultFixture, push_originLostAfterOneCopy_restFinishes)
{
    ASSERT_TRUE(m_driver.runUntil([this] { return isOneCopyDistributed(); }, 60s));
    m_driver.isOriginUp = false;
    ASSERT_TRUE(m_driver.runToEnd(*m_manifest, 60s));
}

// Guards against a data centre that waits for the origin although other data centres hold every
// chunk.
TEST_P(SwarmFaultFixture, push_originLostAndDataCentreReplaced_refilledFromOthers)
{
    ASSERT_TRUE(m_driver.runToEnd(*m_manifest, 60s));
    m_driver.isOriginUp = false;
    for (std::size_t agent = 0; agent < 5; ++agent)
        m_driver.restartAgent(agent);
    ASSERT_TRUE(m_driver.runToEnd(*m_manifest, 60s));
}

// Guards against regions that make no progress while another region is unreachable.
TEST_P(SwarmFaultFixture, push_regionCutAndBack_othersFinishThenItCatchesUp)
{
    m_driver.runFor(1s);
    m_driver.cutRegion = domain::RegionId("c");
    ASSERT_TRUE(m_driver.runUntil(
            [this] { return held(0) == 200 && held(4) == 200 && held(5) == 200 && held(9) == 200; },
            90s));
    EXPECT_LT(held(12), 200U);
    m_driver.cutRegion = domain::RegionId();
    ASSERT_TRUE(m_driver.runToEnd(*m_manifest, 60s));
    EXPECT_LE(m_driver.originCopies(), 2);
}

// Guards against corrupted chunks that are stored or relayed, and against repeated fetches from
// their sender.
TEST_P(SwarmFaultFixture, push_corruptingPeer_avoidedAndNothingStored)
{
    m_driver.isCorrupted = [](std::size_t source, std::uint32_t) { return source == 1; };
    ASSERT_TRUE(m_driver.runToEnd(*m_manifest, 60s));
    EXPECT_GT(m_driver.corruptedFrom[1], 0);
    EXPECT_LE(m_driver.corruptedFrom[1], 60);
    EXPECT_EQ(m_driver.corruptedFrom.size(), 1U);
}

// Guards against corrupted chunks from the origin that stop the push, or make it fetch far more
// than these chunks again.
TEST_P(SwarmFaultFixture, push_corruptingOrigin_finishesWithinBudget)
{
    std::map<std::uint32_t, int> sent;
    m_driver.isCorrupted = [&sent](std::size_t source, std::uint32_t chunk) {
        return source == SwarmDriver::Origin && chunk % 10 == 0 && ++sent[chunk] == 1;
    };
    ASSERT_TRUE(m_driver.runToEnd(*m_manifest, 90s));
    EXPECT_LE(m_driver.originCopies(), 1.3);
}

// Guards against mixed versions, and against memory that is not freed when a version is released.
TEST_P(SwarmFaultFixture, push_versionChanged_oldStoppedAndFreed)
{
    ASSERT_TRUE(runToHalf());
    const auto next = m_driver.publish("v2",
            [](std::size_t chunk) { return (chunk < 50 ? "v1" : "v2") + std::to_string(chunk); });
    m_driver.requestAll(*next, 1);
    for (std::size_t i = 0; i < m_driver.agents.size(); ++i)
        m_driver.release(i, *m_manifest);
    ASSERT_TRUE(m_driver.runToEnd(*next, 60s));
    for (const SwarmDriver::Agent &agent : m_driver.agents) {
        EXPECT_EQ(agent.stored.size(), next->chunks().size());
        EXPECT_FALSE(agent.scheduler->progress(m_manifest->digest()).hasManifest);
    }
}

// Guards against one slow VM that holds the only copy of chunks and so delays all others.
TEST_P(SwarmFaultFixture, push_slowVm_othersFinishInTime)
{
    m_driver.agents[2].rate /= 50;
    ASSERT_TRUE(m_driver.runUntil(
            [this] {
                for (std::size_t i = 0; i < m_driver.agents.size(); ++i) {
                    if (i != 2 && held(i) < 200)
                        return false;
                }
                return true;
            },
            60s));
    EXPECT_LE(m_driver.seconds(), 1.5 * m_driver.boundSeconds());
}

// Guards against recovery that works for single faults only.
TEST_P(SwarmFaultFixture, push_trackerReplacedAndAgentsLostAndRegionCut_finishes)
{
    ASSERT_TRUE(runToHalf());
    m_driver.replaceTracker(1);
    m_driver.cutRegion = domain::RegionId("b");
    m_driver.agents[3].isUp = false;
    m_driver.restartAgent(6);
    m_driver.runFor(10s);
    m_driver.cutRegion = domain::RegionId();
    ASSERT_TRUE(m_driver.runToEnd(*m_manifest, 60s));
}

// Guards against a push that does not finish after a peer has sent corrupted chunks while the
// origin was unreachable.
TEST_P(SwarmFaultFixture, push_originCutAndCorruptingPeer_finishes)
{
    m_driver.isCorrupted = [](std::size_t source, std::uint32_t) { return source == 6; };
    m_driver.runFor(2s);
    m_driver.isOriginUp = false;
    m_driver.runFor(10s);
    m_driver.isOriginUp = true;
    ASSERT_TRUE(m_driver.runToEnd(*m_manifest, 60s));
}

} // namespace oriolerill::distribution
