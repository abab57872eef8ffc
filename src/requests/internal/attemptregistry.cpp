#include "requests/attemptregistry.h"

#include <algorithm>
#include <utility>

namespace oriolerill::requests {

using domain::Incarnation;
using domain::TimePoint;

AttemptKey AttemptKey::of(const protocol::Attempt &attempt)
{
    return {domain::RequestId(attempt.request_id()), attempt.attempt(),
            Incarnation(attempt.entry_incarnation())};
}

AttemptRegistry::AttemptRegistry(Incarnation incarnation, AttemptRegistryOptions options)
    : m_incarnation(incarnation)
    , m_options(options)
{}

AttemptAdmission AttemptRegistry::admit(const protocol::Attempt &attempt, TimePoint now)
{
    evictRecords(now);
    const auto found = m_records.find(AttemptKey::of(attempt));
    if (found == m_records.end())
        return admitUnseen(attempt, now);
    if (found->second.attempt)
        return AttachAttempt{found->second.attempt};
    return RefuseAttempt{};
}

AttemptAdmission AttemptRegistry::admitUnseen(const protocol::Attempt &attempt, TimePoint now)
{
    const Incarnation addressed(attempt.receiver_incarnation());
    if (mayHaveBeenEvicted(attempt))
        return UnknownAttempt{};
    if (!attempt.reattach()) {
        const bool isForPredecessor = addressed.count() != 0 && addressed != m_incarnation;
        return isForPredecessor ? AttemptAdmission(RefuseAttempt{}) : RunAttempt{};
    }
    // A predecessor with the same address may have run the attempt; and when the registry is full,
    // a refusal cannot be recorded.
    if (addressed != m_incarnation || m_records.size() >= m_options.maxRecords)
        return UnknownAttempt{};
    const AttemptKey key = AttemptKey::of(attempt);
    m_records[key].sequence = attempt.sequence();
    finished(key, now);
    return RefuseAttempt{};
}

bool AttemptRegistry::mayHaveBeenEvicted(const protocol::Attempt &attempt) const
{
    const auto evicted = m_evictedSequences.find(Incarnation(attempt.entry_incarnation()));
    return evicted != m_evictedSequences.end() && attempt.sequence() <= evicted->second;
}

void AttemptRegistry::started(
        const AttemptKey &key, std::uint64_t sequence, std::shared_ptr<RunningAttempt> attempt)
{
    Record &record = m_records[key];
    record.sequence = sequence;
    record.attempt = std::move(attempt);
}

void AttemptRegistry::finished(const AttemptKey &key, TimePoint now)
{
    m_expiries.push_back({now + m_options.recordRetention, key});
}

void AttemptRegistry::evictRecords(TimePoint now)
{
    while (!m_expiries.empty()
            && (m_expiries.front().at <= now || m_records.size() > m_options.maxRecords)) {
        const AttemptKey key = std::move(m_expiries.front().key);
        m_expiries.pop_front();
        const auto record = m_records.find(key);
        if (record == m_records.end())
            continue;
        std::uint64_t &evicted = m_evictedSequences[key.sender];
        evicted = std::max(evicted, record->second.sequence);
        m_records.erase(record);
    }
}

} // namespace oriolerill::requests
