#include "membership/endpointtable.h"

#include <algorithm>
#include <chrono>

namespace oriolerill::membership {

using domain::TimePoint;

namespace {

constexpr int SuspectAfterIntervals = 3;
constexpr int DeadAfterIntervals = 10;
// Dead records are kept for this time, so that late messages of the same incarnation are rejected.
constexpr domain::Duration DeadRecordLifetime = std::chrono::minutes(10);
// The platform's list flaps: the leaving mark is only removed after this number of consecutive
// lists without it.
constexpr unsigned MinListsWithoutLeaving = 3;

int severity(protocol::EndpointState state)
{
    if (state == protocol::ENDPOINT_STATE_DEAD)
        return 2;
    return state == protocol::ENDPOINT_STATE_SUSPECT ? 1 : 0;
}

bool isNewer(const EndpointRecord &record, const EndpointRecord &current)
{
    if (record.incarnation != current.incarnation)
        return record.incarnation > current.incarnation;
    if (record.sequence != current.sequence)
        return record.sequence > current.sequence;
    return severity(record.state) > severity(current.state);
}

/// True when the difference must be sent to peers; load is reported with answers instead.
bool isSignificantChange(const EndpointRecord &a, const EndpointRecord &b)
{
    return a.incarnation != b.incarnation || a.state != b.state || a.service != b.service
            || a.activeDigest != b.activeDigest || a.requestAddress != b.requestAddress
            || a.controlAddress != b.controlAddress;
}

} // namespace

bool EndpointTable::isMonitored(const Member &member)
{
    return member.hasRefuted || (member.isHome && !member.isReachableElsewhere);
}

bool EndpointTable::onHeartbeat(
        const EndpointRecord &record, TimePoint now, domain::Duration interval)
{
    if (!applyRecord(record, now))
        return false;
    Member &member = m_members[record.id];
    member.interval = interval;
    member.isDirect = true;
    member.isReachableElsewhere = false;
    return true;
}

bool EndpointTable::onPeerRecord(const EndpointRecord &record, TimePoint now)
{
    const auto found = m_members.find(record.id);
    if (found == m_members.end())
        return applyRecord(record, now);
    Member &member = found->second;
    const int receivedSeverity = severity(record.state);
    if (isNewer(record, member.record)) {
        const bool wasSuspected = severity(member.record.state) > receivedSeverity;
        applyRecord(record, now);
        member.isDirect = false;
        member.hasRefuted = false;
        member.isReachableElsewhere = wasSuspected;
        return true;
    }
    if (member.isDirect && severity(member.record.state) < receivedSeverity) {
        member.hasRefuted = true;
        markChanged(member);
    }
    return false;
}

bool EndpointTable::applyRecord(const EndpointRecord &record, TimePoint now)
{
    const auto [it, isNew] = m_members.try_emplace(record.id);
    Member &member = it->second;
    if (!isNew && !isNewer(record, member.record))
        return false;
    if (member.record.incarnation != record.incarnation)
        member.isListedLeaving = false;
    const EndpointRecord before = member.record;
    member.record = record;
    member.reported = record.state;
    if (member.isListedLeaving && severity(record.state) == 0)
        member.record.state = protocol::ENDPOINT_STATE_LEAVING;
    member.receivedAt = now;
    if (isNew || isSignificantChange(before, member.record))
        markChanged(member);
    return true;
}

void EndpointTable::onListed(const domain::EndpointId &id, bool isLeaving)
{
    const auto found = m_members.find(id);
    if (found == m_members.end())
        return;
    Member &member = found->second;
    member.listsWithoutLeaving = isLeaving ? 0 : member.listsWithoutLeaving + 1;
    if (isLeaving && !member.isListedLeaving) {
        member.isListedLeaving = true;
        if (severity(member.record.state) == 0)
            setState(member, protocol::ENDPOINT_STATE_LEAVING);
    } else if (member.isListedLeaving && member.listsWithoutLeaving >= MinListsWithoutLeaving) {
        member.isListedLeaving = false;
        if (severity(member.record.state) == 0)
            setState(member, member.reported);
    }
}

void EndpointTable::chooseHomes(
        const std::function<bool(const domain::EndpointId &)> &isHome, TimePoint now)
{
    for (auto &[id, member] : m_members) {
        const bool wasMonitored = isMonitored(member);
        member.isReachableElsewhere = false;
        member.isHome = isHome(id);
        // An entry that starts to monitor the endpoint allows it a full timeout first.
        if (isMonitored(member) && !wasMonitored)
            member.receivedAt = now;
    }
}

void EndpointTable::onPause(domain::Duration duration)
{
    for (auto &[id, member] : m_members)
        member.receivedAt += duration;
}

void EndpointTable::expire(TimePoint now, domain::Duration interval)
{
    for (auto it = m_members.begin(); it != m_members.end();) {
        Member &member = it->second;
        const domain::Duration sinceHeartbeat = now - member.receivedAt;
        const bool isDead = member.record.state == protocol::ENDPOINT_STATE_DEAD;
        if (isDead && sinceHeartbeat > DeadRecordLifetime) {
            it = m_members.erase(it);
            continue;
        }
        ++it;
        if (!isMonitored(member) || isDead)
            continue;
        const domain::Duration expectedInterval = std::max(interval, member.interval);
        if (sinceHeartbeat > DeadAfterIntervals * expectedInterval)
            setState(member, protocol::ENDPOINT_STATE_DEAD);
        else if (sinceHeartbeat > SuspectAfterIntervals * expectedInterval)
            setState(member, protocol::ENDPOINT_STATE_SUSPECT);
    }
}

void EndpointTable::setState(Member &member, protocol::EndpointState state)
{
    if (member.record.state == state)
        return;
    member.record.state = state;
    markChanged(member);
}

std::vector<EndpointRecord> EndpointTable::records() const
{
    std::vector<EndpointRecord> records;
    records.reserve(m_members.size());
    for (const auto &[id, member] : m_members) {
        if (member.record.state != protocol::ENDPOINT_STATE_DEAD)
            records.push_back(member.record);
    }
    return records;
}

std::vector<EndpointRecord> EndpointTable::changesSince(std::uint64_t count) const
{
    std::vector<EndpointRecord> changes;
    for (const auto &[id, member] : m_members) {
        if (isHomeOrDirect(member) && member.changedAt > count)
            changes.push_back(member.record);
    }
    return changes;
}

std::uint64_t EndpointTable::newestHomeOrDirectChange() const
{
    std::uint64_t newest = 0;
    for (const auto &[id, member] : m_members) {
        if (isHomeOrDirect(member))
            newest = std::max(newest, member.changedAt);
    }
    return newest;
}

} // namespace oriolerill::membership
