#pragma once

#include "domain/timepoint.h"
#include "objectstore/freshnessdeadline.h"
#include "objectstore/iobjectstore.h"
#include "objectstore/readstagger.h"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>

#include <functional>
#include <map>
#include <optional>
#include <random>
#include <string>
#include <vector>

namespace oriolerill::objectstore {

/// What one follower does with what it reads; runs on the thread of the context.
struct CollectionSink
{
    /// The whole collection, at the start and whenever changes may have been missed.
    std::function<void(const ObjectList &)> onList;
    std::function<void(const ObjectList &)> onChanges;
    /// The store has stopped to answer, or answers again.
    std::function<void()> onLost;
    std::function<void()> onBack;
    /// What a watch of this process has brought, beside onChanges; after is the revision of the
    /// last change before.
    std::function<void(std::uint64_t after, const ObjectList &changes)> onWatchedChanges;
};

struct StoreSubscriberOptions
{
    /// Longest time that one watch waits. The store counts each call, so a longer wait is cheaper;
    /// a watch that a failing store has forgotten is noticed only at its end.
    domain::Duration watchTime = std::chrono::milliseconds(5000);
    /// The same while others would tell of a change that is missed here.
    domain::Duration backedWatchTime = std::chrono::milliseconds(25000);
    /// Others' word counts for this long; it comes twice a second.
    domain::Duration hintLife = std::chrono::milliseconds(3000);
    /// A change that others know of reaches the own watch within this time, or was missed.
    domain::Duration hintPatience = std::chrono::milliseconds(400);
    /// Least time between two lists for what others know.
    domain::Duration refreshInterval = std::chrono::milliseconds(1000);
    /// The same for a large collection in a process that is no publisher: a watch that waits brings
    /// each change of it once more over the link that the publishers use.
    domain::Duration subscriberWatchTime = std::chrono::milliseconds(1000);
    /// Time beyond the wait after which a watch counts as lost.
    domain::Duration answerTime = std::chrono::milliseconds(1000);
    /// Ample for a store that is sixty times slower than the 4 ms that it states.
    domain::Duration listTime = std::chrono::milliseconds(1500);
    /// Pause after changes, so that several changes cost one call.
    domain::Duration coalescingDelay = std::chrono::milliseconds(0);
    domain::Duration minRetryDelay = std::chrono::milliseconds(100);
    domain::Duration maxRetryDelay = std::chrono::milliseconds(800);
    /// Changes that are missing here are awaited from another process for this long; with two that
    /// tell them, a lost datagram costs no call.
    domain::Duration gapPatience = std::chrono::milliseconds(500);
    /// The same while another process finds out for this one when the store answers again. It may
    /// answer some and not others, so each still asks.
    domain::Duration sharedRetryPause = std::chrono::milliseconds(2500);
    /// While others tell all changes the collection is not watched here. They tell that there are
    /// none twice a second; after two of these were lost, this process watches itself.
    domain::Duration sharedLife = std::chrono::milliseconds(1200);
    /// Time from the moment at which a change may have been missed to the own call that looks for
    /// it; all waits share it. Unlimited where nothing depends on the age of the copy.
    domain::Duration freshnessBudget = domain::Duration::max();
};

/// Keeps a copy of one collection of the store up to date: lists it, then watches for changes;
/// lists again when the store no longer has the changes, or when others know of one that has not
/// come: a store that loses answers leaves a watch waiting for nothing.
class StoreSubscriber
{
public:
    StoreSubscriber(boost::asio::io_context &context, IObjectStore &store, std::string collection,
            CollectionSink sink, StoreSubscriberOptions options = {});

