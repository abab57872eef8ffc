#include "routing/coldallowance.h"

#include <algorithm>
#include <cmath>

namespace oriolerill::routing {

ColdAllowance::ColdAllowance(ColdAllowanceOptions options)
    : m_options(options)
{}

bool ColdAllowance::hasRoom(const domain::EndpointId &endpoint, double bound, std::size_t entries,
        domain::TimePoint now)
{
    const double part
            = bound * m_options.usedShare / static_cast<double>(std::max<std::size_t>(entries, 1));
    if (part <= 0)
        return false;
    // Below one request a window, one request is allowed in a window that is longer by as much.
    const auto allowed = std::max<std::size_t>(1, static_cast<std::size_t>(std::floor(part)));
    const double stretch = part < 1 ? 1 / part : 1;
    const auto window = std::chrono::duration_cast<domain::Duration>(m_options.window * stretch);
    std::deque<domain::TimePoint> &sent = m_sent[endpoint];
    while (!sent.empty() && sent.front() + window <= now)
        sent.pop_front();
    return sent.size() < allowed;
}

void ColdAllowance::onSent(const domain::EndpointId &endpoint, domain::TimePoint now)
{
    m_sent[endpoint].push_back(now);
}

} // namespace oriolerill::routing
