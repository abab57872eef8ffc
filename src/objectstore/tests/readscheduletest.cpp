#include "objectstore/internal/readschedule.h"

#include <gtest/gtest.h>

namespace oriolerill::objectstore::internal {

using namespace std::chrono_literals;
using domain::Duration;
using domain::TimePoint;

/// The schedules of a probe and of a large collection at an entry that is no publisher, in an
/// outage of the store.
class ReadScheduleFixture : public testing::Test
{
protected:
    ReadScheduleFixture()
    {
        m_stagger.setRank(29, 30);
        m_copy.setReadStagger(m_stagger);
        m_schedule.setProbe(m_probe);
        for (CopyState *copy : {&m_copy, &m_probeCopy}) {
            copy->applyList({{}, {1, 10}});
            copy->onStoreProof({1, 10}, m_begin);
            copy->onConfirmed();
        }
    }

    static StoreSubscriberOptions options()
    {
        StoreSubscriberOptions options;
        options.freshnessBudget = 1500ms;
        return options;
    }
    void loseProbe(TimePoint sentAt) { m_probe.onFailure(sentAt); }
    void answerProbe(TimePoint at)
    {
        m_probe.onStoreAnswered(at);
        m_probe.onAnswered();
    }
    /// The schedule reads the store at this time.
    bool isReadDue(TimePoint now)
    {
        const ReadStep step = m_schedule.next(now, false, false);
        return std::holds_alternative<ListStore>(step) || std::holds_alternative<WatchStore>(step);
    }

    /// The next step is a watch that waits for changes; it must be a watch.
    bool isWatchWaiting(TimePoint now)
    {
        return std::get<WatchStore>(m_schedule.next(now, false, false)).wait > Duration::zero();
    }

    const TimePoint m_begin{1h};
    const StoreSubscriberOptions m_options = options();
    ReadStagger m_stagger{2, 1200ms};
    /// Without a budget, which would shorten the delays between probes.
    const StoreSubscriberOptions m_probeOptions;
    CopyState m_probeCopy{m_probeOptions};
    CopyState m_copy{m_options};
    ReadSchedule m_probe{m_probeOptions, m_probeCopy};
    ReadSchedule m_schedule{m_options, m_copy};
};

// Regression: a read that was sent in the outage and failed after the return delayed the next one
// by the delay of its rank again, beyond the bound.
TEST_F(ReadScheduleFixture, next_readSentBeforeReturnFails_readAgainAtDelayOfRank)
{
    const TimePoint lastProbe = m_begin + 3s;
    loseProbe(m_begin + 2s);
    loseProbe(lastProbe);
    const TimePoint readAt = lastProbe + 700ms;
    answerProbe(lastProbe + 1s);
    m_schedule.onFailure(readAt);
    EXPECT_FALSE(isReadDue(lastProbe + m_stagger.delay() - 10ms));
    EXPECT_TRUE(isReadDue(lastProbe + m_stagger.delay()));
}

// Guards against entries that fill a link which has lost their reads: a read that was sent after
// the return is repeated only after the delay of its rank, although the probe is answered.
TEST_F(ReadScheduleFixture, next_readSentAfterReturnFails_delayOfRankBeforeNextOne)
{
    const TimePoint lastProbe = m_begin + 3s;
    loseProbe(m_begin + 2s);
    loseProbe(lastProbe);
    answerProbe(lastProbe + 1s);
    const TimePoint readAt = lastProbe + m_stagger.delay();
    m_schedule.onFailure(readAt);
    answerProbe(readAt + 800ms);
    EXPECT_FALSE(isReadDue(readAt + m_stagger.delay() - 10ms));
    EXPECT_TRUE(isReadDue(readAt + m_stagger.delay()));
}

// Regression: two probes that got no answer after calls had been reset were each repeated after the
// delay of an outage, so the return was noticed later than the bound.
TEST_F(ReadScheduleFixture, retryDelay_probeUnansweredAfterResets_repeatedAtOnceTwice)
{
    TimePoint sentAt = m_begin;
    for (int i = 0; i < 5; ++i) {
        m_probe.onFailure(sentAt);
        EXPECT_EQ(m_probe.retryDelay(sentAt + 10ms, 0.5),
                std::min<Duration>(
                        m_probeOptions.minRetryDelay * (1 << i), m_probeOptions.maxRetryDelay));
        sentAt += 300ms;
    }
    for (const auto delay : {m_probeOptions.minRetryDelay, m_probeOptions.minRetryDelay,
                 m_probeOptions.maxRetryDelay}) {
        m_probe.onFailure(sentAt);
        EXPECT_EQ(m_probe.retryDelay(sentAt + m_probeOptions.answerTimeout, 0.5), delay);
        sentAt += m_probeOptions.answerTimeout + delay;
    }
}

// Regression: a watch that the store cut off counted as a failed call, and the process took the
// store for lost (review/10). The next read does not wait, so that it shows whether the store
// answers; only its failure counts.
TEST_F(ReadScheduleFixture, onWatchCut_storeAnswersNextRead_noFailure)
{
    m_stagger.setRank(0, 2);
    const TimePoint cutAt = m_begin + 4s;
    m_schedule.onWatchCut(cutAt);
    EXPECT_FALSE(m_schedule.isFailing());
    EXPECT_EQ(m_schedule.retryDelay(cutAt, 0.5), m_options.minRetryDelay);
    EXPECT_FALSE(isWatchWaiting(cutAt + 100ms));
    m_copy.applyWatchedChanges({{}, {1, 10}});
    m_copy.onStoreProof({1, 10}, cutAt + 100ms);
    m_copy.onConfirmed();
    m_schedule.onStoreAnswered(cutAt + 104ms);
    EXPECT_EQ(m_schedule.onAnswered(), 0U);
    EXPECT_TRUE(isWatchWaiting(cutAt + 104ms));
    EXPECT_FALSE(m_copy.isOverdue(cutAt + 1h));
}

// Guards against calls at the rate of the round trip to a store that cuts off every watch.
TEST_F(ReadScheduleFixture, onWatchCut_severalInRow_delaysDoubled)
{
    TimePoint now = m_begin;
    for (const auto delay : {100ms, 200ms, 400ms, 800ms, 800ms}) {
        m_probe.onWatchCut(now);
        EXPECT_EQ(m_probe.retryDelay(now, 0.5), Duration(delay));
        now += delay;
    }
    m_probe.onWatchCompleted();
    m_probe.onWatchCut(now);
    EXPECT_EQ(m_probe.retryDelay(now, 0.5), Duration(100ms));
}

// Regression: a possibly stale copy was left to a watch that waits, and was overdue before its end
// (the watch of the weights alone cut off: all requests refused for 3 s).
TEST_F(ReadScheduleFixture, next_copyPossiblyStale_readWithoutWaiting)
{
    m_stagger.setRank(0, 2);
    EXPECT_TRUE(isWatchWaiting(m_begin + 1s));
    m_copy.onPossiblyStale(m_begin + 1s);
    EXPECT_FALSE(isWatchWaiting(m_begin + 1s));
}

} // namespace oriolerill::objectstore::internal
