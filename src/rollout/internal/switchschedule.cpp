#include "rollout/switchschedule.h"

#include "domain/rendezvous.h"

#include <algorithm>

namespace oriolerill::rollout {

SwitchSchedule::SwitchSchedule(SwitchScheduleOptions options)
    : m_options(options)
{}

domain::TimePoint SwitchSchedule::switchAt(const distribution::WeightsVersion &version,
        const std::string &self, const std::vector<std::string> &members,
        domain::TimePoint namedAt) const
{
    const std::string key = version.model.value() + '/' + std::to_string(version.number);
    const std::vector<std::string> rank = domain::rendezvousRank(key, members);
    const auto found = std::find(rank.begin(), rank.end(), self);
    const auto position = static_cast<std::size_t>(found - rank.begin());
    const std::size_t group = std::min<std::size_t>(
            position * m_options.groupCount / std::max<std::size_t>(rank.size(), 1),
            m_options.groupCount - 1);
    const auto first
            = std::chrono::duration_cast<domain::Duration>(m_options.bound * m_options.firstShare);
    if (m_options.groupCount < 2)
        return namedAt + first;
    return namedAt + first + (lastSwitch() - first) * group / (m_options.groupCount - 1);
}

domain::Duration SwitchSchedule::lastSwitch() const
{
    return std::max(
            std::chrono::duration_cast<domain::Duration>(m_options.bound * m_options.lastShare),
            m_options.bound - m_options.lastLead);
}

domain::TimePoint SwitchSchedule::lastSwitchAt(domain::TimePoint namedAt) const
{
    return namedAt + lastSwitch();
}

} // namespace oriolerill::rollout
