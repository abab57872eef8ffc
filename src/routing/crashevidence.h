#pragma once

#include "protocol/control.pb.h"
#include "routing/enginecrash.h"

#include <cstddef>
#include <map>
#include <set>
#include <vector>

namespace oriolerill::routing {

struct CrashEvidenceOptions
{
    /// Maximum number of crashes kept, one per request in progress. Beyond it, crashes whose traits
    /// occur in the fewest others are evicted first, and the oldest of these.
    std::size_t maxCrashes = 256;
    /// Maximum number of traits kept of one crash, so that a crash fits into a datagram.
    std::size_t maxTraitsPerCrash = 16;
    /// An answer clears its prompt parts of crashes up to this time later.
    domain::Duration answerLifetime = std::chrono::minutes(1);
    /// The same for a whole request, which callers repeat less often than a part of it. It may have
    /// been answered until something that it depends on changed.
    domain::Duration requestAnswerLifetime = std::chrono::seconds(5);
    /// Lifetime of a crash that has a trait in common with another one.
    domain::Duration lifetime = std::chrono::hours(24);
    /// Lifetime of any other crash.
    domain::Duration singleLifetime = std::chrono::minutes(10);
    /// Older crashes are not news for other processes, which have received them or forgotten them.
    domain::Duration newsLifetime = std::chrono::seconds(5);
    /// Maximum size in bytes of an encoded message, which shares a datagram with other fields.
    std::size_t maxMessageSize = 1100;
    /// Maximum number of answered traits in a message.
    std::size_t maxAnsweredPerMessage = 16;

    domain::Duration answerLifetimeOf(const RequestTrait &trait) const
    {
        return trait.isWholeRequest() ? requestAnswerLifetime : answerLifetime;
    }
};

/// Crashes of engines with the unanswered requests that they ended, as observed by all entries, and
/// the traits of those requests that have been answered elsewhere.
///
/// Merging is commutative and repeatable, so lost, repeated and reordered messages do not matter.
/// No I/O; not safe for concurrent use.
class CrashEvidence
{
public:
    explicit CrashEvidence(CrashEvidenceOptions options = {});

    /// Adds an observation; false when it is known or has expired.
    bool add(const EngineCrash &crash, domain::TimePoint now);
    /// Records that a trait was answered; false unless it is news about a trait of a kept crash.
    bool add(const AnsweredTrait &answered);
    struct MergeResult
    {
        bool isChanged = false;
        /// A recent crash or an answer was not known here.
        bool isNews = false;
    };
    /// Adds the content of another process's message.
    MergeResult merge(const protocol::CrashEvidence &message, domain::TimePoint now);
    void expire(domain::TimePoint now);

    /// One per request; requests of the same engine process belong to the same crash.
    const std::vector<EngineCrash> &crashes() const { return m_crashes; }
    /// The trait is among those of the crash, and no answer to it contradicts that it caused the
    /// crash.
    bool isUnanswered(const RequestTrait &trait, const EngineCrash &crash) const;
    /// The trait is one of a kept crash.
    bool contains(const RequestTrait &trait) const { return m_traits.count(trait) > 0; }
    /// Engine processes that crashed with the trait unanswered.
    std::set<EndpointInstance> enginesCrashedWith(const RequestTrait &trait) const;
    bool isEmpty() const { return m_crashes.empty(); }
    /// Number of crashes that were evicted to make room for others.
    std::uint64_t evictedCount() const { return m_evicted; }
    /// As much as fits into one message: answered traits, then crashes with a trait in common with
    /// others, which take turns, then the newest ones.
    protocol::CrashEvidence encode(domain::TimePoint now) const;

private:
    /// Largest number of crashes that an unanswered trait of this one has in common.
    std::size_t support(const EngineCrash &crash) const;
    void evictOne();
    void indexTraits();

    CrashEvidenceOptions m_options;
    std::vector<EngineCrash> m_crashes;
    std::map<RequestTrait, AnsweredTrait> m_answered;
    /// Engine processes that crashed with each trait, and with the trait unanswered.
    struct TraitEngines
    {
        std::set<EndpointInstance> all;
        std::set<EndpointInstance> unanswered;
    };
    std::map<RequestTrait, TraitEngines> m_traits;
    std::uint64_t m_evicted = 0;
};

} // namespace oriolerill::routing
