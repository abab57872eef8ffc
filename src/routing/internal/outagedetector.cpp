#include "routing/outagedetector.h"

#include <algorithm>

namespace oriolerill::routing {

using domain::TimePoint;

namespace {

/// A record expires after three heartbeats without a renewal, and was renewed within the last one
/// before the outage.
constexpr int HeartbeatsWithoutExpiry = 2;

} // namespace

OutageDetector::OutageDetector(OutageDetectorOptions options)
    : m_options(options)
{}

void OutageDetector::onAnswered(TimePoint sentAt)
{
    m_answeredAt = std::max(m_answeredAt, sentAt);
}

void OutageDetector::onFailed(TimePoint sentAt)
{
    // Calls end in another order than they were sent in.
    m_firstFailedAt = std::min(m_firstFailedAt.value_or(sentAt), sentAt);
    m_lastFailedAt = std::max(m_lastFailedAt, sentAt);
}

bool OutageDetector::hasFailedBefore(TimePoint time) const
{
    return m_firstFailedAt && *m_firstFailedAt < time;
}

std::optional<TimePoint> OutageDetector::takeOutage(TimePoint now)
{
    if (!m_firstFailedAt)
        return std::nullopt;
    // The time since the last answer alone does not show an outage: a process may call the store
    // rarely, and its VM may have been suspended.
    const bool isObserved = m_lastFailedAt - *m_firstFailedAt >= m_options.heartbeat;
    const bool canExpire = now - m_answeredAt >= m_options.heartbeat * HeartbeatsWithoutExpiry;
    m_firstFailedAt.reset();
    if (!isObserved || !canExpire)
        return std::nullopt;
    return m_lastFailedAt;
}

} // namespace oriolerill::routing
