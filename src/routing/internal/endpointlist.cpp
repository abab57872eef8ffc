#include "routing/endpointlist.h"

#include <set>

namespace oriolerill::routing {

EndpointList::EndpointList(EndpointListOptions options)
    : m_options(options)
{}

void EndpointList::replaceAll(const std::vector<ListedEndpoint> &endpoints, domain::TimePoint now)
{
    std::set<domain::EndpointId> listed;
    for (const ListedEndpoint &endpoint : endpoints)
        listed.insert(endpoint.id);
    std::vector<EndpointChange> changes;
    changes.reserve(endpoints.size() + m_endpoints.size());
    for (const ListedEndpoint &endpoint : endpoints)
        changes.push_back({endpoint.id, endpoint});
    for (const auto &[id, endpoint] : m_endpoints) {
        if (listed.count(id) == 0 && !isRetained(id))
            changes.push_back({id, std::nullopt});
    }
    apply(changes, now);
}

void EndpointList::apply(const std::vector<EndpointChange> &changes, domain::TimePoint now)
{
    std::map<domain::EndpointId, const EndpointChange *> last;
    for (const EndpointChange &change : changes)
        last[change.id] = &change;
    std::vector<domain::EndpointId> removed;
    for (const auto &[id, change] : last) {
        if (!change->endpoint) {
            removed.push_back(id);
            continue;
        }
        m_endpoints.insert_or_assign(id, *change->endpoint);
        m_retainedUntil.erase(id);
    }
    remove(removed, now);
    ++m_generation;
    expire(now);
}

void EndpointList::remove(const std::vector<domain::EndpointId> &removed, domain::TimePoint now)
{
    std::vector<domain::EndpointId> unannounced;
    for (const domain::EndpointId &id : removed) {
        const auto found = m_endpoints.find(id);
        if (found == m_endpoints.end())
            continue;
        if (found->second.isDraining)
            m_endpoints.erase(found);
        else
            unannounced.push_back(id);
    }
    const bool isMassRemoval = unannounced.size() >= m_options.massRemovalMin
            && static_cast<double>(unannounced.size())
                    >= m_options.massRemovalShare * static_cast<double>(m_endpoints.size());
    for (const domain::EndpointId &id : unannounced) {
        if (now < m_outageRetentionUntil)
            m_retainedUntil.emplace(id, m_outageRetentionUntil);
        else if (isMassRemoval)
            m_retainedUntil.emplace(id, now + m_options.massRemovalRetention);
        else
            m_endpoints.erase(id);
    }
}

void EndpointList::onStoreBack(domain::TimePoint now)
{
    m_outageRetentionUntil = now + m_options.outageRetention;
}

void EndpointList::onSuspended(domain::Duration time)
{
    for (auto &[id, until] : m_retainedUntil)
        until -= time;
}

void EndpointList::expire(domain::TimePoint now)
{
    for (auto retained = m_retainedUntil.begin(); retained != m_retainedUntil.end();) {
        if (now < retained->second) {
            ++retained;
            continue;
        }
        m_endpoints.erase(retained->first);
        retained = m_retainedUntil.erase(retained);
        ++m_generation;
    }
}

const ListedEndpoint *EndpointList::find(const domain::EndpointId &id) const
{
    const auto found = m_endpoints.find(id);
    return found == m_endpoints.end() ? nullptr : &found->second;
}

} // namespace oriolerill::routing
