#pragma once

#include "domain/timepoint.h"
#include "membership/listedmember.h"
#include "membership/membershipsnapshot.h"

#include <cstdint>
#include <functional>
#include <map>
#include <vector>

namespace oriolerill::membership {

/// Endpoints of the own data centre by incarnation and sequence.
///
/// A record only gives way to one of a later incarnation or, within it, of a higher sequence. Only
/// the homes of an endpoint judge its silence: suspect after 3 missed intervals, dead after 10.
class EndpointTable
{
public:
    /// A heartbeat of the endpoint itself, which has been told to send the next one after the
    /// interval; false when it is older than what is known.
    bool onHeartbeat(
            const EndpointRecord &record, domain::TimePoint now, domain::Duration interval = {});
    /// A record that another entry has passed on.
    bool onPeerRecord(const EndpointRecord &record, domain::TimePoint now);
    /// The platform marks the endpoint as leaving or no longer does.
    void onListed(const domain::EndpointId &id, bool isLeaving);

    /// Chooses the endpoints that this entry is a home of, after a change of the entries.
    void chooseHomes(
            const std::function<bool(const domain::EndpointId &)> &isHome, domain::TimePoint now);
    /// This process was paused: silence during that time says nothing.
    void onPause(domain::Duration duration);
    /// Marks silent endpoints. The interval applies unless an endpoint was told a longer one.
    void expire(domain::TimePoint now, domain::Duration interval);

    std::vector<EndpointRecord> records() const;
    /// Endpoints heard or judged here that have changed since a value of changeCount().
    std::vector<EndpointRecord> changesSince(std::uint64_t count) const;
    /// Count at the newest of these changes.
    std::uint64_t newestHomeOrDirectChange() const;
    /// Grows with each change that others have to learn; changes of load alone do not count.
    std::uint64_t changeCount() const { return m_changeCount; }
    std::size_t size() const { return m_members.size(); }

private:
    struct Member
    {
        EndpointRecord record;
        /// State that the endpoint itself reported last.
        protocol::EndpointState reported = protocol::ENDPOINT_STATE_STARTING;
        domain::TimePoint receivedAt;
        domain::Duration interval = {};
        std::uint64_t changedAt = 0;
        bool isHome = false;
        /// The endpoint sends its heartbeats here, as a home or because it cannot reach its homes.
        bool isDirect = false;
        /// Another entry hears the endpoint while this one does not, and judges it from then on.
        bool isReachableElsewhere = false;
        /// This entry has contradicted another one and judges the endpoint, home or not.
        bool hasRefuted = false;
        bool isListedLeaving = false;
        unsigned listsWithoutLeaving = 0;
    };

    static bool isFailureDetector(const Member &member);
    static bool isHomeOrDirect(const Member &member) { return member.isHome || member.isDirect; }
    bool applyRecord(const EndpointRecord &record, domain::TimePoint now);
    void setState(Member &member, protocol::EndpointState state);
    void markChanged(Member &member) { member.changedAt = ++m_changeCount; }

    std::map<domain::EndpointId, Member> m_members;
    std::uint64_t m_changeCount = 0;
};

} // namespace oriolerill::membership
