#pragma once

#include "domain/timepoint.h"
#include "routing/servingconfig.h"

#include <algorithm>
#include <cstdint>
#include <string_view>

namespace oriolerill::routing {

/// How an attempt at one endpoint ended.
enum class AttemptEnd {
    /// The complete answer was delivered to the caller.
    Delivered,
    /// The endpoint sent a complete answer that reports a failure; another endpoint may succeed.
    FailedAnswer,
    /// The endpoint has not run the request and never will.
    NotRun,
    /// The request never left this process.
    NotSent,
    /// The request was sent, and no complete answer arrived.
    Lost,
    /// The request was sent and cancelled before it began: its endpoint's weights became too old.
    Withdrawn,
    /// Another endpoint has begun to answer in its place.
    Superseded,
    /// The caller has closed its connection.
    CallerDisconnected,
    /// The request's deadline has passed.
    TimedOut,
};

std::string_view toString(AttemptEnd end);

/// The endpoint has sent a complete answer, so its connection can be reused.
bool isCompleteAnswer(AttemptEnd end);

struct AttemptPolicyOptions
{
    /// Maximum number of endpoints tried for one request before the caller is refused.
    std::uint32_t maxAttempts = 4;
    /// Time-out of a new connection to an endpoint. Connecting across regions takes a few
    /// milliseconds, or about a second after a lost packet.
    domain::Duration connectTimeout = std::chrono::milliseconds(400);
    /// How long the choice of an endpoint stays valid: the connect time-out and some scheduling
    /// delay of the process.
    domain::Duration choiceLifetime = std::chrono::milliseconds(600);
    /// Maximum idle time of a connection that is used for a request that must not be repeated: the
    /// endpoint may close an idle connection without notice.
    domain::Duration nonRepeatableMaxIdleTime = std::chrono::milliseconds(150);
    /// Silence before the first event of a stream that may be repeated, beyond its expected start,
    /// after which another endpoint is tried beside it; callers of streams disconnect after two
    /// seconds without an event.
    domain::Duration firstEventTimeout = std::chrono::milliseconds(900);
    /// The same for a buffered answer.
    domain::Duration bufferedAnswerTimeout = std::chrono::milliseconds(700);
    /// Gap within a stream after which another endpoint is asked to continue it.
    domain::Duration nextEventTimeout = std::chrono::milliseconds(1300);
    /// Time from the arrival of a stream that may be repeated to its refusal, if no endpoint has
    /// begun to answer: callers of streams disconnect after two seconds without an event, and learn
    /// nothing then.
    domain::Duration firstEventPatience = std::chrono::milliseconds(1900);
    /// Time after the request's deadline in which a late answer is still delivered.
    domain::Duration answerGrace = std::chrono::milliseconds(120);
};

enum class NextAttempt {
    None,
    /// The request never left this process: a further attempt is not charged to the retry budget.
    Free,
    /// A further endpoint may get the request if the retry budget has room.
    WithinBudget,
};

/// Why no further endpoint gets a request.
enum class RetryRefusal {
    /// The request's deadline has passed.
    Deadline,
    /// Its caller is about to disconnect, and no endpoint has begun to answer.
    Patience,
    /// It was sent to as many endpoints as allowed, or must not run twice.
    Attempts,
    /// Its traits are suspected of crashing engines.
    SuspectedTraits,
    /// The retry budget of its service is used up.
    Budget,
    /// No endpoint may take it at present.
    NoEndpoint,
    /// The entry's copy of the store lacks a change whose bound is about to end.
    OverdueCopy,
};

std::string_view toString(RetryRefusal refusal);

/// Time-outs of the attempts of one request, and whether a further endpoint may get it.
///
/// Covers endpoints that are unresponsive, refuse, or lose an answer. A request that must not run
/// twice goes to a further endpoint only if no endpoint may have run it; other requests go to at
/// most as many endpoints as their route allows. An endpoint's silence ends no attempt: another one
/// is tried beside it, and the first to answer continues. Not safe for concurrent use.
class AttemptPolicy
{
public:
    AttemptPolicy(
            const Route &route, domain::TimePoint deadline, AttemptPolicyOptions options = {});

    domain::TimePoint deadline() const { return m_deadline; }
    /// Moves the deadline to an earlier time, never to a later one.
    void limitDeadline(domain::TimePoint latest) { m_deadline = std::min(m_deadline, latest); }
    /// A late answer is read until then.
    domain::TimePoint lastAnswerAt() const { return m_deadline + m_options.answerGrace; }
    domain::TimePoint connectDeadline(domain::TimePoint now) const;
    /// Connections that have been idle for longer than this are not reused.
    domain::Duration maxIdleTime() const;
    /// The choice is so old that the endpoint may be leaving, cold or switching weights by now.
    bool isChoiceOutdated(domain::Duration age) const { return age > m_options.choiceLifetime; }

    void onAttempt() { ++m_attempts; }
    /// The request was handed to an endpoint, which may run it from now on.
    void onSent() { ++m_runs; }
    /// When another endpoint is tried beside one whose answer has not begun; without a further
    /// endpoint, the end of the request.
    domain::TimePoint firstByteDeadline(double expectedStartMs, domain::TimePoint now) const;
    /// When a request of which no endpoint has begun the answer is given up, because its caller is
    /// about to disconnect; the end of the request where callers wait for it. The latest attempt
    /// gets the time in which it is expected to begin.
    domain::TimePoint abandonAt(domain::TimePoint arrivedAt, domain::TimePoint expectedAt) const;
    /// Latest time at which an endpoint that works as expected begins its answer.
    domain::TimePoint latestExpectedStart(double expectedStartMs, domain::TimePoint now) const;
    /// The same as firstByteDeadline() for the next complete event of a stream, after progress at
    /// the given time.
    domain::TimePoint nextEventDeadline(domain::TimePoint progressAt) const;
    /// Records how an attempt ended.
    void onEnd(AttemptEnd end);
    /// Whether a further endpoint may get the request after such an end, whatever time is left.
    NextAttempt next(AttemptEnd end) const;
    /// Whether a further endpoint may get the request beside one that is silent, after the caller
    /// has received part of a stream or before.
    NextAttempt beside(bool isStreamBegun) const;

    std::uint32_t attempts() const { return m_attempts; }
    /// Endpoints that may have run the request.
    std::uint32_t runs() const { return m_runs; }

private:
    bool mayRunAgain() const { return m_isRepeatable && m_runs < m_maxRuns; }

    AttemptPolicyOptions m_options;
    domain::TimePoint m_deadline;
    RequestKind m_kind;
    bool m_isRepeatable;
    bool m_isResumable;
    std::uint32_t m_maxRuns;
    std::uint32_t m_attempts = 0;
    std::uint32_t m_runs = 0;
};

} // namespace oriolerill::routing
