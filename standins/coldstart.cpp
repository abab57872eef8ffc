#include "coldstart.h"

#include <algorithm>

namespace oriolerill::standins {

ColdStart::ColdStart(const CapacityOptions &options)
    : m_options(options)
{
    m_options.cold = std::min(m_options.cold, m_options.warm);
    m_options.requestsPerStep = std::max(m_options.requestsPerStep, 1U);
}

ColdStart::Admission ColdStart::begin()
{
    if (m_inFlight < capacity()) {
        ++m_inFlight;
        return Admission::Admitted;
    }
    if (capacity() == m_options.warm)
        return Admission::Full;
    ++m_overruns;
    makeCold();
    m_slowRequests = m_options.requestsPerStep;
    return Admission::Overrun;
}

void ColdStart::end()
{
    --m_inFlight;
    if (m_slowRequests > 0)
        --m_slowRequests;
    else
        ++m_finished;
}

void ColdStart::makeCold()
{
    m_finished = 0;
}

std::uint32_t ColdStart::slowdownFactor() const
{
    constexpr std::uint32_t OverrunSlowdownFactor = 10;
    return m_slowRequests > 0 ? OverrunSlowdownFactor : 1;
}

std::uint32_t ColdStart::capacity() const
{
    return std::min(m_options.warm, m_options.cold + m_finished / m_options.requestsPerStep);
}

} // namespace oriolerill::standins
