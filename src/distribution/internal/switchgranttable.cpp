#include "distribution/internal/switchgranttable.h"

#include <algorithm>

namespace oriolerill::distribution::internal {

SwitchGrantTable::SwitchGrantTable(domain::TimePoint startedAt, domain::Duration lease)
    : m_grantsAllowedFrom(startedAt + lease)
    , m_lease(lease)
{}

bool SwitchGrantTable::update(const domain::EndpointId &endpoint, const domain::Digest &manifest,
        bool isWanted, bool isSwitching, std::size_t maxUnavailable, domain::TimePoint now)
{
    std::erase_if(m_grants, [now](const auto &grant) { return grant.second.until <= now; });
    const auto held = m_grants.find(endpoint);
    if (!isWanted && !isSwitching) {
        // An agent reports each of its versions; only a report on the granted version releases it.
        if (held != m_grants.end() && held->second.manifest == manifest)
            m_grants.erase(held);
        return false;
    }
    const bool isFree = now >= m_grantsAllowedFrom && m_grants.size() < maxUnavailable;
    if (held == m_grants.end() && !isSwitching && !isFree)
        return false;
    m_grants[endpoint] = Grant{manifest, now + m_lease};
    return true;
}

std::size_t SwitchGrantTable::outstanding(domain::TimePoint now) const
{
    return static_cast<std::size_t>(std::count_if(m_grants.begin(), m_grants.end(),
            [now](const auto &grant) { return grant.second.until > now; }));
}

} // namespace oriolerill::distribution::internal
