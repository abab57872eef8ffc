#pragma once

#include "domain/configversion.h"
#include "domain/timepoint.h"
#include "objectstore/freshnessdeadline.h"
#include "objectstore/iobjectstore.h"
#include "objectstore/readstagger.h"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>

#include <functional>
#include <memory>
#include <optional>
#include <random>
#include <string>
#include <vector>

namespace oriolerill::objectstore {

namespace internal {
class CopyState;
class ReadSchedule;
} // namespace internal

/// Callbacks of one subscriber; they run on the thread of its context.
struct CollectionSink
{
    /// The complete collection: at the start and whenever changes may have been missed.
    std::function<void(const ObjectList &)> onList;
    std::function<void(const ObjectList &)> onChanges;
    /// The first of consecutive failed calls. A watch that the store ends before its time is none.
    std::function<void()> onStoreLost;
    /// The store answers again after failures, or a publisher's update was accepted.
    std::function<void()> onStoreBack;
    /// Changes received by a watch of this process, in addition to onChanges; after is the version
    /// of the last change before them.
    std::function<void(domain::ConfigVersion after, const ObjectList &changes)> onWatchedChanges;
    /// The store had this version at the time: an answer to a call of this process proves it.
    std::function<void(domain::ConfigVersion version, domain::TimePoint provenAt)> onStoreVersion;
    /// A list of a newer era replaces a copy of an older one; called before onList.
    std::function<void()> onEraChanged;
    /// A call that does not wait for changes, sent at this time, has failed. A waiting watch
    /// without an answer may have been lost long before.
    std::function<void(domain::TimePoint sentAt)> onCallFailed;
};

/// A version of the store that a copy reflects, and the time at which the store last had no newer
/// change of the collection.
struct ProvenVersion
{
    domain::ConfigVersion version;
    domain::TimePoint provenAt;
};

/// Where the changes that are being applied come from.
struct ChangeOrigin
{
    /// They were made after this time: that of the last proof of the copy before them.
    domain::TimePoint madeAfter;
    /// For the log: a call to the store, another entry's copy, or a publisher's update.
    const char *source = "";
};

struct StoreSubscriberOptions
{
    /// Time that one watch waits for changes. The store counts each call, so a longer wait is
    /// cheaper, but a watch that a failing store has lost is detected only at its end.
    domain::Duration watchTimeout = std::chrono::milliseconds(5000);
    /// The same while peer versions are received, which reveal a missed change.
    domain::Duration peerBackedWatchTimeout = std::chrono::milliseconds(25000);
    /// Validity of a peer's version; peers send it twice a second.
    domain::Duration peerVersionLifetime = std::chrono::milliseconds(3000);
    /// A change at a peer's version that the own watch has not received after this time counts as
    /// missed.
    domain::Duration peerVersionTimeout = std::chrono::milliseconds(400);
    /// Minimum time between two refreshes.
    domain::Duration minRefreshInterval = std::chrono::milliseconds(1000);
    /// Watch timeout for a large collection in a process that is no publisher: each waiting watch
    /// transfers every change once more over the link that the publishers use.
    domain::Duration subscriberWatchTimeout = std::chrono::milliseconds(1000);
    /// Time for the answer to a call; for a watch, in addition to its wait.
    domain::Duration answerTimeout = std::chrono::milliseconds(1000);
    /// Sufficient for a store that is sixty times slower than its stated 4 ms a call.
    domain::Duration listTimeout = std::chrono::milliseconds(1500);
    /// Delay after each call, so that a series of changes costs one call.
    domain::Duration coalescingDelay = std::chrono::milliseconds(0);
    domain::Duration minRetryDelay = std::chrono::milliseconds(100);
    domain::Duration maxRetryDelay = std::chrono::milliseconds(800);
    /// Time to wait for missing changes from another publisher. Two publishers send each change, so
    /// one lost datagram does not cause a store read.
    domain::Duration gapTimeout = std::chrono::milliseconds(500);
    /// Retry delay while publishers report that they cannot reach the store. The store may answer
    /// some processes and not others, so each process still retries.
    domain::Duration publisherLossRetryDelay = std::chrono::milliseconds(2500);
    /// Validity of a publisher's update; the collection is not watched meanwhile. Publishers send
    /// updates twice a second, without changes too: after two lost updates this process watches the
    /// collection itself.
    domain::Duration updateLifetime = std::chrono::milliseconds(1200);
    /// Maximum time from the moment at which a change may have been missed to the own read of the
    /// store; all waits share it. Unlimited where nothing depends on the age of the copy.
    domain::Duration freshnessBudget = domain::Duration::max();
    /// Maximum age of the proof that a publisher's update carries; a copy whose last proof is older
    /// is read from the store. With a read stagger, the delay of the own rank applies instead.
    domain::Duration maxProofAge = std::chrono::milliseconds(3500);
    /// Time from the last proof of the copy to when it is overdue, if a publisher has sent a change
    /// that the copy lacks, or the store answers this process and the proof was not renewed.
    /// Unlimited where nothing depends on it.
    domain::Duration maxBehindTime = domain::Duration::max();
    /// Time from the last unanswered call to when the copy is overdue, if the store answers this
    /// process again and the copy is still not proved. Unlimited where nothing depends on it.
    domain::Duration maxUnprovenTime = domain::Duration::max();
};

/// Keeps a copy of one collection of the store up to date.
///
/// Lists the collection, then watches it or applies the updates of publishers. Reads it again when
/// the store no longer has the changes, or when a peer's version shows a missed change: a store
/// that loses answers leaves a watch waiting.
class StoreSubscriber
{
public:
    StoreSubscriber(boost::asio::io_context &context, IObjectStore &store, std::string collection,
            CollectionSink sink, StoreSubscriberOptions options = {});
    ~StoreSubscriber();
    StoreSubscriber(const StoreSubscriber &) = delete;
    StoreSubscriber &operator=(const StoreSubscriber &) = delete;

