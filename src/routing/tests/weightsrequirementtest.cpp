#include "routing/weightsrequirement.h"

#include <gtest/gtest.h>

namespace oriolerill::routing {

using namespace std::chrono_literals;
using domain::ModelId;
using domain::TimePoint;

class WeightsRequirementFixture : public testing::Test
{
protected:
    WeightsRequirementOptions options() const
    {
        WeightsRequirementOptions options;
        options.startedAt = m_start;
        return options;
    }

    const ModelId m_model{"m"};
    const TimePoint m_start = TimePoint::clock::now();
};

// Regression: an entry that took long to read the store after its start required the version that
// it found there seconds after the operator's rules bound it.
TEST_F(WeightsRequirementFixture, lowest_versionFoundLateAfterStart_requiredAsIfFoundAtOnce)
{
    WeightsRequirement requirement(options());
    requirement.onNamed(m_model, 2, true, m_start + 2s);
    EXPECT_EQ(requirement.lowest(m_model, m_start + 2400ms), 0U);
    EXPECT_EQ(requirement.lowest(m_model, m_start + 2500ms), 2U);
}

// Guards against a request that waits at an older engine until another version's later bound.
TEST_F(WeightsRequirementFixture, beginBy_twoVersionsNamed_boundOfTheFirstNewerOne)
{
    const WeightsRequirementOptions bounds = options();
    WeightsRequirement requirement(bounds);
    requirement.onNamed(m_model, 2, false, m_start);
    requirement.onNamed(m_model, 3, false, m_start + 4s);
    const auto late = bounds.bound - bounds.withdrawalMargin;
    EXPECT_EQ(requirement.beginBy(m_model, 1, m_start + 5s), m_start + late);
    EXPECT_EQ(requirement.beginBy(m_model, 2, m_start + 5s), m_start + 4s + late);
    // A version may be named while the request waits.
    EXPECT_EQ(requirement.beginBy(m_model, 3, m_start + 5s), m_start + 5s + late);
}

} // namespace oriolerill::routing
