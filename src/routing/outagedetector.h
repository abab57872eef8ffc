#pragma once

#include "domain/timepoint.h"

#include <optional>

namespace oriolerill::routing {

struct OutageDetectorOptions
{
    /// Interval at which endpoints renew their records, as the platform states it.
    domain::Duration heartbeat = std::chrono::milliseconds(1200);
};

/// Distinguishes outages of the store in which records of live endpoints can expire from lost calls
/// and short interruptions, in which none can.
///
/// Failure pattern: a store that has been unreachable lists only the endpoints that could renew
/// their records. Without I/O and clock.
class OutageDetector
{
public:
    explicit OutageDetector(OutageDetectorOptions options = {});

    /// The store has answered a call of this process, or of a publisher, that was sent at this
    /// time.
    void onAnswered(domain::TimePoint sentAt);
    /// A call that was sent at this time got no answer.
    void onFailed(domain::TimePoint sentAt);
    /// Calls that were sent before this time have failed, and none was answered since.
    bool hasFailedBefore(domain::TimePoint time) const;
    /// The store answers again: ends the series of failed calls. Yields when the last one was sent
    /// if records can have expired since the last answer. Called before onAnswered().
    std::optional<domain::TimePoint> takeOutage(domain::TimePoint now);

private:
    OutageDetectorOptions m_options;
    /// When the last answered call was sent.
    domain::TimePoint m_answeredAt;
    /// When the first and the last call of the series of failed ones were sent.
    std::optional<domain::TimePoint> m_firstFailedAt;
    domain::TimePoint m_lastFailedAt;
};

} // namespace oriolerill::routing