    /// Runs until the context stops.
    boost::asio::awaitable<void> run();
    /// The collection is not watched while the function returns false, because its changes arrive
    /// by another path; it is listed when the function returns true again.
    void setWatchCondition(std::function<bool()> isWatchNeeded)
    {
        m_isWatchNeeded = std::move(isWatchNeeded);
    }
    /// Reads the collection beside the waiting watch: at once, or with a staggered read after the
    /// delay of this process's rank unless a publisher has confirmed the copy by then.
    void refresh();
    /// Schedules a read of the store for the deadline, in case the copy is still possibly stale
    /// then and only a waiting watch, which may have been lost, could confirm it.
    void scheduleConfirmation();
    /// Version of the store that the copy reflects; zero before the first list.
    domain::ConfigVersion appliedVersion() const;
    /// Version of the last applied change.
    domain::ConfigVersion lastChangeVersion() const;
    /// A peer has applied a change at this version.
    void onPeerVersion(domain::ConfigVersion version, domain::TimePoint now);
    /// A publisher has sent an update: the changes up to the store version of the list; after is
    /// the version of the last change before them. Changes too large to be sent are omitted; they
    /// can be fetched from the publisher. provenAt is when the store last proved the publisher's
    /// copy; now if empty.
    void onPublishedChanges(domain::ConfigVersion after, const ObjectList &changes,
            domain::TimePoint now, bool isOmitted = false,
            std::optional<domain::TimePoint> provenAt = std::nullopt);
    /// Another subscriber of this process received proof that the store had this version.
    void onStoreVersion(domain::ConfigVersion version, domain::TimePoint provenAt);
    /// Reads the changes beside the waiting watch, which proves nothing until it ends, if the last
    /// proof of the copy is older than this age and no call is pending.
    void proveIfOlderThan(domain::Duration age, domain::TimePoint now);
    /// When the store last proved the copy: no change of the collection before this time is
    /// missing.
    domain::TimePoint provenAt() const;
    /// Origin of the changes that the sink is called with; valid during that call.
    const ChangeOrigin &changeOrigin() const { return m_changeOrigin; }
    /// A publisher reports that it cannot reach the store. It may have sent its last updates after
    /// the connection was lost, so they no longer confirm the copy.
    void onPublisherStoreLoss(domain::TimePoint now);
    /// A publisher's update or loss report was received within the lifetime of an update.
    bool isPublisherActive(domain::TimePoint now) const;
    const std::string &collection() const { return m_collection; }
    /// Neither a publisher nor the store has confirmed the copy for longer than the interval
    /// between confirmations in normal operation. False in publishers, whose watches may wait
    /// longer.
    bool isUnconfirmed(domain::TimePoint now) const;
    /// Version of the store that the copy reflects, if a watch or list of this process confirmed
    /// it recently; versions received from publishers are not published again.
    std::optional<ProvenVersion> confirmedVersion(domain::TimePoint now) const;
    bool isFailing() const;
    /// A change was published that the copy does not contain yet.
    bool isBehind() const;
    /// At the end of the bound, the copy still lacks a change that a publisher of the data centre
    /// has, or is still not proved after an outage that has ended.
    bool isOverdue(domain::TimePoint now) const;
    /// Calls to the store are suspended after a failure while the function returns true, at most
    /// for the remaining freshness budget.
    void setSuspendCondition(std::function<bool()> isSuspended)
    {
        m_isSuspended = std::move(isSuspended);
    }
    /// After a failure another subscriber of this process probes whether the store answers again;
    /// its unanswered calls count for this one. The probe must outlive this subscriber.
    void setProbe(StoreSubscriber &probe);
    /// For a large collection: while the copy is possibly stale it is fetched from peers, and read
    /// from the store only after the delay of this process's rank. The stagger must outlive this
    /// subscriber.
    void setReadStagger(const ReadStagger &stagger);
    using PeerFetch = std::function<boost::asio::awaitable<domain::Expected<ObjectList>>(
            domain::TimePoint deadline)>;
    /// Fetches the collection from a publisher; tried before the store when updates leave a gap.
    void setPeerFetch(PeerFetch fetch);
    /// The complete collection, for peers that fetch it; empty without keepCollectionCopy().
    const ObjectList &collectionCopy() const;
    void keepCollectionCopy();

private:
    struct StepRunner;

