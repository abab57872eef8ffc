#include "objectstore/internal/outagebackoff.h"

#include <algorithm>

namespace oriolerill::objectstore::internal {

OutageBackoff::OutageBackoff(std::uint64_t seed)
    : m_random(seed)
{}

void OutageBackoff::onSuccess()
{
    m_delay = {};
    m_retryAt = {};
}

void OutageBackoff::onFailure(domain::TimePoint now)
{
    // Concurrent calls fail together and count as one failure.
    if (now < m_retryAt)
        return;
    m_delay = std::clamp(2 * m_delay, MinDelay, MaxDelay);
    std::uniform_int_distribution<domain::Duration::rep> jitter(0, m_delay.count() / 2);
    m_retryAt = now + m_delay / 2 + domain::Duration(jitter(m_random));
}

} // namespace oriolerill::objectstore::internal
