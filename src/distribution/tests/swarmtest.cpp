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

INSTANTIATE_TEST_SUITE_P(Seeds, SwarmFixture, testing::Values(1, 2, 3));

// Guards against idle links, repeated transfers over thin links and a loaded origin.
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

} // namespace oriolerill::distribution
