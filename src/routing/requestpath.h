#pragma once

#include "domain/timepoint.h"

#include <cstddef>
#include <map>

namespace oriolerill::routing {

struct RequestPathOptions
{
    /// An answer that has not begun this long after it was expected shows that its path delays
    /// requests. Twice the interval of load reports, on which expectations are based.
    domain::Duration lateAfter = std::chrono::milliseconds(200);
    /// An answered request proves its path for this long after it was sent.
    domain::Duration proofLifetime = std::chrono::milliseconds(1000);
    /// A request without an answer is evidence for this long after it was sent. Longer than any
    /// delay of a full link that was observed.
    domain::Duration evidenceLifetime = std::chrono::milliseconds(5000);
};

/// Evidence of whether requests that are sent on a path are delayed, from the answers to earlier
/// ones. A path delivers in order, so an answer clears the requests that were sent before the
/// answered one. Not safe for concurrent use.
class RequestPath
{
public:
    explicit RequestPath(RequestPathOptions options = {});

    void onSent(domain::TimePoint sentAt, domain::TimePoint expectedAt);
    /// The answer to a request has begun.
    void onAnswered(domain::TimePoint sentAt);
    /// The request was cancelled, or its connection failed, before its answer began.
    void onEnded(domain::TimePoint sentAt, domain::TimePoint now);
    /// This process received nothing for this long, so answers are expected later.
    void onPaused(domain::Duration time);
    /// The VM was suspended for a time that the clock did not count: proofs are that much older.
    void onSuspended(domain::Duration time);

    /// Requests without an answer that are still evidence.
    std::size_t unansweredCount(domain::TimePoint now) const;
    /// How long an answer is overdue at most; zero when none is.
    domain::Duration overdue(domain::TimePoint now) const;
    /// A recent request was answered in time, and no later one is overdue.
    bool isProven(domain::TimePoint now) const;
    domain::TimePoint lastSentAt() const { return m_lastSentAt; }

private:
    RequestPathOptions m_options;
    /// When the answer to each request without one was expected, by the time of sending.
    std::multimap<domain::TimePoint, domain::TimePoint> m_unanswered;
    /// When the newest answered request was sent.
    domain::TimePoint m_answeredSentAt = domain::TimePoint::min();
    domain::TimePoint m_lastSentAt = domain::TimePoint::min();
};

} // namespace oriolerill::routing
