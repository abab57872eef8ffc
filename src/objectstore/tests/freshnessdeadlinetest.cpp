#include "objectstore/freshnessdeadline.h"

#include <gtest/gtest.h>

namespace oriolerill::objectstore {

using namespace std::chrono_literals;
using domain::TimePoint;

class FreshnessDeadlineFixture : public testing::Test
{
protected:
    static constexpr auto Budget = 1500ms;
    const TimePoint m_begin{1h};
    FreshnessDeadline m_deadline{Budget};
};

// Guards against store reads without a missed change: a confirmed copy has no deadline.
TEST_F(FreshnessDeadlineFixture, limitWait_copyConfirmed_waitUnchanged)
{
    EXPECT_EQ(m_deadline.limitWait(25s, m_begin), 25s);
    m_deadline.onPossiblyStale(m_begin);
    m_deadline.onConfirmed();
    EXPECT_FALSE(m_deadline.isPossiblyStale());
    EXPECT_EQ(m_deadline.limitWait(25s, m_begin), 25s);
}

// Guards against a separate budget for each wait: consecutive waits share one budget.
TEST_F(FreshnessDeadlineFixture, limitWait_consecutiveWaits_oneBudget)
{
    TimePoint now = m_begin;
    m_deadline.onPossiblyStale(m_begin);
    for (const auto wait : {500ms, 800ms, 1500ms, 1500ms}) {
        now += m_deadline.limitWait(wait, now);
        m_deadline.onPossiblyStale(now);
    }
    EXPECT_EQ(now, m_begin + Budget);
    EXPECT_EQ(m_deadline.limitWait(1s, now + 10s), 0s);
    EXPECT_EQ(m_deadline.limitWait(-1s, m_begin), 0s);
}

// Guards against calls without a delay in a long outage: each unanswered call restarts the budget
// at the time at which it was sent.
TEST_F(FreshnessDeadlineFixture, onUnanswered_longOutage_budgetFromEachCall)
{
    m_deadline.onPossiblyStale(m_begin);
    m_deadline.onUnanswered(m_begin + 5s);
    EXPECT_EQ(m_deadline.readDeadline(), m_begin + 5s + Budget);
    EXPECT_EQ(m_deadline.limitWait(10s, m_begin + 6s), 500ms);
}

// Guards against an overflow that puts the deadline of an unlimited budget into the past.
TEST_F(FreshnessDeadlineFixture, limitWait_budgetUnlimited_waitUnchanged)
{
    FreshnessDeadline unlimited{domain::Duration::max()};
    unlimited.onPossiblyStale(m_begin);
    unlimited.onUnanswered(m_begin);
    EXPECT_EQ(unlimited.limitWait(25s, m_begin + 1h), 25s);
}

} // namespace oriolerill::objectstore
