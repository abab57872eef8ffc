#pragma once

#include "domain/quantity.h"
#include "domain/strongid.h"
#include "domain/timepoint.h"
#include "protocol/control.pb.h"

#include <compare>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <memory>
#include <variant>
#include <vector>

namespace oriolerill::requests {

class RunningAttempt;

/// Identifies an attempt uniquely among those of all entries.
struct AttemptKey
{
    domain::RequestId request;
    std::uint32_t attempt = 0;
    domain::Incarnation sender;

    static AttemptKey of(const protocol::Attempt &attempt);
    friend auto operator<=>(const AttemptKey &, const AttemptKey &) = default;
};

/// The attempt is new: run it.
struct RunAttempt
{};

/// The attempt is running or has run: read its answer.
struct AttachAttempt
{
    std::shared_ptr<RunningAttempt> attempt;
};

/// The attempt has not run and will not run in this process.
struct RefuseAttempt
{};

/// This process cannot determine whether the attempt ran.
struct UnknownAttempt
{};

using AttemptAdmission = std::variant<RunAttempt, AttachAttempt, RefuseAttempt, UnknownAttempt>;

struct AttemptRegistryOptions
{
    std::size_t maxRecords = 100'000;
    /// Time for which the record of a finished attempt is kept.
    domain::Duration recordRetention = std::chrono::minutes(2);
};

/// Records the attempts that this process has received, so that none runs twice and "not run" is
/// reported only when it is certain. Not safe for concurrent use.
class AttemptRegistry
{
public:
    AttemptRegistry(domain::Incarnation incarnation, AttemptRegistryOptions options);

    AttemptAdmission admit(const protocol::Attempt &attempt, domain::TimePoint now);
    /// Records the attempt that was started after RunAttempt.
    void started(
            const AttemptKey &key, std::uint64_t sequence, std::shared_ptr<RunningAttempt> attempt);
    void finished(const AttemptKey &key, domain::TimePoint now);
    std::size_t size() const { return m_records.size(); }

private:
    struct Record
    {
        /// Null for a refused attempt.
        std::shared_ptr<RunningAttempt> attempt;
        std::uint64_t sequence = 0;
    };
    struct Expiry
    {
        domain::TimePoint at;
        AttemptKey key;
    };

    AttemptAdmission admitUnseen(const protocol::Attempt &attempt, domain::TimePoint now);
    bool mayHaveBeenEvicted(const protocol::Attempt &attempt) const;
    void evictRecords(domain::TimePoint now);

    domain::Incarnation m_incarnation;
    AttemptRegistryOptions m_options;
    std::map<AttemptKey, Record> m_records;
    std::deque<Expiry> m_expiries;
    /// Highest sequence number among the evicted records of each sender.
    std::map<domain::Incarnation, std::uint64_t> m_evictedSequences;
};

} // namespace oriolerill::requests
