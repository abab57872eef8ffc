// Routes between data centres in VersionSwarm.
#include "distribution/internal/versionswarm.h"

#include <algorithm>
#include <chrono>

namespace oriolerill::distribution::internal {

using namespace std::chrono_literals;

namespace {

constexpr domain::Duration ReviewInterval = 500ms;
// Longer than the time after which a data centre itself replaces a stalled source.
constexpr domain::Duration ExclusionTimeout = 15s;

} // namespace

void VersionSwarm::setSites(const std::vector<SwarmSite> &sites, domain::TimePoint now)
{
    std::vector<RemoteSite> remotes;
    SwarmSite own{m_options.dataCentre, {}};
    for (const SwarmSite &site : sites) {
        if (site.dataCentre == m_options.dataCentre) {
            own = site;
            continue;
        }
        const std::size_t known = siteIndex(site.dataCentre);
        if (known < m_remotes.size() && m_remotes[known].site() == site) {
            remotes.push_back(m_remotes[known]);
        } else {
            remotes.emplace_back(site, now);
            remotes.back().resize(m_chunkCount);
        }
    }
    const bool isSame = own == m_ownSite
            && std::equal(remotes.begin(), remotes.end(), m_remotes.begin(), m_remotes.end(),
                    [](const RemoteSite &a, const RemoteSite &b) { return a.site() == b.site(); });
    if (isSame)
        return;
    m_ownSite = own;
    m_remotes = std::move(remotes);
    rebuildRoutes();
}

std::size_t VersionSwarm::siteIndex(const domain::DataCentreId &dataCentre) const
{
    const auto found = std::find_if(m_remotes.begin(), m_remotes.end(),
            [&](const RemoteSite &remote) { return remote.site().dataCentre == dataCentre; });
    return static_cast<std::size_t>(found - m_remotes.begin());
}

void VersionSwarm::rebuildRoutes()
{
    std::vector<SwarmSite> live = {m_ownSite};
    std::vector<std::size_t> indexes = {RelayPlan::Origin};
    for (std::size_t i = 0; i < m_remotes.size(); ++i) {
        if (m_remotes[i].isExcluded)
            continue;
        live.push_back(m_remotes[i].site());
        indexes.push_back(i);
    }
    const RelayPlan relay(std::move(live), m_options.dataCentre, m_options.originRegion);
    m_regionCount = std::max<std::size_t>(relay.regionCount(), 1);
    m_routes.clear();
    m_routes.push_back({RelayPlan::Origin, HaveMap(m_chunkCount)});
    for (std::size_t i = 0; i < m_remotes.size(); ++i)
        m_routes.push_back({i, HaveMap(m_chunkCount)});
    for (std::size_t chunk = 0; chunk < m_chunkCount; ++chunk) {
        const std::size_t upstream = relay.upstream(m_items[chunk]);
        const std::size_t route = upstream == RelayPlan::Origin ? 0 : indexes[upstream] + 1;
        m_routes[route].mask.set(chunk);
    }
}

void VersionSwarm::onHaveReply(const domain::DataCentreId &dataCentre,
        const protocol::HaveReply &reply, domain::TimePoint now)
{
    const std::size_t index = siteIndex(dataCentre);
    if (index < m_remotes.size())
        m_remotes[index].applyReply(reply, m_chunkCount, m_sources, now);
}

void VersionSwarm::onQueryFailure(const domain::DataCentreId &dataCentre, domain::TimePoint)
{
    const std::size_t index = siteIndex(dataCentre);
    if (index < m_remotes.size())
        m_remotes[index].recordFailure();
}

std::vector<domain::DataCentreId> VersionSwarm::dueQueries(domain::TimePoint now)
{
    std::vector<domain::DataCentreId> due;
    const bool isDone = m_chunkCount > 0 && m_rarity.absent().count() == 0;
    if (isDone || m_activeMembers.empty())
        return due;
    for (RemoteSite &remote : m_remotes) {
        if (remote.nextQuery > now)
            continue;
        remote.nextQuery = now
                + std::max(m_options.queryInterval,
                        m_options.queryIntervalPerChunk * static_cast<int>(m_chunkCount));
        due.push_back(remote.site().dataCentre);
    }
    return due;
}

bool VersionSwarm::lacksRoutedChunks(const RemoteSite &remote) const
{
    const std::size_t index = siteIndex(remote.site().dataCentre);
    const HaveMap &mask = m_routes[index + 1].mask;
    for (std::size_t word = 0; word < mask.words().size(); ++word) {
        if ((m_rarity.absent().word(word) & mask.word(word) & ~remote.available().word(word)) != 0)
            return true;
    }
    return false;
}

bool VersionSwarm::isToBeExcluded(const RemoteSite &remote, domain::TimePoint now) const
{
    if (remote.isUnreachable(now) || remote.isWithoutEndpoints(now))
        return true;
    if (!remote.isStalled(now, ExclusionTimeout))
        return false;
    // While the origin also fails for this data centre, the stall is not the fault of the other
    // one, and its routes stay.
    const bool isOriginFailing = m_sources.isAvoided(SourceTable::Origin, now);
    return remote.isExcluded || (lacksRoutedChunks(remote) && !isOriginFailing);
}

void VersionSwarm::reviewSites(domain::TimePoint now)
{
    if (now < m_nextReview || m_chunkCount == 0)
        return;
    m_nextReview = now + ReviewInterval;
    bool isChanged = false;
    for (RemoteSite &remote : m_remotes) {
        const bool isExcluded = isToBeExcluded(remote, now);
        isChanged |= isExcluded != remote.isExcluded;
        remote.isExcluded = isExcluded;
    }
    if (isChanged)
        rebuildRoutes();
}

} // namespace oriolerill::distribution::internal
