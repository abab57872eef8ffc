#include "objectstore/internal/ratebudget.h"

#include <algorithm>
#include <chrono>

namespace oriolerill::objectstore::internal {

using Seconds = std::chrono::duration<double>;

namespace {

// Concurrent calls are refused together and count as one refusal.
constexpr domain::Duration HalvingInterval = std::chrono::seconds(1);
// Fractions of the maximum rate: recovery per second, and the minimum.
constexpr double RecoveryPerSecond = 0.02;
constexpr double MinShare = 0.02;

} // namespace

RateBudget::RateBudget(double callsPerSecond, double burst)
    : m_maxCallsPerSecond(callsPerSecond)
    , m_callsPerSecond(callsPerSecond)
    , m_burst(burst)
    , m_tokens(burst)
{}

std::optional<domain::TimePoint> RateBudget::reserve(
        domain::TimePoint now, domain::TimePoint latest)
{
    refill(now);
    const double missing = std::max(0.0, 1.0 - m_tokens);
    const Seconds wait(missing / m_callsPerSecond);
    const domain::TimePoint at = now + std::chrono::duration_cast<domain::Duration>(wait);
    if (at > latest)
        return std::nullopt;
    m_tokens -= 1.0;
    return at;
}

void RateBudget::onRefused(domain::TimePoint now)
{
    refill(now);
    m_tokens = std::min(m_tokens, 0.0);
    if (now < m_nextHalvingAt)
        return;
    m_nextHalvingAt = now + HalvingInterval;
    m_callsPerSecond = std::max(m_callsPerSecond / 2, m_maxCallsPerSecond * MinShare);
}

void RateBudget::refill(domain::TimePoint now)
{
    if (now > m_refilledAt) {
        const Seconds passed = now - m_refilledAt;
        m_tokens = std::min(m_burst, m_tokens + passed.count() * m_callsPerSecond);
        const double recovery = passed.count() * m_maxCallsPerSecond * RecoveryPerSecond;
        m_callsPerSecond = std::min(m_maxCallsPerSecond, m_callsPerSecond + recovery);
        m_refilledAt = now;
    }
}

} // namespace oriolerill::objectstore::internal
