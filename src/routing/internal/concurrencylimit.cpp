#include "routing/concurrencylimit.h"

#include <algorithm>

namespace oriolerill::routing {

namespace {

// Weights of the newest sample in the moving averages of the usual and of the recent latency.
constexpr double UsualWeight = 0.05;
constexpr double RecentWeight = 0.4;
// With fewer samples the usual latency is too uncertain to detect a jump.
constexpr std::uint32_t MinSamples = 10;
// Smaller differences are scheduling noise rather than a cold endpoint.
constexpr double MinJumpSeconds = 0.02;

} // namespace

ConcurrencyLimit::ConcurrencyLimit(ConcurrencyLimitOptions options)
    : m_options(options)
    , m_limit(std::max(1U, options.start))
{}

void ConcurrencyLimit::configure(std::uint32_t start, std::uint32_t max)
{
    m_options.start = std::max(1U, start);
    m_options.max = std::max(m_options.start, max);
    m_limit = std::clamp(m_limit, m_options.start, m_options.max);
}

bool ConcurrencyLimit::hasRoom(bool isBatch) const
{
    constexpr std::uint32_t Percent = 100;
    if (!isBatch)
        return m_inFlight < m_limit;
    return m_inFlight < std::max(1U, m_limit * m_options.batchPercent / Percent);
}

bool ConcurrencyLimit::tryEnter(bool isBatch)
{
    if (!hasRoom(isBatch)) {
        m_wasFull = true;
        return false;
    }
    ++m_inFlight;
    m_wasFull = m_wasFull || m_inFlight >= m_limit;
    return true;
}

void ConcurrencyLimit::leave()
{
    --m_inFlight;
}

void ConcurrencyLimit::leaveAnswered(domain::Duration latency)
{
    leave();
    const double seconds = std::chrono::duration<double>(latency).count();
    if (m_samples == 0)
        m_usualSeconds = m_recentSeconds = seconds;
    m_recentSeconds += RecentWeight * (seconds - m_recentSeconds);
    const bool hasJumped = ++m_samples > MinSamples
            && m_recentSeconds > m_options.latencyJump * m_usualSeconds
            && m_recentSeconds - m_usualSeconds > MinJumpSeconds;
    if (hasJumped) {
        reset();
        return;
    }
    m_usualSeconds += UsualWeight * (seconds - m_usualSeconds);
    if (++m_successes < m_limit || !m_wasFull)
        return;
    m_limit = std::min(m_limit + 1, m_options.max);
    m_successes = 0;
    m_wasFull = false;
}

void ConcurrencyLimit::leaveFailed()
{
    leave();
    reset();
}

domain::Duration ConcurrencyLimit::latency() const
{
    return std::chrono::duration_cast<domain::Duration>(
            std::chrono::duration<double>(m_usualSeconds));
}

void ConcurrencyLimit::reset()
{
    m_limit = m_options.start;
    m_successes = 0;
    m_wasFull = false;
    m_samples = 0;
}

} // namespace oriolerill::routing
