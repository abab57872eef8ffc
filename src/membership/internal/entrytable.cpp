#include "membership/entrytable.h"

#include "domain/rendezvous.h"

#include <algorithm>
#include <string>

namespace oriolerill::membership {

using domain::TimePoint;

namespace {

constexpr unsigned FailuresUntilDead = 2;
// The platform's list flaps: the leaving mark is only removed after this number of consecutive
// lists without it.
constexpr unsigned MinListsWithoutLeaving = 3;

bool isNewer(const EntryRecord &record, const EntryRecord &current)
{
    if (record.incarnation != current.incarnation)
        return record.incarnation > current.incarnation;
    if (record.sequence != current.sequence)
        return record.sequence > current.sequence;
    return current.isAlive && !record.isAlive;
}

bool isSignificantChange(const EntryRecord &a, const EntryRecord &b)
{
    return a.incarnation != b.incarnation || a.isAlive != b.isAlive || a.isLeaving != b.isLeaving
            || a.controlAddress != b.controlAddress || a.requestAddress != b.requestAddress;
}

} // namespace

EntryTable::EntryTable(EntryRecord self)
    : m_self(std::move(self))
{}

bool EntryTable::isInOwnDataCentre(const EntryRecord &record) const
{
    return record.dataCentre == m_self.dataCentre;
}

void EntryTable::onMessage(const EntryRecord &record, TimePoint now)
{
    if (record.id.isEmpty() || record.id == m_self.id)
        return;
    applyRecord(record, now);
    Member &member = m_members[record.id];
    if (member.record.incarnation != record.incarnation)
        return;
    member.failures = 0;
    member.receivedAt = now;
    if (!member.record.isAlive) {
        member.record.isAlive = true;
        markChanged(member);
    }
}

void EntryTable::onPeerRecord(const EntryRecord &record, TimePoint now)
{
    if (record.id.isEmpty())
        return;
    if (record.id == m_self.id) {
        refuteDeath(record);
        return;
    }
    // Each entry decides by itself whether the entries of its own data centre are alive.
    const auto found = m_members.find(record.id);
    const bool isKnown = found != m_members.end() && found->second.record.incarnation.count() != 0;
    if (isInOwnDataCentre(record) && !record.isAlive && isKnown
            && record.incarnation == found->second.record.incarnation)
        return;
    applyRecord(record, now);
}

void EntryTable::onDataCentreEntries(const domain::DataCentreId &dataCentre,
        const std::vector<EntryRecord> &records, TimePoint now)
{
    if (dataCentre == m_self.dataCentre)
        return;
    for (const EntryRecord &record : records) {
        onPeerRecord(record, now);
        m_members[record.id].isFirstHand = true;
    }
    for (auto &[id, member] : m_members) {
        if (member.record.dataCentre != dataCentre || !member.record.isAlive)
            continue;
        const bool isListed = std::any_of(records.begin(), records.end(),
                [&current = member.record](
                        const EntryRecord &record) { return record.id == current.id; });
        if (!isListed) {
            member.record.isAlive = false;
            markChanged(member);
        }
    }
}

void EntryTable::onListed(const ListedMember &listed)
{
    const domain::EntryId id(listed.id.value());
    if (id == m_self.id)
        return;
    const auto [it, isNew] = m_members.try_emplace(id);
    Member &member = it->second;
    if (isNew) {
        member.record.id = id;
        member.record.dataCentre = listed.dataCentre;
        member.record.region = listed.region;
        member.record.controlAddress = listed.controlAddress;
        member.record.requestAddress = listed.requestAddress;
        member.record.isAlive = false;
    }
    member.listsWithoutLeaving = listed.isLeaving ? 0 : member.listsWithoutLeaving + 1;
    const bool isLeaving = listed.isLeaving
            || (member.isListedLeaving && member.listsWithoutLeaving < MinListsWithoutLeaving);
    if (isLeaving == member.isListedLeaving)
        return;
    member.isListedLeaving = isLeaving;
    member.record.isLeaving = isLeaving;
    markChanged(member);
}

void EntryTable::onUnreachable(const domain::EntryId &id)
{
    const auto found = m_members.find(id);
    if (found == m_members.end())
        return;
    Member &member = found->second;
    ++member.failures;
    if (member.failures >= FailuresUntilDead && member.record.isAlive) {
        member.record.isAlive = false;
        markChanged(member);
    }
}

void EntryTable::onPause(domain::Duration duration)
{
    for (auto &[id, member] : m_members)
        member.receivedAt += duration;
}

void EntryTable::expire(TimePoint now, domain::Duration receiveTimeout)
{
    for (auto &[id, member] : m_members) {
        const bool isUnresponsive = now - member.receivedAt > receiveTimeout;
        if (isInOwnDataCentre(member.record) && member.record.isAlive && isUnresponsive) {
            member.record.isAlive = false;
            markChanged(member);
        }
    }
}

bool EntryTable::applyRecord(const EntryRecord &record, TimePoint now)
{
    const auto [it, isNew] = m_members.try_emplace(record.id);
    Member &member = it->second;
    if (!isNew && !isNewer(record, member.record))
        return false;
    if (member.record.incarnation != record.incarnation) {
        member.isListedLeaving = false;
        member.failures = 0;
    }
    const EntryRecord before = member.record;
    member.record = record;
    member.record.isLeaving = record.isLeaving || member.isListedLeaving;
    member.receivedAt = now;
    if (isNew || isSignificantChange(before, member.record))
        markChanged(member);
    return true;
}

void EntryTable::refuteDeath(const EntryRecord &record)
{
    if (!record.isAlive && record.incarnation == m_self.incarnation)
        m_self.sequence = std::max(m_self.sequence, record.sequence) + 1;
}

void EntryTable::setLeaving()
{
    m_self.isLeaving = true;
    ++m_self.sequence;
    ++m_changeCount;
}

const EntryRecord &EntryTable::nextSelf()
{
    ++m_self.sequence;
    return m_self;
}

std::vector<EntryRecord> EntryTable::records() const
{
    std::vector<EntryRecord> records{m_self};
    for (const auto &[id, member] : m_members)
        records.push_back(member.record);
    return records;
}

std::vector<EntryRecord> EntryTable::recordsOf(const domain::DataCentreId &dataCentre) const
{
    std::vector<EntryRecord> records;
    if (dataCentre == m_self.dataCentre)
        records.push_back(m_self);
    for (const auto &[id, member] : m_members) {
        if (member.record.dataCentre == dataCentre)
            records.push_back(member.record);
    }
    return records;
}

std::vector<domain::EntryId> EntryTable::activeEntries() const
{
    std::vector<domain::EntryId> ids;
    for (const EntryRecord &record : recordsOf(m_self.dataCentre)) {
        if (record.isAlive && !record.isLeaving)
            ids.push_back(record.id);
    }
    return ids;
}

std::vector<EntryRecord> EntryTable::remoteChangesSince(std::uint64_t count) const
{
    std::vector<EntryRecord> changes;
    for (const auto &[id, member] : m_members) {
        if (!isInOwnDataCentre(member.record) && member.isFirstHand && member.changedAt > count)
            changes.push_back(member.record);
    }
    return changes;
}

std::uint64_t EntryTable::ownEntriesHash() const
{
    std::uint64_t sum = 1;
    for (const EntryRecord &record : recordsOf(m_self.dataCentre)) {
        if (!record.isAlive)
            continue;
        const std::string state
                = std::to_string(record.incarnation.count()) + (record.isLeaving ? "l" : "");
        // A sum is independent of the order of the entries.
        sum += domain::rendezvousWeight(record.id.value(), state);
    }
    return sum == 0 ? 1 : sum;
}

} // namespace oriolerill::membership
