#pragma once

#include "membership/controlschedule.h"
#include "membership/endpointtable.h"
#include "membership/entrytable.h"
#include "membership/listedmember.h"
#include "membership/membershipsnapshot.h"
#include "protocol/control.pb.h"

#include <map>
#include <optional>
#include <set>
#include <vector>

namespace oriolerill::membership {

/// The peer of an exchange.
struct ExchangePeer
{
    domain::EntryId id;
    domain::DataCentreId dataCentre;
    domain::SocketAddress address;
};

/// An exchange to send, with the change counts that are recorded once it is answered.
struct PlannedExchange
{
    ExchangePeer peer;
    protocol::MembershipExchange message;
    std::uint64_t endpointChanges = 0;
    std::uint64_t entryChanges = 0;
    std::uint64_t summaryChanges = 0;
    std::uint64_t selfChanges = 0;
};

/// Membership as known to an entry: endpoints and entries of its own data centre, entries and
/// summaries of the others.
class MembershipTable
{
public:
    MembershipTable(EntryRecord self, domain::TimePoint now);

    /// False for a delayed or repeated heartbeat, or one from another data centre.
    bool onHeartbeat(const protocol::Heartbeat &heartbeat, domain::TimePoint now);
    /// An exchange received from another entry, as a request or an answer.
    void onExchange(const protocol::MembershipExchange &exchange, domain::TimePoint now);
    void onAnswered(const PlannedExchange &exchange);
    void onUnreachable(const domain::EntryId &peer);
    void onVmList(const std::vector<ListedMember> &members);
    /// Marks this entry as leaving; exchanges that report it are due immediately.
    void setLeaving();

    /// Marks unresponsive members, with allowance for a pause of this process, and takes over
    /// endpoints of entries that died or are leaving.
    void expire(domain::TimePoint now);

    /// The exchanges that are due, except to peers with an unanswered one.
    std::vector<PlannedExchange> planExchanges(domain::TimePoint now);
    /// The answer to an exchange.
    protocol::MembershipExchange answer(const protocol::MembershipExchange &request);
    /// First message to an address whose entry is not known yet.
    protocol::MembershipExchange introduction();

    ControlSchedule schedule() const { return m_schedule; }
    const EntryRecord &self() const { return m_entries.self(); }
    std::vector<EntryRecord> ownEntries() const;
    /// Live entries of a data centre.
    std::vector<EntryRecord> entriesOf(const domain::DataCentreId &dataCentre) const;
    std::uint64_t ownEntriesHash() const { return m_entries.ownEntriesHash(); }
    /// Incremented by each change of the members except changes of load.
    std::uint64_t changeCount() const
    {
        return m_endpoints.changeCount() + m_entries.changeCount() + m_selfChanges;
    }
    MembershipSnapshot snapshot(domain::TimePoint now) const;

private:
    struct PeerState
    {
        domain::Incarnation incarnation;
        std::uint64_t endpointChanges = 0;
        std::uint64_t entryChanges = 0;
        std::uint64_t summaryChanges = 0;
        std::uint64_t selfChanges = 0;
        bool isUnderWay = false;
    };

    struct SummaryState
    {
        DataCentreSummary summary;
        domain::TimePoint receivedAt;
        /// Value of m_summaryChanges at the last change; zero unless received from its own data
        /// centre, as only such summaries are forwarded.
        std::uint64_t changedAt = 0;
    };

    DataCentreSummary buildOwnSummary() const;
    void mergeSummary(
            const protocol::DataCentreSummary &message, bool isFirstHand, domain::TimePoint now);
    void chooseHomesIfNeeded(domain::TimePoint now);
    void refreshSchedule();
    PeerState &stateOf(const EntryRecord &peer);
    bool hasUrgentChanges(const PeerState &state, std::uint64_t newestChange) const;
    PlannedExchange planFor(const EntryRecord &peer, PeerState &state);
    void planOwnDataCentre(domain::TimePoint now, std::vector<PlannedExchange> &planned);
    void planOtherDataCentres(domain::TimePoint now, std::vector<PlannedExchange> &planned);
    std::optional<EntryRecord> summaryPeerIn(const domain::DataCentreId &dataCentre) const;
    std::set<domain::DataCentreId> otherDataCentres() const;

    EndpointTable m_endpoints;
    EntryTable m_entries;
    std::map<domain::EntryId, PeerState> m_peers;
    std::map<domain::DataCentreId, SummaryState> m_summaries;
    ControlSchedule m_schedule;
    std::vector<domain::EntryId> m_homeCandidates;
    std::size_t m_homeEndpointCount = 0;
    std::uint64_t m_summarySequence = 0;
    std::uint64_t m_summaryChanges = 0;
    std::uint64_t m_selfChanges = 0;
    std::size_t m_nextPeer = 0;
    domain::TimePoint m_expiredAt;
    domain::TimePoint m_nextExchangeAt;
    domain::TimePoint m_nextSummaryAt;
    /// A peer of the own data centre has answered; until then exchanges request the complete lists.
    bool m_isIntroduced = false;
};

} // namespace oriolerill::membership
