#pragma once

#include "domain/timepoint.h"

namespace oriolerill::standins {

/// Token bucket for a rate of calls, with a burst of one second of that rate.
class RateBucket
{
public:
    explicit RateBucket(double perSecond)
        : m_perSecond(perSecond)
        , m_tokens(perSecond)
    {}

    bool take(domain::TimePoint now)
    {
        if (now > m_filledAt) {
            const std::chrono::duration<double> elapsed = now - m_filledAt;
            m_tokens = std::min(m_perSecond, m_tokens + elapsed.count() * m_perSecond);
            m_filledAt = now;
        }
        if (m_tokens < 1)
            return false;
        m_tokens -= 1;
        return true;
    }

private:
    double m_perSecond;
    double m_tokens;
    domain::TimePoint m_filledAt = domain::TimePoint::clock::now();
};

} // namespace oriolerill::standins
