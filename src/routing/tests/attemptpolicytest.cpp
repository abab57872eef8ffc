#include "routing/attemptpolicy.h"

#include <gtest/gtest.h>

namespace oriolerill::routing {

using namespace std::chrono_literals;
using domain::TimePoint;

class AttemptPolicyFixture : public testing::Test
{
protected:
    AttemptPolicy policy(RequestKind kind, std::uint32_t maxEndpoints = 2) const
    {
        Route route;
        route.kind = kind;
        route.isResumable = kind == RequestKind::Stream;
        route.maxEndpoints = maxEndpoints;
        return {route, m_now + 3s};
    }

    /// One attempt that is sent and ends so; whether a further endpoint may get the request.
    static NextAttempt attempt(AttemptPolicy &policy, AttemptEnd end)
    {
        policy.onAttempt();
        if (end != AttemptEnd::NotSent)
            policy.onSent();
        policy.onEnd(end);
        return policy.next(end);
    }

    const TimePoint m_now{1h};
};

// Guards against an order that runs twice after its answer was lost, and against a refusal that
// says "not run" of an order that may have run.
TEST_F(AttemptPolicyFixture, next_orderMayHaveRun_noFurtherEndpoint)
{
    for (const AttemptEnd end : {AttemptEnd::Lost, AttemptEnd::FailedAnswer, AttemptEnd::Withdrawn,
                 AttemptEnd::TimedOut, AttemptEnd::CallerDisconnected}) {
        AttemptPolicy order = policy(RequestKind::NonIdempotent);
        EXPECT_EQ(attempt(order, end), NextAttempt::None) << toString(end);
        EXPECT_EQ(order.runs(), 1U) << toString(end);
    }
}

// Guards against an order that is given up although no endpoint has run it.
TEST_F(AttemptPolicyFixture, next_orderProvedNotRun_furtherEndpointWithinBudget)
{
    AttemptPolicy order = policy(RequestKind::NonIdempotent, 1);
    EXPECT_EQ(attempt(order, AttemptEnd::NotRun), NextAttempt::WithinBudget);
    EXPECT_EQ(attempt(order, AttemptEnd::NotSent), NextAttempt::Free);
    EXPECT_EQ(order.runs(), 0U);
    // The third endpoint may have run it; its answer does not undo that.
    EXPECT_EQ(attempt(order, AttemptEnd::Lost), NextAttempt::None);
    EXPECT_EQ(order.runs(), 1U);
}

// Guards against a request that runs at more endpoints than its route allows, and against one that
// goes round all endpoints while they refuse it.
TEST_F(AttemptPolicyFixture, next_endpointsFail_boundsKept)
{
    AttemptPolicy read = policy(RequestKind::Idempotent);
    EXPECT_EQ(attempt(read, AttemptEnd::Lost), NextAttempt::WithinBudget);
    EXPECT_EQ(attempt(read, AttemptEnd::FailedAnswer), NextAttempt::None);
    AttemptPolicy refused = policy(RequestKind::Idempotent);
    EXPECT_EQ(attempt(refused, AttemptEnd::NotRun), NextAttempt::WithinBudget);
    EXPECT_EQ(attempt(refused, AttemptEnd::NotRun), NextAttempt::WithinBudget);
    EXPECT_EQ(attempt(refused, AttemptEnd::NotSent), NextAttempt::Free);
    EXPECT_EQ(attempt(refused, AttemptEnd::NotRun), NextAttempt::None);
}

// Guards against an answer that is given up though no other endpoint may run the request, and
// against a wait for a dark endpoint that leaves no time for another.
TEST_F(AttemptPolicyFixture, firstByteDeadline_lastEndpoint_allTheTimeLeft)
{
    AttemptPolicy stream = policy(RequestKind::Stream);
    stream.onSent();
    EXPECT_EQ(stream.firstByteDeadline(100, m_now), m_now + 1000ms);
    EXPECT_EQ(stream.nextEventDeadline(m_now), m_now + 1300ms);
    stream.onSent();
    EXPECT_EQ(stream.firstByteDeadline(100, m_now), m_now + 3120ms);
    EXPECT_EQ(stream.nextEventDeadline(m_now), m_now + 3120ms);
    AttemptPolicy order = policy(RequestKind::NonIdempotent);
    order.onSent();
    EXPECT_EQ(order.firstByteDeadline(0, m_now), m_now + 3120ms);
    AttemptPolicy late = policy(RequestKind::Idempotent);
    late.onSent();
    EXPECT_EQ(late.firstByteDeadline(0, m_now + 2900ms), m_now + 3120ms);
}

// Guards against an order that is lost on a connection which its endpoint has just closed, and
// against a choice that is used after the process stood still.
TEST_F(AttemptPolicyFixture, longestIdle_order_onlyFreshConnections)
{
    EXPECT_LE(policy(RequestKind::NonIdempotent).maxIdleTime(), 150ms);
    EXPECT_GT(policy(RequestKind::Idempotent).maxIdleTime(), 1h);
    EXPECT_TRUE(policy(RequestKind::Idempotent).isChoiceOutdated(700ms));
    EXPECT_FALSE(policy(RequestKind::Idempotent).isChoiceOutdated(450ms));
    EXPECT_EQ(policy(RequestKind::Idempotent).connectDeadline(m_now + 2800ms), m_now + 3s);
}

} // namespace oriolerill::routing
