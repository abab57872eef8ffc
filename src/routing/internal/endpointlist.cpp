#include "routing/endpointlist.h"

#include "routing/endpointinstance.h"

#include <algorithm>
#include <set>
#include <utility>

namespace oriolerill::routing {

EndpointList::EndpointList(EndpointListOptions options)
    : m_options(options)
{}

std::vector<EndpointRemoval> EndpointList::replaceAll(const std::vector<ListedEndpoint> &endpoints,
        domain::TimePoint now, std::optional<domain::TimePoint> madeAfter)
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
    for (auto &[id, departure] : m_departures) {
        if (listed.count(id) == 0)
            departure.keptOut.reset();
    }
    std::vector<EndpointRemoval> removals = apply(changes, now, madeAfter);
    m_isFirstListAwaited = false;
    return removals;
}

std::vector<EndpointRemoval> EndpointList::apply(const std::vector<EndpointChange> &changes,
        domain::TimePoint now, std::optional<domain::TimePoint> madeAfter)
{
    // An endpoint whose retention has ended has left before these changes.
    expire(now);
    std::map<domain::EndpointId, const EndpointChange *> last;
    for (const EndpointChange &change : changes)
        last[change.id] = &change;
    std::vector<domain::EndpointId> removed;
    for (const auto &[id, change] : last) {
        if (!change->endpoint) {
            removed.push_back(id);
            continue;
        }
        if (change->endpoint->isDraining) {
            recordDeparture(*change->endpoint, false);
        } else if (Departure *departure = lostDeparture(*change->endpoint, now)) {
            departure->keptOut = *change->endpoint;
            continue;
        } else {
            m_departures.erase(id);
        }
        m_endpoints.insert_or_assign(id, *change->endpoint);
        m_retainedUntil.erase(id);
    }
    ++m_generation;
    return remove(removed, now, madeAfter.value_or(now));
}

std::vector<EndpointRemoval> EndpointList::remove(const std::vector<domain::EndpointId> &removed,
        domain::TimePoint now, domain::TimePoint madeAfter)
{
    std::vector<EndpointRemoval> removals;
    std::vector<domain::EndpointId> unannounced;
    for (const domain::EndpointId &id : removed) {
        if (const auto departure = m_departures.find(id); departure != m_departures.end())
            departure->second.keptOut.reset();
        const auto found = m_endpoints.find(id);
        if (found == m_endpoints.end())
            continue;
        if (found->second.isDraining) {
            removeDeparted(id);
            removals.push_back({id, std::nullopt});
        } else {
            unannounced.push_back(id);
        }
    }
    const auto retainedUntil = retentionEnd(unannounced.size(), now, madeAfter);
    for (const domain::EndpointId &id : unannounced) {
        if (retainedUntil)
            m_retainedUntil.emplace(id, *retainedUntil);
        else
            removeDeparted(id);
        removals.push_back({id, retainedUntil});
    }
    return removals;
}

/// After an outage of the store the drain bound does not apply until the contact time has passed.
/// Without one it counts from the acknowledgement, which may be as old as the last proof.
std::optional<domain::TimePoint> EndpointList::retentionEnd(
        std::size_t removed, domain::TimePoint now, domain::TimePoint madeAfter) const
{
    if (now < m_outageRetentionUntil)
        return m_outageRetentionUntil;
    const bool isMassRemoval = removed >= m_options.massRemovalMin
            && static_cast<double>(removed)
                    >= m_options.massRemovalShare * static_cast<double>(m_endpoints.size());
    if (!isMassRemoval)
        return std::nullopt;
    const auto sendTime = std::chrono::duration_cast<domain::Duration>(
            m_options.drainBound * m_options.sendShareOfDrainBound);
    const domain::TimePoint end
            = std::min(now + m_options.massRemovalRetention, madeAfter + sendTime);
    return end > now ? std::optional(end) : std::nullopt;
}

