#include "relay/internal/answernotices.h"

#include "observability/log.h"

namespace oriolerill::relay::internal {

using domain::TimePoint;
using observability::logEvent;
using observability::Severity;
using routing::BackoffVerdict;
using routing::LimitVerdict;

namespace {

const char *toString(BackoffVerdict verdict)
{
    switch (verdict) {
    case BackoffVerdict::Applied:
        return "taken";
    case BackoffVerdict::Shortened:
        return "shortened";
    case BackoffVerdict::Ignored:
        return "ignored";
    }
    return "ignored";
}

const char *toString(LimitVerdict verdict)
{
    switch (verdict) {
    case LimitVerdict::Unchanged:
        return "unchanged";
    case LimitVerdict::Applied:
        return "taken";
    case LimitVerdict::Raised:
        return "raised";
    case LimitVerdict::Clamped:
        return "bounded";
    case LimitVerdict::Ignored:
        return "ignored";
    case LimitVerdict::Ended:
        return "ended";
    }
    return "ignored";
}

void takeLeaving(RelayContext &context, const AnsweredAttempt &attempt, TimePoint now)
{
    if (!context.dispatcher.notices().onLeaving(attempt.instance, now))
        return;
    logEvent(Severity::Info, "endpoint_leaving",
            {{"endpoint", attempt.instance.id.value()},
                    {"started_at_ms", attempt.instance.startedAtMs},
                    {"request", attempt.request.value()}, {"source", "answer"}});
    if (context.onLeaving)
        context.onLeaving();
}

void takeQuiet(RelayContext &context, double seconds, const AnsweredAttempt &attempt, TimePoint now)
{
    const BackoffVerdict verdict
            = context.dispatcher.notices().onBackoff(attempt.instance, seconds, now);
    logEvent(verdict == BackoffVerdict::Applied ? Severity::Info : Severity::Warning,
            "endpoint_quiet",
            {{"endpoint", attempt.instance.id.value()}, {"request", attempt.request.value()},
                    {"seconds", seconds}, {"verdict", toString(verdict)}});
}

void takeLimit(RelayContext &context, std::optional<double> perSecond,
        const AnsweredAttempt &attempt, TimePoint now)
{
    const LimitVerdict verdict = context.dispatcher.limits().onAnswer(
            attempt.instance, perSecond, attempt.sentAt, now);
    if (verdict == LimitVerdict::Unchanged)
        return;
    const bool isMalformed = verdict == LimitVerdict::Clamped || verdict == LimitVerdict::Ignored;
    logEvent(isMalformed ? Severity::Warning : Severity::Info, "endpoint_limit",
            {{"endpoint", attempt.instance.id.value()},
                    {"started_at_ms", attempt.instance.startedAtMs},
                    {"request", attempt.request.value()}, {"per_second", perSecond.value_or(0)},
                    {"entries", context.dispatcher.share().entries}, {"source", "answer"},
                    {"verdict", toString(verdict)}});
    const bool isRaised = verdict == LimitVerdict::Raised || verdict == LimitVerdict::Ended;
    if (isRaised && context.onLimitRaised)
        context.onLimitRaised(attempt.instance, perSecond);
}

} // namespace

void takeNotices(
        RelayContext &context, const routing::AnswerHead &head, const AnsweredAttempt &attempt)
{
    const TimePoint now = TimePoint::clock::now();
    if (head.isLeaving)
        takeLeaving(context, attempt, now);
    // A late copy of an earlier answer names the times and limits of that time. That the endpoint
    // leaves stays true.
    const bool isOwn = head.id == attempt.request;
    if (head.backoffSeconds && isOwn)
        takeQuiet(context, *head.backoffSeconds, attempt, now);
    // A refusal or failure without the field may come from a part of the endpoint that does not
    // know of its limit.
    if (isOwn && (head.limitPerSecond || head.isSuccess()))
        takeLimit(context, head.limitPerSecond, attempt, now);
}

} // namespace oriolerill::relay::internal
