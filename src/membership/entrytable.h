#pragma once

#include "domain/timepoint.h"
#include "membership/listedmember.h"
#include "membership/membershipsnapshot.h"

#include <cstdint>
#include <map>
#include <vector>

namespace oriolerill::membership {

/// Latest record of each entry of all data centres, by incarnation and sequence.
///
/// Whether entries of the own data centre are alive is decided from messages that they send to this
/// entry, for other data centres from the lists that those send. An entry that only the platform
/// lists is stored with its address, but is not alive before a message or record of it arrives.
class EntryTable
{
public:
    explicit EntryTable(EntryRecord self);

    /// A message from the entry itself.
    void onMessage(const EntryRecord &record, domain::TimePoint now);
    /// A record forwarded by another entry.
    void onPeerRecord(const EntryRecord &record, domain::TimePoint now);
    /// The list of live entries that another data centre has sent.
    void onDataCentreEntries(const domain::DataCentreId &dataCentre,
            const std::vector<EntryRecord> &records, domain::TimePoint now);
    /// A VM in the list of the platform.
    void onListed(const ListedMember &member);
    /// An exchange with the entry was not answered.
    void onUnreachable(const domain::EntryId &id);
    /// This process was paused; missing messages during that time are not counted.
    void onPause(domain::Duration duration);
    /// Marks entries of the own data centre as dead from which no message was received within the
    /// timeout.
    void expire(domain::TimePoint now, domain::Duration receiveTimeout);

    void setLeaving();
    /// This entry's record, with its sequence incremented.
    const EntryRecord &nextSelf();
    const EntryRecord &self() const { return m_self; }

    std::vector<EntryRecord> records() const;
    std::vector<EntryRecord> recordsOf(const domain::DataCentreId &dataCentre) const;
    /// Live entries of the own data centre that are not leaving, including this one.
    std::vector<domain::EntryId> activeEntries() const;
    /// First-hand records of other data centres that changed since a value of changeCount().
    std::vector<EntryRecord> remoteChangesSince(std::uint64_t count) const;
    /// Hash of the live entries of the own data centre; never 0, which requests the complete lists.
    std::uint64_t ownEntriesHash() const;
    std::uint64_t changeCount() const { return m_changeCount; }

private:
    struct Member
    {
        EntryRecord record;
        domain::TimePoint receivedAt;
        std::uint64_t changedAt = 0;
        unsigned failures = 0;
        /// Received from its own data centre; only such records are forwarded.
        bool isFirstHand = false;
        bool isListedLeaving = false;
        unsigned listsWithoutLeaving = 0;
    };

    bool isInOwnDataCentre(const EntryRecord &record) const;
    bool applyRecord(const EntryRecord &record, domain::TimePoint now);
    /// Raises this entry's sequence above that of a record that reports this entry as dead.
    void refuteDeath(const EntryRecord &record);
    void markChanged(Member &member) { member.changedAt = ++m_changeCount; }

    EntryRecord m_self;
    std::map<domain::EntryId, Member> m_members;
    std::uint64_t m_changeCount = 0;
};

} // namespace oriolerill::membership