void EndpointList::removeDeparted(const domain::EndpointId &id)
{
    const auto found = m_endpoints.find(id);
    if (found == m_endpoints.end())
        return;
    recordDeparture(found->second, true);
    m_endpoints.erase(found);
}

void EndpointList::recordDeparture(const ListedEndpoint &endpoint, bool isRemoval)
{
    const auto [known, isNew] = m_departures.try_emplace(endpoint.id);
    Departure &departure = known->second;
    const bool isSame = !isNew && isSameStart(departure.startedAtMs, endpoint.startedAtMs);
    departure.sequence
            = isSame ? std::max(departure.sequence, endpoint.sequence) : endpoint.sequence;
    departure.isRemoval = isRemoval || (isSame && departure.isRemoval);
    departure.startedAtMs = endpoint.startedAtMs;
    departure.keptOut.reset();
    departure.number = ++m_departureCount;
    if (m_departures.size() <= m_options.maxDepartures)
        return;
    m_departures.erase(std::min_element(m_departures.begin(), m_departures.end(),
            [](const auto &a, const auto &b) { return a.second.number < b.second.number; }));
}

EndpointList::Departure *EndpointList::lostDeparture(
        const ListedEndpoint &endpoint, domain::TimePoint now)
{
    const auto known = m_departures.find(endpoint.id);
    if (now >= m_lostDeparturesUntil || known == m_departures.end())
        return nullptr;
    Departure &departure = known->second;
    if (!isSameStart(departure.startedAtMs, endpoint.startedAtMs))
        return endpoint.startedAtMs < departure.startedAtMs ? &departure : nullptr;
    // A write that changes the sequence alone is no change of the list, so the restored state may
    // have a larger one than the last state that was seen before the removal.
    if (departure.isRemoval && m_isFirstListAwaited)
        departure.sequence = std::max(departure.sequence, endpoint.sequence);
    return endpoint.sequence <= departure.sequence ? &departure : nullptr;
}

void EndpointList::onEraChanged(domain::TimePoint now, domain::TimePoint provenAt)
{
    onStoreBack(now, provenAt);
    m_lostDeparturesUntil = now + m_options.lostDepartureLifetime;
    m_isFirstListAwaited = true;
}

void EndpointList::onStoreBack(domain::TimePoint now, domain::TimePoint unreachableAt)
{
    m_outageRetentionUntil
            = std::min(now + m_options.outageRetention, unreachableAt + m_options.contactTime);
}

void EndpointList::onSuspended(domain::Duration time)
{
    for (auto &[id, until] : m_retainedUntil)
        until -= time;
    if (m_outageRetentionUntil != domain::TimePoint())
        m_outageRetentionUntil -= time;
    if (m_lostDeparturesUntil != domain::TimePoint())
        m_lostDeparturesUntil -= time;
}

void EndpointList::expire(domain::TimePoint now)
{
    for (auto retained = m_retainedUntil.begin(); retained != m_retainedUntil.end();) {
        if (now < retained->second) {
            ++retained;
            continue;
        }
        removeDeparted(retained->first);
        retained = m_retainedUntil.erase(retained);
        ++m_generation;
    }
    if (m_lostDeparturesUntil != domain::TimePoint() && now >= m_lostDeparturesUntil)
        expireLostDepartures();
}

void EndpointList::expireLostDepartures()
{
    m_lostDeparturesUntil = {};
    for (auto departure = m_departures.begin(); departure != m_departures.end();) {
        if (!departure->second.keptOut) {
            ++departure;
            continue;
        }
        m_endpoints.insert_or_assign(departure->first, std::move(*departure->second.keptOut));
        departure = m_departures.erase(departure);
        ++m_generation;
    }
}

const ListedEndpoint *EndpointList::find(const domain::EndpointId &id) const
{
    const auto found = m_endpoints.find(id);
    return found == m_endpoints.end() ? nullptr : &found->second;
}

} // namespace oriolerill::routing
