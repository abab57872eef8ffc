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
    case AttemptEnd::CallerDisconnected:
        return "caller_gone";
    case AttemptEnd::TimedOut:
        return "timed_out";
    }
    return "lost";
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
    , m_mostRuns(route.maxEndpoints)
{}

TimePoint AttemptPolicy::connectDeadline(TimePoint now) const
{
    return std::min(m_deadline, now + m_options.connectTime);
}

Duration AttemptPolicy::maxIdleTime() const
{
    return m_isRepeatable ? Duration::max() : m_options.freshIdleAge;
}

TimePoint AttemptPolicy::firstByteDeadline(double expectedStartMs, TimePoint now) const
{
    // The last endpoint that may run the request has all the time there is.
    if (!mayRunAgain())
        return lastAnswerAt();
    const Duration patience = m_kind == RequestKind::Stream ? m_options.firstEventPatience
                                                            : m_options.wholeAnswerPatience;
    const auto expected = std::chrono::milliseconds(static_cast<std::int64_t>(expectedStartMs));
    return std::min(lastAnswerAt(), now + expected + patience);
}

TimePoint AttemptPolicy::nextEventDeadline(TimePoint progressAt) const
{
    const bool mayResume = m_isResumable && m_runs < m_mostRuns;
    return mayResume ? std::min(lastAnswerAt(), progressAt + m_options.eventPatience)
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
    if (m_attempts >= m_options.mostAttempts)
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
    case AttemptEnd::CallerDisconnected:
    case AttemptEnd::TimedOut:
        return NextAttempt::None;
    }
    return NextAttempt::None;
}

} // namespace oriolerill::routing
