#include "routing/coldallowance.h"

#include <algorithm>
#include <cmath>

namespace oriolerill::routing {

ColdAllowance::ColdAllowance(ColdAllowanceOptions options)
    : m_options(options)
{}

bool ColdAllowance::hasRoom(const domain::EndpointId &endpoint, domain::TimePoint coldUntil,
        double bound, const EntryShare &share, domain::TimePoint now)
{
    const auto entries = static_cast<double>(std::max<std::size_t>(share.entries, 1));
    const double part = bound * m_options.usedShare / entries;
    if (part <= 0)
        return false;
    // Below one request a window, one request is allowed in a window that is longer by as much.
    const auto allowed = std::max<std::size_t>(1, static_cast<std::size_t>(std::floor(part)));
    const double stretch = part < 1 ? 1 / part : 1;
    const auto window = std::chrono::duration_cast<domain::Duration>(m_options.window * stretch);
    const auto known = m_periods.find(endpoint);
    if (known == m_periods.end() || known->second.coldUntil <= now) {
        std::erase_if(
                m_periods, [now](const auto &entry) { return entry.second.coldUntil <= now; });
        m_periods[endpoint].startedAt = now;
    }
    Period &period = m_periods[endpoint];
    period.coldUntil = std::max(period.coldUntil, coldUntil);
    if (part < 1) {
        const double before = static_cast<double>(share.rank) / entries;
        if (now < period.startedAt + std::chrono::duration_cast<domain::Duration>(window * before))
            return false;
    }
    std::deque<domain::TimePoint> &sent = period.sent;
    while (!sent.empty() && sent.front() + window <= now)
        sent.pop_front();
    std::deque<domain::TimePoint> &chosen = period.chosen;
    while (!chosen.empty() && chosen.front() + m_options.choiceLifetime <= now)
        chosen.pop_front();
    return sent.size() + chosen.size() < allowed;
}

void ColdAllowance::onChosen(const domain::EndpointId &endpoint, domain::TimePoint now)
{
    m_periods[endpoint].chosen.push_back(now);
}

void ColdAllowance::onSent(const domain::EndpointId &endpoint, domain::TimePoint now)
{
    onNotSent(endpoint);
    m_periods[endpoint].sent.push_back(now);
}

void ColdAllowance::onNotSent(const domain::EndpointId &endpoint)
{
    const auto period = m_periods.find(endpoint);
    if (period != m_periods.end() && !period->second.chosen.empty())
        period->second.chosen.pop_front();
}

} // namespace oriolerill::routing
