#include "routing/requestpath.h"

#include <algorithm>
#include <iterator>

namespace oriolerill::routing {

using domain::Duration;
using domain::TimePoint;

RequestPath::RequestPath(RequestPathOptions options)
    : m_options(options)
{}

void RequestPath::onSent(TimePoint sentAt, TimePoint expectedAt)
{
    m_unanswered.erase(
            m_unanswered.begin(), m_unanswered.lower_bound(sentAt - m_options.evidenceLifetime));
    m_unanswered.emplace(sentAt, expectedAt);
    m_lastSentAt = std::max(m_lastSentAt, sentAt);
}

void RequestPath::onAnswered(TimePoint sentAt)
{
    m_answeredSentAt = std::max(m_answeredSentAt, sentAt);
    m_unanswered.erase(m_unanswered.begin(), m_unanswered.upper_bound(sentAt));
}

void RequestPath::onEnded(TimePoint sentAt, TimePoint now)
{
    const auto found = m_unanswered.find(sentAt);
    // A request that ended before its answer was late shows nothing. A later end keeps the
    // evidence: requests are cancelled because their answers are late.
    if (found != m_unanswered.end() && now <= found->second + m_options.lateAfter)
        m_unanswered.erase(found);
}

void RequestPath::onPaused(Duration time)
{
    for (auto &[sentAt, expectedAt] : m_unanswered)
        expectedAt += time;
}

void RequestPath::onSuspended(Duration time)
{
    if (m_answeredSentAt != TimePoint::min())
        m_answeredSentAt -= time;
}

std::size_t RequestPath::unansweredCount(TimePoint now) const
{
    return static_cast<std::size_t>(std::distance(
            m_unanswered.lower_bound(now - m_options.evidenceLifetime), m_unanswered.end()));
}

Duration RequestPath::overdue(TimePoint now) const
{
    Duration longest = Duration::zero();
    for (auto request = m_unanswered.lower_bound(now - m_options.evidenceLifetime);
            request != m_unanswered.end(); ++request)
        longest = std::max(longest, now - request->second);
    return longest;
}

bool RequestPath::isProven(TimePoint now) const
{
    return m_answeredSentAt != TimePoint::min() && now - m_answeredSentAt <= m_options.proofLifetime
            && overdue(now) <= m_options.lateAfter;
}

} // namespace oriolerill::routing
