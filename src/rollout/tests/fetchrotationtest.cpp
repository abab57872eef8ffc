#include "rollout/fetchrotation.h"

#include <gtest/gtest.h>

namespace oriolerill::rollout {

using namespace std::chrono_literals;
using domain::TimePoint;

class FetchRotationFixture : public testing::Test
{
protected:
    const TimePoint m_start{1h};
    FetchRotation m_rotation;
};

// Regression: a version counted as stalled because another one was fetched instead, so it was never
// fetched again when the sources of the other one failed.
TEST_F(FetchRotationFixture, isStalled_otherVersionFetched_notStalled)
{
    m_rotation.onFetch(3, m_start);
    EXPECT_FALSE(m_rotation.isStalled(2, m_start - 5s, m_start + 5s));
    EXPECT_TRUE(m_rotation.isStalled(3, m_start - 5s, m_start + 5s));
}

// Guards against a version that counts as stalled before its sources could answer, when its fetch
// resumes.
TEST_F(FetchRotationFixture, isStalled_fetchResumed_timeCountsFromResumption)
{
    m_rotation.onFetch(3, m_start);
    m_rotation.onFetch(2, m_start + 5s);
    EXPECT_FALSE(m_rotation.isStalled(2, m_start, m_start + 5500ms));
    EXPECT_TRUE(m_rotation.isStalled(2, m_start, m_start + 6s));
}

// Guards against a recovered origin that is not detected because an older version is fetched.
TEST_F(FetchRotationFixture, isStalled_olderVersionFetchedMeanwhile_retriedAfterDelay)
{
    m_rotation.onFetch(3, m_start);
    ASSERT_TRUE(m_rotation.isStalled(3, m_start, m_start + 1s));
    m_rotation.onFetch(2, m_start + 1s);
    EXPECT_TRUE(m_rotation.isStalled(3, m_start, m_start + 1800ms));
    EXPECT_FALSE(m_rotation.isStalled(3, m_start, m_start + 2s));
}

// Guards against an older version without sources that uses half of the fetch time.
TEST_F(FetchRotationFixture, isStalled_repeatedlyWithoutPiece_delayDoubles)
{
    m_rotation.onFetch(2, m_start);
    ASSERT_TRUE(m_rotation.isStalled(2, m_start, m_start + 1s));
    m_rotation.onFetch(3, m_start + 1s);
    ASSERT_FALSE(m_rotation.isStalled(2, m_start, m_start + 2s));
    m_rotation.onFetch(2, m_start + 2s);
    ASSERT_TRUE(m_rotation.isStalled(2, m_start, m_start + 3s));
    m_rotation.onFetch(3, m_start + 3s);
    EXPECT_TRUE(m_rotation.isStalled(2, m_start, m_start + 4700ms));
    EXPECT_FALSE(m_rotation.isStalled(2, m_start, m_start + 4900ms));
    // A received piece resets the delay.
    ASSERT_FALSE(m_rotation.isStalled(2, m_start + 5s, m_start + 5s));
    m_rotation.onFetch(2, m_start + 6s);
    ASSERT_TRUE(m_rotation.isStalled(2, m_start + 5s, m_start + 7s));
    m_rotation.onFetch(3, m_start + 7s);
    EXPECT_FALSE(m_rotation.isStalled(2, m_start + 5s, m_start + 7900ms));
}

// Guards against a version that counts as stalled although its pieces arrive again: an engine would
// switch to an older one shortly before the newest is complete.
TEST_F(FetchRotationFixture, isStalled_pieceReceivedSince_notStalled)
{
    m_rotation.onFetch(3, m_start);
    ASSERT_TRUE(m_rotation.isStalled(3, m_start, m_start + 1s));
    EXPECT_FALSE(m_rotation.isStalled(3, m_start + 1050ms, m_start + 1100ms));
}

} // namespace oriolerill::rollout
