#pragma once

#include "domain/socketaddress.h"
#include "domain/timepoint.h"
#include "membership/membershipsnapshot.h"
#include "protocol/control.pb.h"

#include <cstdint>
#include <map>
#include <vector>

namespace oriolerill::agent {

/// Chooses the entries that get an endpoint's heartbeats.
class HeartbeatRoute
{
public:
    HeartbeatRoute(domain::EndpointId self, std::vector<domain::SocketAddress> seeds);

    /// Addresses for the next heartbeat: the homes, or one seed while none is known or answers.
    std::vector<domain::SocketAddress> targets(domain::TimePoint now);
    /// Hash of the entries that this address has told last; 0 at first.
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
    /// Entries by falling rank as homes.
    std::vector<domain::SocketAddress> m_ranked;
    std::map<domain::SocketAddress, PeerState> m_peers;
};

} // namespace oriolerill::agent
