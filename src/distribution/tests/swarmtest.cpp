#include "swarmdriver.h"

#include <gtest/gtest.h>

namespace oriolerill::distribution {

class SwarmFixture : public testing::TestWithParam<std::uint64_t>
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
        return options;
    }

    void printMeasures() const
    {
        std::cout << "time/bound " << m_driver.seconds() / m_driver.boundSeconds() << " origin "
                  << m_driver.originCopies() << " WAN " << m_driver.maxWanCopies() << " VM "
                  << m_driver.maxVmCopies() << '\n';
    }

    SwarmDriver m_driver{threeRegions(GetParam())};
    std::shared_ptr<const Manifest> m_manifest = m_driver.publish("v1");
};

INSTANTIATE_TEST_SUITE_P(Seeds, SwarmFixture, testing::Range<std::uint64_t>(1, 11));

// Guards against idle links, repeated transfers over links of low bandwidth and an overloaded
// origin.
TEST_P(SwarmFixture, push_healthy_withinTargets)
{
    m_driver.requestAll(*m_manifest);
    ASSERT_TRUE(m_driver.runToEnd(*m_manifest, 120s));
    printMeasures();
    EXPECT_LE(m_driver.originCopies(), 1.2);
    EXPECT_LE(m_driver.maxWanCopies(), 1.1);
    EXPECT_LE(m_driver.maxVmCopies(), 2.2);
    EXPECT_LE(m_driver.seconds(), 1.25 * m_driver.boundSeconds());
}

class SwarmOfHundredAgents : public testing::TestWithParam<std::uint64_t>
{};

INSTANTIATE_TEST_SUITE_P(Seeds, SwarmOfHundredAgents, testing::Values(1, 2));

// Guards against a plan that misses the targets with many endpoints, here 99.
TEST_P(SwarmOfHundredAgents, push_healthy_withinTargets)
{
    DriverOptions options;
    options.seed = GetParam();
    for (const char *region : {"a", "b", "c"}) {
        options.sites.push_back(
                {domain::DataCentreId(std::string(region) + "-1"), domain::RegionId(region)});
    }
    options.agentsPerSite = 33;
    SwarmDriver driver(options);
    const auto manifest = driver.publish("v1");
    driver.requestAll(*manifest);
    ASSERT_TRUE(driver.runToEnd(*manifest, 60s));
    std::cout << "time/bound " << driver.seconds() / driver.boundSeconds() << " origin "
              << driver.originCopies() << " WAN " << driver.maxWanCopies() << " VM "
              << driver.maxVmCopies() << '\n';
    EXPECT_LE(driver.originCopies(), 1.2);
    EXPECT_LE(driver.maxWanCopies(), 1.1);
    EXPECT_LE(driver.maxVmCopies(), 2.2);
    EXPECT_LE(driver.seconds(), 1.5 * driver.boundSeconds());
}

// Guards against a region with several data centres that fetches a chunk over its link twice.
TEST(SwarmOfNineDataCentres, push_healthy_eachLinkAtMostOnce)
{
    DriverOptions options;
    for (const char *region : {"a", "b", "c"}) {
        for (const char *number : {"1", "2", "3"}) {
            options.sites.push_back({domain::DataCentreId(std::string(region) + '-' + number),
                    domain::RegionId(region)});
        }
    }
    options.agentsPerSite = 2;
    options.chunks = 200;
    SwarmDriver driver(options);
    const auto manifest = driver.publish("v1");
    driver.requestAll(*manifest);
    ASSERT_TRUE(driver.runToEnd(*manifest, 60s));
    std::cout << "time/bound " << driver.seconds() / driver.boundSeconds() << " origin "
              << driver.originCopies() << " WAN " << driver.maxWanCopies() << '\n';
    EXPECT_LE(driver.originCopies(), 1.2);
    EXPECT_LE(driver.maxWanCopies(), 1.1);
}

// Guards against a low-priority version that delays an urgent one.
TEST(SwarmOfTwoVersions, push_differentPriorities_higherFinishesFirst)
{
    DriverOptions options;
    options.sites.push_back({domain::DataCentreId("a-1"), domain::RegionId("a")});
    options.chunks = 200;
    SwarmDriver driver(options);
    const auto low = driver.publish("low");
    const auto high = driver.publish("high");
    driver.requestAll(*low, 1);
    driver.runFor(500ms);
    driver.requestAll(*high, 2);
    ASSERT_TRUE(driver.runToEnd(*high, 60s));
    EXPECT_FALSE(driver.isDone(*low));
    EXPECT_LE(driver.seconds() - 0.5, 1.75 * driver.boundSeconds());
    EXPECT_TRUE(driver.runToEnd(*low, 60s));
}

} // namespace oriolerill::distribution
