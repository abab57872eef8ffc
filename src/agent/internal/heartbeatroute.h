#pragma once

#include "domain/socketaddress.h"
#include "domain/timepoint.h"
#include "membership/membershipsnapshot.h"
#include "protocol/control.pb.h"

#include <cstdint>
#include <map>
#include <vector>

namespace oriolerill::agent {

/// Selects the entries to which an endpoint sends heartbeats.
class HeartbeatRoute
{
public:
    HeartbeatRoute(domain::EndpointId self, std::vector<domain::SocketAddress> seeds);

    /// Addresses for the next heartbeat: the home entries, or one seed while no home entry is known
    /// or all known entries are unresponsive.
    std::vector<domain::SocketAddress> targets(domain::TimePoint now);
    /// Hash of the last entry list received from this address; 0 before the first.
    std::uint64_t entriesHash(const domain::SocketAddress &address) const;

    void onReply(const domain::SocketAddress &address, const protocol::HeartbeatReply &reply);
    void onNoReply(const domain::SocketAddress &address, domain::TimePoint now);

    const std::vector<membership::EntryRecord> &entries() const { return m_entries; }

private:
    struct PeerState
    {
        unsigned failures = 0;
        domain::TimePoint avoidUntil;
        std::uint64_t entriesHash = 0;
    };

    bool isAvoided(const domain::SocketAddress &address, domain::TimePoint now) const;
    void updateRanking();

    domain::EndpointId m_self;
    std::vector<domain::SocketAddress> m_seeds;
    std::size_t m_nextSeed = 0;
    std::vector<membership::EntryRecord> m_entries;
    /// Control addresses of the entries in descending rank as home entries.
    std::vector<domain::SocketAddress> m_ranked;
    std::map<domain::SocketAddress, PeerState> m_peers;
};

} // namespace oriolerill::agent
