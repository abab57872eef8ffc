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

/// Identifies one attempt over all entries.
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

/// The attempt runs or has run: read its answer.
struct AttachAttempt
{
    std::shared_ptr<RunningAttempt> attempt;
};

/// The attempt has not run and will not run here.
struct RefuseAttempt
{};

/// This process cannot say whether the attempt ran.
struct UnknownAttempt
{};

using AttemptAdmission = std::variant<RunAttempt, AttachAttempt, RefuseAttempt, UnknownAttempt>;

struct AttemptRegistryOptions
{
    std::size_t maxRecords = 100'000;
    /// Time for which a finished attempt is remembered.
    domain::Duration recordRetention = std::chrono::minutes(2);
};

/// Remembers the attempts that this process has seen, so that none runs twice and "not run" is said
/// only when it is true. Not safe for concurrent use.
class AttemptRegistry
{
public:
    AttemptRegistry(domain::Incarnation incarnation, AttemptRegistryOptions options);

    AttemptAdmission admit(const protocol::Attempt &attempt, domain::TimePoint now);
    /// Records the attempt that runs after RunAttempt.
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
    /// Highest sequence among the forgotten attempts of each sender.
    std::map<domain::Incarnation, std::uint64_t> m_evictedSequences;
};

} // namespace oriolerill::requests
