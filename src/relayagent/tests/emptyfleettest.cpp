#include "agentfleet.h"

#include <gtest/gtest.h>

namespace oriolerill::relayagent {

using namespace std::chrono_literals;

/// Twelve agents in three data centres whose engines have lost their weights, while no version is
/// named in the store. The parameter is whether the rate of the origin is stated.
class EmptyFleetFixture : public testing::TestWithParam<bool>
{
protected:
    /// recover_s of the operators' sites: from the return of the machines until requests are
    /// served.
    static constexpr auto RecoveryBound = 12s;

    AgentFleetOptions options(std::uint64_t listedVersion) const
    {
        AgentFleetOptions options;
        options.isOriginStated = GetParam();
        options.originMbps = 2;
        options.bound = 8s;
        options.firstPort = 21700;
        options.firstVersion = 0;
        options.firstListedVersion = listedVersion;
        return options;
    }
    /// A fleet after a loss of power; the list still states the version, if any.
    void start(std::uint64_t listedVersion)
    {
        m_fleet = std::make_unique<AgentFleet>(options(listedVersion));
        m_fleet->sendSubscription();
    }
    bool servesWithin(std::uint64_t version, domain::Duration limit)
    {
        return m_fleet->runUntil([&] { return m_fleet->isServedEverywhere(version); }, limit);
    }
    void runFor(domain::Duration time)
    {
        m_fleet->runUntil([] { return false; }, time);
    }

    std::unique_ptr<AgentFleet> m_fleet;
};

// Regression: engines stayed empty for good after the whole fleet had lost power, if no version was
// named before (review/6, RECOVER). Agents loaded only named versions and those of the list.
TEST_P(EmptyFleetFixture, run_listStatesNoVersion_newestOfOriginServedEverywhere)
{
    start(0);
    EXPECT_TRUE(servesWithin(1, RecoveryBound));
    EXPECT_EQ(m_fleet->wrongLoads(), 0);
    EXPECT_LE(m_fleet->origin.copies(), 1.2);
}

// Regression: a transfer was given up when the entries of the former engines expired (review/6).
TEST_P(EmptyFleetFixture, run_listLosesVersionDuringTransfer_versionServedEverywhere)
{
    start(1);
    m_fleet->runUntil([&] { return m_fleet->origin.copies() > 0.2; }, 5s);
    m_fleet->listVersion(0);
    EXPECT_TRUE(servesWithin(1, RecoveryBound));
    EXPECT_EQ(m_fleet->wrongLoads(), 0);
}

// Guards against engines that stay empty because the members were read while none was listed.
TEST_P(EmptyFleetFixture, run_listIsEmptyAtFirst_versionServedEverywhere)
{
    m_fleet = std::make_unique<AgentFleet>(options(0));
    m_fleet->removeEndpoints();
    m_fleet->sendSubscription();
    runFor(1s);
    m_fleet->listVersion(0);
    EXPECT_TRUE(servesWithin(1, RecoveryBound));
}

// Guards against engines that stay empty because all that serve the version are leaving.
TEST_P(EmptyFleetFixture, run_servingEndpointsAreDraining_versionServedEverywhere)
{
    m_fleet = std::make_unique<AgentFleet>(options(0));
    for (const AgentFleet::Agent &agent : m_fleet->agents)
        m_fleet->putEndpoint(agent, 1, "draining");
    m_fleet->sendSubscription();
    EXPECT_TRUE(servesWithin(1, RecoveryBound));
}

// Guards against engines that stay empty after all of them have crashed, and against pieces that
// are fetched again although they are still staged.
TEST_P(EmptyFleetFixture, run_allEnginesCrash_stagedVersionLoadedWithoutCopy)
{
    AgentFleetOptions served = options(1);
    served.firstVersion = 1;
    m_fleet = std::make_unique<AgentFleet>(served);
    m_fleet->sendSubscription();
    runFor(1s);
    for (const AgentFleet::Agent &agent : m_fleet->agents) {
        agent.engine->stage(1);
        agent.engine->restart(2);
    }
    m_fleet->listVersion(0);
    EXPECT_TRUE(servesWithin(1, RecoveryBound));
    EXPECT_EQ(m_fleet->origin.copies(), 0);
    EXPECT_EQ(m_fleet->wrongLoads(), 0);
}

// Guards against a version that is loaded although the store names a newer one, of which the agents
// are notified later.
TEST_P(EmptyFleetFixture, run_namedVersionReceivedLate_olderOneNeverLoaded)
{
    start(0);
    m_fleet->store.isDown = true;
    m_fleet->nameVersion(2);
    runFor(3s);
    m_fleet->store.isDown = false;
    EXPECT_TRUE(servesWithin(2, RecoveryBound));
    EXPECT_EQ(m_fleet->loadedVersions, (std::set<std::uint64_t>{2}));
}

// Guards against an older version that is loaded because its transfer has begun.
TEST_P(EmptyFleetFixture, run_versionNamedDuringTransfer_olderOneNotLoadedAfterwards)
{
    start(0);
    m_fleet->runUntil([&] { return m_fleet->origin.copies() > 0.2; }, 5s);
    ASSERT_TRUE(m_fleet->loadedVersions.empty());
    m_fleet->nameVersion(2);
    m_fleet->origin.newestVersion = 2;
    EXPECT_TRUE(servesWithin(2, RecoveryBound));
    EXPECT_EQ(m_fleet->loadedVersions, (std::set<std::uint64_t>{2}));
}

// Guards against a fleet that waits for a version which a corrupted answer of the origin stated.
TEST_P(EmptyFleetFixture, run_originStatesUnknownVersion_soundOneServedEverywhere)
{
    m_fleet = std::make_unique<AgentFleet>(options(0));
    m_fleet->origin.newestVersion = 9;
    m_fleet->origin.firstUnknown = 2;
    m_fleet->sendSubscription();
    m_fleet->runUntil([&] { return m_fleet->origin.manifestRequests > 0; }, 5s);
    m_fleet->origin.newestVersion = 1;
    EXPECT_TRUE(servesWithin(1, RecoveryBound));
}

// Guards against engines that stay empty because the origin did not answer at first.
TEST_P(EmptyFleetFixture, run_originReturnsLate_versionServedEverywhere)
{
    start(0);
    m_fleet->origin.isDown = true;
    runFor(4s);
    m_fleet->origin.isDown = false;
    EXPECT_TRUE(servesWithin(1, RecoveryBound));
    EXPECT_LE(m_fleet->origin.copies(), 1.2);
}

INSTANTIATE_TEST_SUITE_P(OriginRate, EmptyFleetFixture, testing::Bool(),
        [](const auto &info) { return info.param ? "Stated" : "NotStated"; });

} // namespace oriolerill::relayagent
