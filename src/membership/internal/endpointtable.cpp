#include "membership/endpointtable.h"

#include <algorithm>
#include <chrono>

namespace oriolerill::membership {

using domain::TimePoint;

namespace {

constexpr int SuspectAfterIntervals = 3;
constexpr int DeadAfterIntervals = 10;
// Dead records are kept, so that late messages of the same incarnation are recognized.
constexpr domain::Duration ForgetAfter = std::chrono::minutes(10);
// The platform's list flaps; a VM counts as staying when several lists in a row say so.
constexpr unsigned ListsUntilStaying = 3;

int severity(protocol::EndpointState state)
{
    if (state == protocol::ENDPOINT_STATE_DEAD)
        return 2;
    return state == protocol::ENDPOINT_STATE_SUSPECT ? 1 : 0;
}

bool isNewer(const EndpointRecord &record, const EndpointRecord &known)
{
    if (record.incarnation != known.incarnation)
        return record.incarnation > known.incarnation;
    if (record.sequence != known.sequence)
        return record.sequence > known.sequence;
    return severity(record.state) > severity(known.state);
}

/// True when others have to learn of the difference; load travels on answers.
bool isMaterial(const EndpointRecord &a, const EndpointRecord &b)
{
    return a.incarnation != b.incarnation || a.state != b.state || a.service != b.service
            || a.activeDigest != b.activeDigest || a.requestAddress != b.requestAddress
            || a.controlAddress != b.controlAddress;
}

} // namespace

bool EndpointTable::isJudge(const Member &member)
{
    return member.hasContradicted || (member.isHome && !member.isHeardElsewhere);
}

bool EndpointTable::onHeartbeat(
        const EndpointRecord &record, TimePoint now, domain::Duration interval)
{
    if (!adopt(record, now))
        return false;
    Member &member = m_members[record.id];
    member.interval = interval;
    member.isDirect = true;
    member.isHeardElsewhere = false;
    return true;
}

bool EndpointTable::onRelayed(const EndpointRecord &record, TimePoint now)
{
    const auto found = m_members.find(record.id);
    if (found == m_members.end())
        return adopt(record, now);
    Member &member = found->second;
    const int accusation = severity(record.state);
    if (isNewer(record, member.record)) {
        const bool wasSilent = severity(member.record.state) > accusation;
        adopt(record, now);
        member.isDirect = false;
        member.hasContradicted = false;
        member.isHeardElsewhere = wasSilent;
        return true;
    }
    if (member.isDirect && severity(member.record.state) < accusation) {
        member.hasContradicted = true;
        touch(member);
    }
    return false;
}

bool EndpointTable::adopt(const EndpointRecord &record, TimePoint now)
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
    member.heardAt = now;
    if (isNew || isMaterial(before, member.record))
        touch(member);
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
    } else if (member.isListedLeaving && member.listsWithoutLeaving >= ListsUntilStaying) {
        member.isListedLeaving = false;
        if (severity(member.record.state) == 0)
            setState(member, member.reported);
    }
}

void EndpointTable::chooseHomes(
        const std::function<bool(const domain::EndpointId &)> &isHome, TimePoint now)
{
    for (auto &[id, member] : m_members) {
        const bool wasJudge = isJudge(member);
        member.isHeardElsewhere = false;
        member.isHome = isHome(id);
        // A new judge waits for heartbeats first.
        if (isJudge(member) && !wasJudge)
            member.heardAt = now;
    }
}

void EndpointTable::onPause(domain::Duration duration)
{
    for (auto &[id, member] : m_members)
        member.heardAt += duration;
}

void EndpointTable::expire(TimePoint now, domain::Duration interval)
{
    for (auto it = m_members.begin(); it != m_members.end();) {
        Member &member = it->second;
        const domain::Duration silence = now - member.heardAt;
        const bool isDead = member.record.state == protocol::ENDPOINT_STATE_DEAD;
        if (isDead && silence > ForgetAfter) {
            it = m_members.erase(it);
            continue;
        }
        ++it;
        if (!isJudge(member) || isDead)
            continue;
        const domain::Duration longest = std::max(interval, member.interval);
        if (silence > DeadAfterIntervals * longest)
            setState(member, protocol::ENDPOINT_STATE_DEAD);
        else if (silence > SuspectAfterIntervals * longest)
            setState(member, protocol::ENDPOINT_STATE_SUSPECT);
    }
}

void EndpointTable::setState(Member &member, protocol::EndpointState state)
{
    if (member.record.state == state)
        return;
    member.record.state = state;
    touch(member);
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
        if (isOwn(member) && member.changedAt > count)
            changes.push_back(member.record);
    }
    return changes;
}

std::uint64_t EndpointTable::newestOwnChange() const
{
    std::uint64_t newest = 0;
    for (const auto &[id, member] : m_members) {
        if (isOwn(member))
            newest = std::max(newest, member.changedAt);
    }
    return newest;
}

} // namespace oriolerill::membership