    /// Runs until the context stops.
    boost::asio::awaitable<void> run();
    /// The collection is not watched while the function returns false, because its changes come by
    /// another way; it is listed when it returns true again.
    void setWatchCondition(std::function<bool()> isNeeded) { m_isNeeded = std::move(isNeeded); }
    /// Lists the collection, whatever becomes of the watch that is waiting: now, or with turns when
    /// it is this process's turn and no publisher has confirmed the copy until then.
    void refresh();
    /// Calls the store at the deadline if the copy is in doubt then and only a waiting watch of
    /// this process could confirm it, which may have been lost.
    void watchDeadline();
    /// Revision of the store up to which the collection is known; zero before the first list.
    std::uint64_t appliedRevision() const { return m_version.revision; }
    /// Revision of the last change that was seen here.
    std::uint64_t lastChangeRevision() const { return m_changedAt; }
    /// Another process has seen a change at this revision.
    void onPeerRevision(std::uint64_t lastChangeRevision, domain::TimePoint now);
    /// Another process has read these changes, up to the revision of the list; the last change
    /// before them was at the other one. Changes too large to be sent are omitted; the sender has
    /// them.
    void onPublishedChanges(std::uint64_t after, const ObjectList &changes, domain::TimePoint now,
            bool isOmitted = false);
    /// A publisher cannot reach the store. Its last updates may have been sent after the
    /// connection was lost, so they no longer confirm the copy.
    void onPublisherStoreLoss(domain::TimePoint now);
    /// Others have told lately what the collection holds, or that the store is lost.
    bool isSharedLately(domain::TimePoint now) const;
    const std::string &collection() const { return m_collection; }
    /// Neither a publisher nor the store has confirmed the copy for longer than they need while all
    /// is well. A publisher is not asked: its watch may wait for long.
    bool isUnconfirmed(domain::TimePoint now) const;
    /// Revision of the store up to which the collection is known, if a watch or list of this
    /// process brought it lately; what was told by others is not told again.
    std::optional<std::uint64_t> confirmedRevision(domain::TimePoint now) const;
    bool isFailing() const { return m_failures > 0; }
    /// A change was published that is not known here yet.
    bool isBehind() const { return m_missingSince.has_value() || m_behindSince.has_value(); }
    /// After a failure, suspends calls to the store while the function returns true, at most for
    /// the remaining freshness budget.
    void setHeldBack(std::function<bool()> isHeldBack) { m_isHeldBack = std::move(isHeldBack); }
    /// After a failure another follower of this process finds out when the store answers again;
    /// its unanswered calls count for this one. It must live as long as this one.
    void setProbe(StoreSubscriber &probe);
    /// A large collection: while its copy is in doubt it is read from the store only from this
    /// process's turn on, and from peers until then. The turns must live as long as this one.
    void setReadStagger(const ReadStagger &turns) { m_turns = &turns; }
    using PeerFetch = std::function<boost::asio::awaitable<domain::Expected<ObjectList>>(
            domain::TimePoint deadline)>;
    /// A gap in what was told is closed from the process that told it, if that works.
    void setPeerFetch(PeerFetch list) { m_peerList = std::move(list); }
    /// The last list or change, for those that read it from this process.
    const ObjectList &collectionCopy() const { return m_lastList; }
    void keepCollectionCopy() { m_keepsLastList = true; }

private:
    boost::asio::awaitable<bool> step();
    boost::asio::awaitable<bool> listOnce();
    boost::asio::awaitable<bool> watchOnce();
    boost::asio::awaitable<void> listUntilAnswered();
    boost::asio::awaitable<void> confirmAtDeadline();
    void beginRefresh(domain::TimePoint now);
    bool isHeldBack(domain::TimePoint now) const;
    /// From when on the store may be read because of the doubt.
    domain::TimePoint turnAt() const;
    /// Publishers were received before, and another process's turn to take over comes first.
    bool isTakeoverAwaited(domain::TimePoint now) const;
    /// A call that does not wait for changes is on its way, and is not late.
    bool isAwaitingAnswer(domain::TimePoint now) const;
    boost::asio::awaitable<void> wait(domain::Duration duration);
    domain::Duration retryPause();
    domain::Duration watchTime() const;
    bool isShared(domain::TimePoint now) const;
    /// A change up to this revision exists that this process does not have.
    void noteMissing(std::uint64_t revision, domain::TimePoint now);
    /// Drops changes of objects whose later state is known already.
    ObjectList newerThanKnown(const ObjectList &changes);
    boost::asio::awaitable<bool> listFromPeer();
    /// Asks for the changes that there are, without waiting for more.
    boost::asio::awaitable<bool> catchUpOnce();
    boost::asio::awaitable<bool> refreshOnce();
    void takeWatched(const ObjectList &changes);
    void takeList(const ObjectList &list);
    void keep(const ObjectList &changes);
    void note(const ObjectList &objects);
    /// sentAt is when the store was last known to be reachable: when a call was sent that does not
    /// wait, or when a waiting watch failed.
    void onFailure(const domain::Error &error, domain::TimePoint sentAt);
    /// The copy is current.
    void onSuccess();
    void onOwnSuccess();
    void onAnswered();

    boost::asio::io_context &m_context;
    IObjectStore &m_store;
    std::string m_collection;
    CollectionSink m_sink;
    StoreSubscriberOptions m_options;
    FreshnessDeadline m_freshness;
    domain::ConfigVersion m_version;
    bool m_hasList = false;
    std::uint32_t m_failures = 0;
    std::function<bool()> m_isNeeded;
    std::uint64_t m_changedAt = 0;
    /// Grows with each list; a watch that was begun before may bring what the list has overtaken.
    std::uint64_t m_generation = 0;
    bool m_isRefreshing = false;
    /// A watch waits for changes.
    bool m_isWatchWaiting = false;
    bool m_isDeadlineWatched = false;
    domain::TimePoint m_refreshedAt;
    domain::TimePoint m_hintedAt;
    /// Since when others know of a change that is not known here.
    std::optional<domain::TimePoint> m_behindSince;
    /// Revision of the last change of each object, of its removal too.
    std::map<std::string, std::uint64_t> m_objectRevisions;
    domain::TimePoint m_sharedAt;
    /// Changes were told that begin after what is known here.
    bool m_hasGap = false;
    /// Others have told something that ends the pause after a failure.
    bool m_isWoken = false;
    /// Since when changes are missing that were told, and the last of them.
    std::optional<domain::TimePoint> m_missingSince;
    std::uint64_t m_missing = 0;
    domain::TimePoint m_sharedLossAt;
    /// Begin of the series of losses that the last one belongs to.
    domain::TimePoint m_sharedLossSince;
    const ReadStagger *m_turns = nullptr;
    std::function<bool()> m_isHeldBack;
    StoreSubscriber *m_probe = nullptr;
    /// Followers whose probe this one is.
    std::vector<StoreSubscriber *> m_dependants;
    /// When the call was sent that is on its way.
    std::optional<domain::TimePoint> m_sentAt;
    PeerFetch m_peerList;
    /// Whole collection as far as it is known; kept for small numbers of large objects only.
    ObjectList m_lastList;
    bool m_keepsLastList = false;
    std::mt19937 m_random{std::random_device{}()};
    domain::TimePoint m_answeredAt;
    /// Last answer of the store to a call of this process.
    domain::TimePoint m_ownAnsweredAt;
    /// The last step has called the store.
    bool m_hasCalled = true;
};

} // namespace oriolerill::objectstore