    boost::asio::awaitable<bool> step();
    boost::asio::awaitable<bool> listOnce();
    boost::asio::awaitable<bool> watchOnce(domain::Duration time, bool isProofExpired);
    boost::asio::awaitable<void> listUntilAnswered();
    boost::asio::awaitable<void> proveOnce();
    /// Starts proveOnce() unless a call is pending that does not wait for changes.
    void startProof(domain::TimePoint now);
    boost::asio::awaitable<void> confirmAtDeadline();
    void beginRefresh(domain::TimePoint now);
    bool isLarge() const;
    boost::asio::awaitable<void> wait(domain::Duration duration);
    domain::Duration retryDelay();
    /// An announced change is missing.
    void onMissing();
    boost::asio::awaitable<bool> listFromPeer(domain::TimePoint deadline);
    /// Fetches a large collection from publishers until no announced change is missing, whatever
    /// call to the store is pending.
    boost::asio::awaitable<void> fetchFromPeers();
    /// Reads the changes since the applied version without waiting for further ones.
    boost::asio::awaitable<bool> catchUpOnce();
    boost::asio::awaitable<bool> refreshOnce();
    void applyWatchedChanges(const ObjectList &changes, const char *source);
    void applyList(const ObjectList &list, const char *source);
    /// The store does not have the changes since the applied version.
    void onHistoryGone();
    /// The store has ended a waiting watch before its time.
    void onWatchCut(const domain::Error &error);
    /// An answer of the store is of an older era than the copy.
    void logOutdatedAnswer(const ObjectList &answer) const;
    /// A call that does not wait, sent at this time, has failed.
    void onFailure(const domain::Error &error, domain::TimePoint sentAt);
    /// Logs a failed call, and probes whether the store is unreachable.
    void reportFailure(const domain::Error &error);
    /// An answer of the store confirmed the copy up to this version and time.
    void onStoreSuccess(domain::ConfigVersion version, domain::TimePoint provenAt);
    void onStoreAnswered();
    /// The store has answered, or a publisher has confirmed the copy.
    void onAnswered();

    boost::asio::io_context &m_context;
    IObjectStore &m_store;
    std::string m_collection;
    CollectionSink m_sink;
    StoreSubscriberOptions m_options;
    std::unique_ptr<internal::CopyState> m_state;
    std::unique_ptr<internal::ReadSchedule> m_schedule;
    std::function<bool()> m_isWatchNeeded;
    ChangeOrigin m_changeOrigin;
    bool m_isRefreshing = false;
    /// A read that proves the copy is pending beside the waiting watch, and when it was last sent.
    bool m_isProving = false;
    domain::TimePoint m_proofRequestedAt;
    /// A watch that waits for changes is pending.
    bool m_isWatchWaiting = false;
    bool m_isConfirmationScheduled = false;
    bool m_isFetchingFromPeers = false;
    domain::TimePoint m_refreshedAt;
    /// An update or a newer version cancelled the delay after a failure.
    bool m_isRetryDelayCancelled = false;
    std::function<bool()> m_isSuspended;
    PeerFetch m_peerFetch;
    StoreSubscriber *m_probe = nullptr;
    std::mt19937 m_random{std::random_device{}()};
    /// The last step called the store.
    bool m_hasCalled = true;
};

} // namespace oriolerill::objectstore
