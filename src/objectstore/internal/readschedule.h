#pragma once

#include "objectstore/internal/copystate.h"

#include <cstdint>
#include <optional>
#include <variant>
#include <vector>

namespace oriolerill::objectstore::internal {

/// Fetch the collection from a publisher.
struct FetchFromPeer
{
    /// Latest end of the fetch.
    domain::TimePoint deadline;
};

/// Read the complete collection from the store.
struct ListStore
{};

/// Read the changes since the copy from the store.
struct WatchStore
{
    /// Time to wait for further changes; zero reads the changes that exist.
    domain::Duration wait = {};
    /// The publishers' proof of the copy has expired.
    bool isProofExpired = false;
};

/// The changes arrive by another path; list the collection when that ends.
struct AwaitOtherPath
{
    domain::Duration checkInterval = {};
};

/// Call nobody for this time.
struct Pause
{
    domain::Duration time = {};
};

using ReadStep = std::variant<FetchFromPeer, ListStore, WatchStore, AwaitOtherPath, Pause>;

/// Decides when and from whom a subscriber reads its collection: the store, a publisher, or nobody
/// yet. Without I/O, clock and random numbers.
class ReadSchedule
{
public:
    /// The copy must outlive this object.
    ReadSchedule(const StoreSubscriberOptions &options, CopyState &copy);

    /// The schedule of the subscriber that probes the store for this one; it must outlive this.
    void setProbe(ReadSchedule &probe);
    void setHasPeers() { m_hasPeers = true; }

    /// The fetch of a large collection from a publisher that is due now, beside any call to the
    /// store.
    std::optional<FetchFromPeer> peerFetch(domain::TimePoint now);
    /// The next step at this time. isOtherPathUsed: changes arrive by another path; isSuspended:
    /// the process makes no calls to the store after a failure.
    ReadStep next(domain::TimePoint now, bool isOtherPathUsed, bool isSuspended);
    /// A fetch from a publisher brought nothing.
    void onPeerMissed(domain::TimePoint now);
    /// Delay after a failed call; the jitter is between 0 and 1.
    domain::Duration retryDelay(domain::TimePoint now, double jitter) const;
    domain::Duration watchTimeout(domain::TimePoint now) const;

    /// A call that does not wait for changes was sent, and has ended.
    void onCallSent(domain::TimePoint now) { m_sentAt = now; }
    void onCallEnded() { m_sentAt.reset(); }
    /// A call that does not wait, sent at this time, has failed.
    void onFailure(domain::TimePoint sentAt);
    /// A waiting watch that was sent at this time got no answer. False if the store has answered
    /// later calls, so that only the watch was lost: it is to be repeated, and counts as no
    /// failure.
    bool onWatchFailure(domain::TimePoint sentAt, domain::TimePoint now);
    /// The store has ended a waiting watch before its time, which counts as no failure: the next
    /// read shows whether the store still answers.
    void onWatchCut(domain::TimePoint now);
    /// A watch has waited until its end or until a change.
    void onWatchCompleted() { m_cutWatches = 0; }
    /// The store has answered a call.
    void onStoreAnswered(domain::TimePoint now);
    /// The store has answered, or a publisher has confirmed the copy. Yields the number of failed
    /// calls before.
    std::uint32_t onAnswered();
    std::uint32_t failures() const { return m_failures; }
    bool isFailing() const { return m_failures > 0; }
    /// The store has answered another call of this process, sent at this time, after the last
    /// failure.
    bool isRetryUseful(domain::TimePoint answeredCallSentAt) const
    {
        return isFailing() && answeredCallSentAt > m_failedCallSentAt;
    }
    /// Other subscribers use this one as their probe.
    bool isProbe() const { return !m_dependants.empty(); }
    bool isProbeFailing() const { return m_probe != nullptr && m_probe->isFailing(); }
    /// The last calls of this process were not answered.
    bool isStoreFailing() const { return isFailing() || isProbeFailing(); }
    /// A read beside a waiting watch is due: only the watch, which may have been lost, could
    /// confirm the copy.
    bool isRefreshDue(domain::TimePoint now) const;

private:
    bool isLarge() const { return m_copy.readStagger() != nullptr; }
    bool isSuspended(domain::TimePoint now, bool isProcessSuspended) const;
    /// A call that does not wait for changes is pending within its answer timeout.
    bool isAwaitingAnswer(domain::TimePoint now) const;
    /// The last failed call was sent before the first sign of the store's return.
    bool hasFailedBeforeReturn() const { return m_failedCallSentAt < m_returnedAt; }
    /// The last call has failed, but the store has probably returned: it has answered the probe, or
    /// no longer turns calls away.
    bool isProbablyReturned(domain::TimePoint now) const;

    StoreSubscriberOptions m_options;
    CopyState &m_copy;
    ReadSchedule *m_probe = nullptr;
    /// Schedules that use this one as their probe.
    std::vector<ReadSchedule *> m_dependants;
    bool m_hasPeers = false;
    std::uint32_t m_failures = 0;
    /// Consecutive watches that the store has ended before their time.
    std::uint32_t m_cutWatches = 0;
    /// Consecutive failed calls that did not wait.
    std::uint32_t m_unansweredCalls = 0;
    /// When the pending call that does not wait was sent.
    std::optional<domain::TimePoint> m_sentAt;
    /// When the store last answered.
    domain::TimePoint m_answeredAt;
    /// When the last failed call was sent.
    domain::TimePoint m_failedCallSentAt;
    /// When the probe was first answered after an outage.
    domain::TimePoint m_returnedAt;
    /// Unanswered calls that are repeated without the full delay, after calls that failed earlier
    /// than at their timeout.
    std::uint32_t m_lostCallsLeft = 0;
    /// When publishers are asked again after a fetch that brought nothing.
    domain::TimePoint m_peerRetryAt;
};

} // namespace oriolerill::objectstore::internal
