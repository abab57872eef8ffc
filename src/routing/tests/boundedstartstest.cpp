#include "routing/boundedstarts.h"

#include <gtest/gtest.h>

namespace oriolerill::routing {

using namespace std::chrono_literals;
using domain::DataCentreId;
using domain::EndpointId;
using domain::TimePoint;

class BoundedStartsFixture : public testing::Test
{
protected:
    BoundedStartsFixture()
        : m_starts(options())
    {}

    static BoundedStartsOptions options()
    {
        BoundedStartsOptions options;
        options.dataCentre = DataCentreId("home");
        return options;
    }

    /// A request that is answered at once.
    void exchange(const BoundedStarts::Target &target, TimePoint at)
    {
        m_starts.onSent(target, at, at + 20ms);
        m_starts.onAnswered(target, at);
        m_starts.onEnded(target, at, at + 20ms);
    }

    bool isInTime(const BoundedStarts::Target &target, domain::Duration left) const
    {
        return m_starts.isInTime(target, 20ms, m_now + left, m_now);
    }

    const BoundedStarts::Target m_near{EndpointId("near"), DataCentreId("home")};
    const BoundedStarts::Target m_far{EndpointId("far"), DataCentreId("away")};
    const BoundedStarts::Target m_farOther{EndpointId("other"), DataCentreId("away")};
    TimePoint m_now{1h};
    BoundedStarts m_starts;
};

// Guards against requests that are sent to a queue that is longer than the time left.
TEST_F(BoundedStartsFixture, isInTime_startExpectedAfterDeadline_false)
{
    EXPECT_TRUE(isInTime(m_near, 20ms));
    EXPECT_FALSE(isInTime(m_near, 19ms));
}

// Guards against requests that a full link between data centres delays beyond the deadline: nothing
// is known of a path on which no request was answered.
TEST_F(BoundedStartsFixture, isInTime_noAnswerFromOtherDataCentre_onlyLongBeforeDeadline)
{
    EXPECT_FALSE(isInTime(m_far, 3500ms));
    EXPECT_TRUE(isInTime(m_far, 3520ms));
}

// Guards against engines of other data centres that are left out too early before a bound, and
// against links that begin to hold requests right after an answer.
TEST_F(BoundedStartsFixture, isInTime_recentAnswerFromOtherDataCentre_pathProven)
{
    exchange(m_farOther, m_now - 1s);
    EXPECT_TRUE(isInTime(m_far, 2070ms));
    EXPECT_FALSE(isInTime(m_far, 2069ms));
    m_now += 1ms;
    EXPECT_FALSE(isInTime(m_far, 3500ms));
}

// Regression: requests were sent over a link that had delivered nothing for a second.
TEST_F(BoundedStartsFixture, isInTime_laterRequestUnanswered_pathNotProven)
{
    exchange(m_far, m_now - 500ms);
    m_starts.onSent(m_farOther, m_now - 400ms, m_now - 380ms);
    EXPECT_FALSE(isInTime(m_far, 3s));
    // An answer to a still later request shows that the link delivers.
    exchange(m_far, m_now - 100ms);
    EXPECT_TRUE(isInTime(m_far, 3s));
}

// Guards against a delay that is forgotten because the requests on the link were cancelled.
TEST_F(BoundedStartsFixture, isInTime_unansweredRequestCancelled_evidenceKept)
{
    exchange(m_far, m_now - 900ms);
    m_starts.onSent(m_far, m_now - 800ms, m_now - 780ms);
    m_starts.onEnded(m_far, m_now - 800ms, m_now - 100ms);
    EXPECT_FALSE(isInTime(m_far, 3s));
}

// Guards against callers who leave early: their requests have no answer, which shows nothing.
TEST_F(BoundedStartsFixture, isInTime_requestCancelledBeforeAnswerWasDue_noEvidence)
{
    exchange(m_far, m_now - 900ms);
    m_starts.onSent(m_far, m_now - 800ms, m_now - 780ms);
    m_starts.onEnded(m_far, m_now - 800ms, m_now - 700ms);
    EXPECT_TRUE(isInTime(m_far, 3s));
}

// Guards against requests sent to an engine of the own data centre that has begun nothing for a
// while, and against leaving out its neighbours.
TEST_F(BoundedStartsFixture, isInTime_engineOfOwnDataCentreOverdue_twiceThatTimeNeeded)
{
    m_starts.onSent(m_near, m_now - 1020ms, m_now - 1s);
    EXPECT_FALSE(isInTime(m_near, 2s));
    EXPECT_TRUE(isInTime(m_near, 2020ms));
    EXPECT_TRUE(isInTime({EndpointId("next"), DataCentreId("home")}, 20ms));
}

// Guards against an engine that is left out for good after one request without an answer.
TEST_F(BoundedStartsFixture, isInTime_unansweredRequestLongAgo_forgotten)
{
    m_starts.onSent(m_near, m_now - 5100ms, m_now - 5080ms);
    EXPECT_TRUE(isInTime(m_near, 20ms));
}

// Guards against a pause of this process that looks like a delay of all paths, and against answers
// before a suspension that prove a path after it.
TEST_F(BoundedStartsFixture, isInTime_afterPauseOrSuspension_noDelayShownAndPathNotProven)
{
    m_starts.onSent(m_near, m_now - 1020ms, m_now - 1s);
    m_starts.onPaused(1s);
    EXPECT_TRUE(isInTime(m_near, 20ms));
    exchange(m_far, m_now - 100ms);
    EXPECT_TRUE(isInTime(m_far, 3s));
    m_starts.onSuspended(2s);
    EXPECT_FALSE(isInTime(m_far, 3s));
}

// Guards against a busy engine of another data centre that hides a delay of the path.
TEST_F(BoundedStartsFixture, isInTime_laterRequestOverdueBeforeEarlierOne_pathNotProven)
{
    exchange(m_far, m_now - 900ms);
    m_starts.onSent(m_farOther, m_now - 800ms, m_now + 400ms);
    m_starts.onSent(m_far, m_now - 700ms, m_now - 680ms);
    EXPECT_FALSE(isInTime(m_far, 3s));
}

// Guards against records of engines that grow without bound while engines are replaced.
TEST_F(BoundedStartsFixture, onSent_manyReplacedEngines_recordsOfUnusedOnesRemoved)
{
    for (int i = 0; i < 5000; ++i) {
        const BoundedStarts::Target target{
                EndpointId("e" + std::to_string(i)), DataCentreId("home")};
        exchange(target, m_now + i * 10ms);
    }
    EXPECT_LE(m_starts.engineCount(), options().maxEngines);
}

} // namespace oriolerill::routing
