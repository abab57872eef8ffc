#include "agent/internal/heartbeatroute.h"

#include "membership/homeentries.h"
#include "membership/memberinfo.h"

#include <algorithm>
#include <chrono>

namespace oriolerill::agent {

using domain::SocketAddress;
using domain::TimePoint;
using membership::EntryRecord;

namespace {

constexpr unsigned FailuresUntilAvoided = 2;
constexpr auto AvoidanceTime = std::chrono::seconds(5);

} // namespace

HeartbeatRoute::HeartbeatRoute(domain::EndpointId self, std::vector<SocketAddress> seeds)
    : m_self(std::move(self))
    , m_seeds(std::move(seeds))
{}

std::vector<SocketAddress> HeartbeatRoute::targets(TimePoint now)
{
    std::vector<SocketAddress> chosen;
    for (const SocketAddress &address : m_ranked) {
        if (chosen.size() < membership::HomesPerEndpoint && !isAvoided(address, now))
            chosen.push_back(address);
    }
    if (chosen.empty() && !m_seeds.empty())
        chosen.push_back(m_seeds[m_nextSeed++ % m_seeds.size()]);
    return chosen;
}

std::uint64_t HeartbeatRoute::entriesHash(const SocketAddress &address) const
{
    const auto found = m_peers.find(address);
    return found == m_peers.end() ? 0 : found->second.entriesHash;
}

void HeartbeatRoute::onReply(const SocketAddress &address, const protocol::HeartbeatReply &reply)
{
    PeerState &peer = m_peers[address];
    peer.failures = 0;
    peer.avoidUntil = {};
    if (reply.entries_size() == 0)
        return;
    peer.entriesHash = reply.entries_hash();
    m_entries.clear();
    for (const protocol::EntryInfo &info : reply.entries())
        m_entries.push_back(membership::entryFromInfo(info));
    updateRanking();
}

void HeartbeatRoute::onNoReply(const SocketAddress &address, TimePoint now)
{
    PeerState &peer = m_peers[address];
    if (++peer.failures >= FailuresUntilAvoided)
        peer.avoidUntil = now + AvoidanceTime;
}

bool HeartbeatRoute::isAvoided(const SocketAddress &address, TimePoint now) const
{
    const auto found = m_peers.find(address);
    return found != m_peers.end() && found->second.avoidUntil > now;
}

void HeartbeatRoute::updateRanking()
{
    std::vector<domain::EntryId> ids;
    std::map<domain::EntryId, SocketAddress> addresses;
    for (const EntryRecord &entry : m_entries) {
        if (entry.isLeaving || !entry.isAlive || entry.controlAddress.isEmpty())
            continue;
        ids.push_back(entry.id);
        addresses[entry.id] = entry.controlAddress;
    }
    m_ranked.clear();
    for (const domain::EntryId &id : membership::rankHomes(m_self, ids))
        m_ranked.push_back(addresses[id]);
}

} // namespace oriolerill::agent
