#pragma once

#include "domain/timepoint.h"
#include "membership/listedmember.h"
#include "membership/membershipsnapshot.h"

#include <cstdint>
#include <map>
#include <vector>

namespace oriolerill::membership {

/// Entries of all data centres by incarnation and sequence.
///
/// Entries of the own data centre are judged by what is heard from them directly, the others by
/// the lists that their data centre sends. An entry that only the platform lists is known by its
/// address, but does not count as alive before it has been heard.
class EntryTable
{
public:
    explicit EntryTable(EntryRecord self);

    /// A message of the entry itself.
    void onMessage(const EntryRecord &record, domain::TimePoint now);
    /// A record that another entry has passed on.
    void onPeerRecord(const EntryRecord &record, domain::TimePoint now);
    /// The live entries of another data centre, as that data centre knows them.
    void onDataCentreEntries(const domain::DataCentreId &dataCentre,
            const std::vector<EntryRecord> &records, domain::TimePoint now);
    void onListed(const ListedMember &member);
    /// An exchange with the entry got no answer.
    void onUnreachable(const domain::EntryId &id);
    /// This process was paused: silence during that time says nothing.
    void onPause(domain::Duration duration);
    /// Marks entries of the own data centre that have been silent for this long.
    void expire(domain::TimePoint now, domain::Duration receiveTimeout);

    void setLeaving();
    /// The own record with a new sequence.
    const EntryRecord &nextSelf();
    const EntryRecord &self() const { return m_self; }

    std::vector<EntryRecord> records() const;
    std::vector<EntryRecord> recordsOf(const domain::DataCentreId &dataCentre) const;
    /// Live entries of the own data centre, this one included, that are not leaving.
    std::vector<domain::EntryId> activeEntries() const;
    /// First-hand records of other data centres that have changed since a value of changeCount().
    std::vector<EntryRecord> remoteChangesSince(std::uint64_t count) const;
    /// Hash of the live entries of the own data centre; never 0.
    std::uint64_t ownEntriesHash() const;
    std::uint64_t changeCount() const { return m_changeCount; }

private:
    struct Member
    {
        EntryRecord record;
        domain::TimePoint receivedAt;
        std::uint64_t changedAt = 0;
        unsigned failures = 0;
        /// Learnt from its own data centre; only such records are passed on.
        bool isFirstHand = false;
        bool isListedLeaving = false;
        unsigned listsWithoutLeaving = 0;
    };

    bool isInOwnDataCentre(const EntryRecord &record) const;
    bool applyRecord(const EntryRecord &record, domain::TimePoint now);
    void refuteDeath(const EntryRecord &record);
    void markChanged(Member &member) { member.changedAt = ++m_changeCount; }

    EntryRecord m_self;
    std::map<domain::EntryId, Member> m_members;
    std::uint64_t m_changeCount = 0;
};

} // namespace oriolerill::membership
