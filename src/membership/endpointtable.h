#pragma once

#include "domain/timepoint.h"
#include "membership/listedmember.h"
#include "membership/membershipsnapshot.h"

#include <cstdint>
#include <functional>
#include <map>
#include <vector>

namespace oriolerill::membership {

/// Latest record of each endpoint of the own data centre.
///
/// A record is only replaced by one of a later incarnation or, within it, of a higher sequence.
/// Only the home entries of an endpoint, and an entry that has refuted a suspicion of it, detect
/// its failure: suspect after 3 missed heartbeat intervals, dead after 10.
class EndpointTable
{
public:
    /// A heartbeat of the endpoint itself, which sends the next one after the interval; false when
    /// it is not newer than the stored record.
    bool onHeartbeat(
            const EndpointRecord &record, domain::TimePoint now, domain::Duration interval = {});
    /// A record forwarded by another entry; true when it replaces the stored one.
    bool onPeerRecord(const EndpointRecord &record, domain::TimePoint now);
    /// Applies the leaving mark of one read of the platform's list.
    void onListed(const domain::EndpointId &id, bool isLeaving);

    /// Updates which endpoints this entry is a home of; call it after a change of the members.
    void chooseHomes(
            const std::function<bool(const domain::EndpointId &)> &isHome, domain::TimePoint now);
    /// This process was paused; missing heartbeats during that time are not counted.
    void onPause(domain::Duration duration);
    /// Marks unresponsive endpoints as suspect or dead, and evicts old dead records. The interval
    /// applies unless a longer one was sent to the endpoint.
    void expire(domain::TimePoint now, domain::Duration interval);

    std::vector<EndpointRecord> records() const;
    /// Endpoints that changed since a value of changeCount(), of those that have this entry as a
    /// home or send their heartbeats to it.
    std::vector<EndpointRecord> changesSince(std::uint64_t count) const;
    /// Value of changeCount() at the newest of these changes.
    std::uint64_t newestHomeOrDirectChange() const;
    /// Incremented by each change that is sent to peers; changes of load alone do not count.
    std::uint64_t changeCount() const { return m_changeCount; }
    std::size_t size() const { return m_members.size(); }

private:
    struct Member
    {
        EndpointRecord record;
        /// State in the last applied record, without the leaving mark of the list.
        protocol::EndpointState reported = protocol::ENDPOINT_STATE_STARTING;
        domain::TimePoint receivedAt;
        domain::Duration interval = {};
        std::uint64_t changedAt = 0;
        bool isHome = false;
        /// The endpoint sends its heartbeats to this entry, as a home or because its homes are
        /// unreachable.
        bool isDirect = false;
        /// Another entry receives the heartbeats while this one does not, and monitors the endpoint
        /// from then on.
        bool isReachableElsewhere = false;
        /// This entry has refuted a suspicion of another one and monitors the endpoint, also when
        /// it is no home of it.
        bool hasRefuted = false;
        bool isListedLeaving = false;
        unsigned listsWithoutLeaving = 0;
    };

    /// True when this entry detects failures of the endpoint.
    static bool isMonitored(const Member &member);
    static bool isHomeOrDirect(const Member &member) { return member.isHome || member.isDirect; }
    bool applyRecord(const EndpointRecord &record, domain::TimePoint now);
    void setState(Member &member, protocol::EndpointState state);
    void markChanged(Member &member) { member.changedAt = ++m_changeCount; }

    std::map<domain::EndpointId, Member> m_members;
    std::uint64_t m_changeCount = 0;
};

} // namespace oriolerill::membership
