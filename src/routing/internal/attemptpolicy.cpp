#include "routing/attemptpolicy.h"

namespace oriolerill::routing {

using domain::Duration;
using domain::TimePoint;

std::string_view toString(AttemptEnd end)
{
    switch (end) {
    case AttemptEnd::Delivered:
        return "delivered";
    case AttemptEnd::FailedAnswer:
        return "failed_answer";
    case AttemptEnd::NotRun:
        return "not_run";
    case AttemptEnd::NotSent:
        return "not_sent";
    case AttemptEnd::Lost:
        return "lost";
    case AttemptEnd::Withdrawn:
        return "withdrawn";
    case AttemptEnd::Superseded:
        return "superseded";
    case AttemptEnd::CallerDisconnected:
        return "caller_gone";
    case AttemptEnd::TimedOut:
        return "timed_out";
    }
    return "lost";
}

std::string_view toString(RetryRefusal refusal)
{
    switch (refusal) {
    case RetryRefusal::Deadline:
        return "deadline";
    case RetryRefusal::Patience:
        return "patience";
    case RetryRefusal::Attempts:
        return "attempts";
    case RetryRefusal::SuspectedTraits:
        return "suspected_traits";
    case RetryRefusal::Budget:
        return "budget";
    case RetryRefusal::NoEndpoint:
        return "no_endpoint";
    case RetryRefusal::OverdueCopy:
        return "overdue_copy";
    }
    return "attempts";
}

bool isCompleteAnswer(AttemptEnd end)
{
    return end == AttemptEnd::Delivered || end == AttemptEnd::NotRun
            || end == AttemptEnd::FailedAnswer;
}

AttemptPolicy::AttemptPolicy(const Route &route, TimePoint deadline, AttemptPolicyOptions options)
    : m_options(options)
    , m_deadline(deadline)
    , m_kind(route.kind)
    , m_isRepeatable(route.isRepeatable())
    , m_isResumable(route.isResumable)
    , m_maxRuns(route.maxEndpoints)
{}

TimePoint AttemptPolicy::connectDeadline(TimePoint now) const
{
    return std::min(m_deadline, now + m_options.connectTimeout);
}

Duration AttemptPolicy::maxIdleTime() const
{
    return m_isRepeatable ? Duration::max() : m_options.nonRepeatableMaxIdleTime;
}

TimePoint AttemptPolicy::firstByteDeadline(double expectedStartMs, TimePoint now) const
{
    // The last endpoint that may run the request gets all of the remaining time.
    return mayRunAgain() ? latestExpectedStart(expectedStartMs, now) : lastAnswerAt();
}

TimePoint AttemptPolicy::latestExpectedStart(double expectedStartMs, TimePoint now) const
{
    const Duration timeout = m_kind == RequestKind::Stream ? m_options.firstEventTimeout
                                                           : m_options.bufferedAnswerTimeout;
    const auto expected = std::chrono::milliseconds(static_cast<std::int64_t>(expectedStartMs));
    return std::min(lastAnswerAt(), now + expected + timeout);
}

TimePoint AttemptPolicy::abandonAt(TimePoint arrivedAt, TimePoint expectedAt) const
{
    if (m_kind != RequestKind::Stream || !m_isRepeatable)
        return lastAnswerAt();
    return std::min(lastAnswerAt(), std::max(arrivedAt + m_options.firstEventPatience, expectedAt));
}

TimePoint AttemptPolicy::nextEventDeadline(TimePoint progressAt) const
{
    const bool mayResume = m_isResumable && m_runs < m_maxRuns;
    return mayResume ? std::min(lastAnswerAt(), progressAt + m_options.nextEventTimeout)
                     : lastAnswerAt();
}

void AttemptPolicy::onEnd(AttemptEnd end)
{
    // The endpoint states that it has not run the request and never will.
    if (end == AttemptEnd::NotRun && m_runs > 0)
        --m_runs;
}

NextAttempt AttemptPolicy::next(AttemptEnd end) const
{
    if (m_attempts >= m_options.maxAttempts)
        return NextAttempt::None;
    switch (end) {
    case AttemptEnd::NotSent:
        return NextAttempt::Free;
    case AttemptEnd::NotRun:
        return NextAttempt::WithinBudget;
    case AttemptEnd::Lost:
    case AttemptEnd::FailedAnswer:
    case AttemptEnd::Withdrawn:
        return mayRunAgain() ? NextAttempt::WithinBudget : NextAttempt::None;
    case AttemptEnd::Delivered:
    case AttemptEnd::Superseded:
    case AttemptEnd::CallerDisconnected:
    case AttemptEnd::TimedOut:
        return NextAttempt::None;
    }
    return NextAttempt::None;
}

NextAttempt AttemptPolicy::beside(bool isStreamBegun) const
{
    const bool isAllowed = mayRunAgain() && (m_isResumable || !isStreamBegun);
    return isAllowed && m_attempts < m_options.maxAttempts ? NextAttempt::WithinBudget
                                                           : NextAttempt::None;
}

} // namespace oriolerill::routing
