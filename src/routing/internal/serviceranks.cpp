#include "routing/serviceranks.h"

#include <algorithm>
#include <set>

namespace oriolerill::routing {

RequestRank rankOf(const Route &route, const CallerAccount *account)
{
    const auto stated = account == nullptr ? std::nullopt : account->priority;
    return {stated.value_or(DefaultAccountPriority), route.priority};
}

std::map<domain::ServiceId, ServiceRanks> ServiceRanks::of(const ServingConfig &config)
{
    const bool areAccountsRanked = config.accountPriorities().size() > 1;
    std::map<domain::ServiceId, std::set<RequestRank>> found;
    for (const Route &route : config.routes()) {
        std::set<std::uint32_t> accounts = {0};
        if (areAccountsRanked)
            accounts = route.isPublic ? std::set{DefaultAccountPriority}
                                      : config.accountPriorities();
        for (const WeightedService &part : route.services) {
            for (const std::uint32_t account : accounts)
                found[part.service].insert({account, route.priority});
        }
    }
    std::map<domain::ServiceId, ServiceRanks> result;
    for (const auto &[service, ranks] : found) {
        result[service].m_areAccountsRanked = areAccountsRanked;
        result[service].m_ranks.assign(ranks.begin(), ranks.end());
    }
    return result;
}

std::size_t ServiceRanks::indexOf(const RequestRank &stated) const
{
    const RequestRank rank = m_areAccountsRanked ? stated : RequestRank{0, stated.route};
    if (m_ranks.empty())
        return 0;
    // A retry may have the route or account of an earlier configuration: the next rank counts.
    const auto found = std::lower_bound(m_ranks.begin(), m_ranks.end(), rank);
    const auto index = static_cast<std::size_t>(found - m_ranks.begin());
    return std::min(index, m_ranks.size() - 1);
}

std::uint32_t ServiceRanks::urgency(std::size_t index) const
{
    constexpr std::size_t MaxUrgency = 9;
    if (m_ranks.size() <= MaxUrgency + 1)
        return static_cast<std::uint32_t>(index);
    return static_cast<std::uint32_t>(index * MaxUrgency / (m_ranks.size() - 1));
}

} // namespace oriolerill::routing
