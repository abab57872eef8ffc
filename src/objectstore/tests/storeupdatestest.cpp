#include "objectstore/storesubscriber.h"
#include "objectstore/tests/fakeobjectstore.h"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <gtest/gtest.h>

namespace oriolerill::objectstore {

namespace asio = boost::asio;
using namespace std::chrono_literals;
using domain::ConfigVersion;
using domain::Error;
using domain::ErrorKind;
using domain::Expected;
using domain::TimePoint;

namespace {

/// A store that answers watches late or never and records their timeouts, or is down.
class UnresponsiveStore : public IObjectStore
{
public:
    explicit UnresponsiveStore(asio::io_context &context)
        : m_context(context)
    {}

    asio::awaitable<Expected<StoredObject>> read(std::string, TimePoint) override
    {
        co_return Error{ErrorKind::Unavailable, "", ""};
    }
    asio::awaitable<Expected<ObjectList>> list(std::string, TimePoint) override
    {
        ++lists;
        if (isDown)
            co_return Error{ErrorKind::Unavailable, "down", "wait"};
        co_return objects;
    }
    asio::awaitable<Expected<ConfigVersion>> create(std::string, std::string, TimePoint) override
    {
        co_return Error{ErrorKind::Unavailable, "", ""};
    }
    asio::awaitable<Expected<ConfigVersion>> update(
            std::string, std::string, ConfigVersion, TimePoint) override
    {
        co_return Error{ErrorKind::Unavailable, "", ""};
    }
    asio::awaitable<Expected<ConfigVersion>> remove(std::string, ConfigVersion, TimePoint) override
    {
        co_return Error{ErrorKind::Unavailable, "", ""};
    }
    asio::awaitable<Expected<ObjectList>> watch(
            std::string, ConfigVersion, TimePoint deadline) override
    {
        watchTimeouts.push_back(deadline - TimePoint::clock::now());
        asio::steady_timer timer(m_context, watchAnswerDelay);
        co_await timer.async_wait(asio::as_tuple(asio::use_awaitable));
        if (isDown)
            co_return Error{ErrorKind::Unavailable, "down", "wait"};
        co_return watchAnswer;
    }
    asio::awaitable<Expected<std::vector<ListedVm>>> listVms(TimePoint) override
    {
        co_return Error{ErrorKind::Unavailable, "", ""};
    }

    void setObject(const std::string &name, std::uint64_t revision)
    {
        objects.objects = {{"withdrawals/" + name, "{}", {0, revision}, false}};
        objects.storeVersion = {0, revision};
    }

    ObjectList objects;
    ObjectList watchAnswer;
    bool isDown = false;
    domain::Duration watchAnswerDelay = 1h;
    int lists = 0;
    std::vector<domain::Duration> watchTimeouts;

private:
    asio::io_context &m_context;
};

} // namespace

/// A subscriber that receives the revisions of peers.
class PeerVersionFixture : public testing::Test
{
protected:
    PeerVersionFixture()
    {
        m_options.peerVersionTimeout = 20ms;
        m_options.minRefreshInterval = 10ms;
        m_options.gapTimeout = 40ms;
    }
    void SetUp() override
    {
        m_store.setObject("a", 5);
        m_subscriber = std::make_unique<StoreSubscriber>(m_context, m_store, "withdrawals",
                CollectionSink{[this](const ObjectList &) { ++m_listsApplied; },
                        [this](const ObjectList &) { ++m_changesApplied; }, {}, {}},
                m_options);
    }
    static ConfigVersion versionOf(std::uint64_t revision) { return {0, revision}; }
    void start() { asio::co_spawn(m_context, m_subscriber->run(), asio::detached); }
    void runFor(domain::Duration time) { m_context.run_for(time); }
    /// Repeats a peer's revision for 50 ms.
    void receivePeerVersion(std::uint64_t revision)
    {
        for (int i = 0; i < 5; ++i) {
            m_subscriber->onPeerVersion(versionOf(revision), TimePoint::clock::now());
            runFor(10ms);
        }
    }

    asio::io_context m_context;
    UnresponsiveStore m_store{m_context};
    std::unique_ptr<StoreSubscriber> m_subscriber;
    StoreSubscriberOptions m_options;
    int m_listsApplied = 0;
    int m_changesApplied = 0;
};

// Guards against a change that is missed because the answer of a watch was lost: a newer peer
// revision causes a list long before the watch ends.
TEST_F(PeerVersionFixture, onPeerVersion_watchNeverAnswered_listedAgain)
{
    start();
    runFor(10ms);
    EXPECT_EQ(m_subscriber->lastChangeVersion(), versionOf(5));
    m_store.setObject("b", 9);
    receivePeerVersion(9);
    EXPECT_EQ(m_listsApplied, 2);
    EXPECT_EQ(m_subscriber->lastChangeVersion(), versionOf(9));
}

// Guards against lists for revisions that are already applied: each costs a call of each entry.
TEST_F(PeerVersionFixture, onPeerVersion_notNewer_notListed)
{
    start();
    runFor(10ms);
    receivePeerVersion(5);
    EXPECT_EQ(m_store.lists, 1);
}

// Guards against an old change that reverts a newer list: the answer of a watch that was sent
// before the list is discarded.
TEST_F(PeerVersionFixture, run_watchAnsweredAfterRefresh_answerDiscarded)
{
    m_store.watchAnswerDelay = 150ms;
    m_store.watchAnswer.objects = {{"withdrawals/a", "{}", {0, 5}, true}};
    m_store.watchAnswer.storeVersion = {0, 6};
    start();
    runFor(10ms);
    m_store.setObject("a", 9);
    receivePeerVersion(9);
    m_store.watchAnswerDelay = 1h;
    runFor(200ms);
    EXPECT_EQ(m_listsApplied, 2);
    EXPECT_EQ(m_changesApplied, 0);
}

// Guards against frequent short watches while peer revisions would reveal a missed change, and
// against long watches without peer revisions.
TEST_F(PeerVersionFixture, run_peerVersionsReceivedOrNot_watchTimeoutLongOrShort)
{
    m_store.watchAnswerDelay = 30ms;
    start();
    runFor(10ms);
    m_subscriber->onPeerVersion(versionOf(5), TimePoint::clock::now());
    runFor(60ms);
    ASSERT_GE(m_store.watchTimeouts.size(), 2U);
    const StoreSubscriberOptions options;
    EXPECT_LE(m_store.watchTimeouts.front(), options.watchTimeout + options.answerTimeout);
    EXPECT_GT(m_store.watchTimeouts.back(), options.watchTimeout + options.answerTimeout);
}

// Guards against calls for a collection whose changes arrive by another path, and against changes
// that are missed when that path ends.
TEST_F(PeerVersionFixture, setWatchCondition_falseThenTrue_listedAgainWithoutWatchBetween)
{
    bool isWatchNeeded = false;
    m_subscriber->setWatchCondition([&] { return isWatchNeeded; });
    start();
    runFor(300ms);
    EXPECT_EQ(m_store.lists, 1);
    EXPECT_TRUE(m_store.watchTimeouts.empty());
    isWatchNeeded = true;
    runFor(300ms);
    EXPECT_EQ(m_store.lists, 2);
    EXPECT_EQ(m_store.watchTimeouts.size(), 1U);
}

/// A subscriber that receives the updates of publishers.
class PublishedChangesFixture : public PeerVersionFixture
{
protected:
    static constexpr std::uint64_t AppliedRevision = 5;
    ReadStagger m_readStagger{2, 1500ms};

    void SetUp() override
    {
        PeerVersionFixture::SetUp();
        m_store.watchAnswerDelay = 30ms;
        m_store.watchAnswer = changesTo(AppliedRevision);
        start();
        runFor(10ms);
    }

    static ObjectList changesTo(std::uint64_t revision, const std::string &name = "",
            std::uint64_t changeRevision = 0, bool isDeleted = false)
    {
        ObjectList changes;
        changes.storeVersion = {0, revision};
        if (!name.empty())
            changes.objects = {{"withdrawals/" + name, "{}", {0, changeRevision}, isDeleted}};
        return changes;
    }

    /// Makes the collection a large one in an entry that is no publisher.
    void makeLarge()
    {
        m_readStagger.setRank(4, 10);
        m_subscriber->setReadStagger(m_readStagger);
        m_subscriber->keepCollectionCopy();
    }
    void receiveUpdate(std::uint64_t after, const ObjectList &changes)
    {
        m_subscriber->onPublishedChanges(versionOf(after), changes, TimePoint::clock::now());
    }
};

// Guards against calls of each entry for changes that a publisher sends: the collection is not
// watched while updates arrive, and is watched again after they stop.
TEST_F(PublishedChangesFixture, onPublishedChanges_receivedContinuously_watchedOnlyAfterTheyEnd)
{
    receiveUpdate(AppliedRevision, changesTo(AppliedRevision));
    runFor(250ms);
    const std::size_t before = m_store.watchTimeouts.size();
    for (int i = 0; i < 10; ++i) {
        receiveUpdate(AppliedRevision, changesTo(AppliedRevision));
        runFor(100ms);
    }
    EXPECT_EQ(m_store.watchTimeouts.size(), before);
    runFor(1600ms);
    EXPECT_GT(m_store.watchTimeouts.size(), before);
    EXPECT_EQ(m_store.lists, 1);
}

// Guards against changes that are applied twice or reverted by an older state of an object, or by
// its earlier removal, that arrives after a newer state.
TEST_F(PublishedChangesFixture, onPublishedChanges_overlappingChanges_olderStatesIgnored)
{
    receiveUpdate(AppliedRevision, changesTo(9, "b", 8));
    EXPECT_EQ(m_changesApplied, 1);
    receiveUpdate(AppliedRevision, changesTo(9, "b", 8));
    EXPECT_EQ(m_changesApplied, 1);
    receiveUpdate(AppliedRevision, changesTo(12, "b", 7, true));
    EXPECT_EQ(m_changesApplied, 1);
    receiveUpdate(8, changesTo(14, "b", 8, true));
    EXPECT_EQ(m_changesApplied, 2);
    receiveUpdate(6, changesTo(15, "b", 13));
    EXPECT_EQ(m_changesApplied, 2);
}

// Guards against a change that is missed because its datagram was lost.
TEST_F(PublishedChangesFixture, onPublishedChanges_startAfterAppliedRevision_gapReadFromTheStore)
{
    receiveUpdate(AppliedRevision, changesTo(AppliedRevision));
    runFor(250ms);
    m_store.watchAnswer = changesTo(20, "c", 17);
    const std::size_t before = m_store.watchTimeouts.size();
    receiveUpdate(18, changesTo(20));
    runFor(50ms);
    receiveUpdate(18, changesTo(20));
    runFor(400ms);
    EXPECT_EQ(m_changesApplied, 1);
    EXPECT_EQ(m_subscriber->lastChangeVersion(), versionOf(17));
    EXPECT_EQ(m_store.watchTimeouts.size(), before + 1);
}

// Guards against a publisher that is disconnected from the store and keeps sending its old
// revision.
TEST_F(PublishedChangesFixture, onPublishedChanges_publisherBehind_ignored)
{
    m_store.watchAnswer = changesTo(30, "d", 28);
    runFor(60ms);
    const std::size_t before = m_store.watchTimeouts.size();
    for (int i = 0; i < 5; ++i) {
        receiveUpdate(AppliedRevision, changesTo(AppliedRevision));
        runFor(60ms);
    }
    EXPECT_GT(m_store.watchTimeouts.size(), before);
}

// Guards against a false gap between the updates of two publishers whose watches end at different
// revisions without changes in between.
TEST_F(PublishedChangesFixture,
        onPublishedChanges_twoPublishersAtDifferentRevisions_bothAcceptedWithoutCalls)
{
    receiveUpdate(AppliedRevision, changesTo(9));
    runFor(250ms);
    const std::size_t before = m_store.watchTimeouts.size();
    for (int i = 0; i < 10; ++i) {
        receiveUpdate(AppliedRevision, changesTo(i % 2 == 0 ? 7 : 31));
        runFor(50ms);
    }
    EXPECT_EQ(m_store.watchTimeouts.size(), before);
    EXPECT_EQ(m_store.lists, 1);
}

// Guards against a large object that each process reads from the store: the list that closes a gap
// is fetched from the publisher, and from the store only if that fails.
TEST_F(PublishedChangesFixture, onPublishedChanges_gapAndPeerHasList_storeNotRead)
{
    bool isPeerUp = true;
    m_subscriber->setPeerFetch([&](TimePoint) -> asio::awaitable<Expected<ObjectList>> {
        if (!isPeerUp)
            co_return Error{ErrorKind::Unavailable, "down", "read the store"};
        co_return changesTo(20, "large", 20);
    });
    receiveUpdate(AppliedRevision, changesTo(AppliedRevision));
    runFor(250ms);
    const std::size_t before = m_store.watchTimeouts.size();
    receiveUpdate(20, changesTo(20));
    runFor(50ms);
    receiveUpdate(20, changesTo(20));
    runFor(250ms);
    EXPECT_EQ(m_subscriber->lastChangeVersion(), versionOf(20));
    receiveUpdate(20, changesTo(20));
    EXPECT_EQ(m_store.watchTimeouts.size(), before);
    isPeerUp = false;
    receiveUpdate(40, changesTo(40));
    m_store.watchAnswer = changesTo(40, "large", 40);
    runFor(50ms);
    receiveUpdate(40, changesTo(40));
    runFor(250ms);
    EXPECT_EQ(m_subscriber->lastChangeVersion(), versionOf(40));
    EXPECT_EQ(m_store.lists, 1);
}

// Regression: after a newer peer revision the subscriber repeated its own read until the store
// answered, and did not fetch the list from the peer (trouble-2 of probador-rill-large: CONFIG,
// HOME).
TEST_F(PublishedChangesFixture,
        onPublishedChanges_ownReadAfterPeerRevisionUnanswered_listReadFromPeer)
{
    int peerCalls = 0;
    makeLarge();
    m_subscriber->setPeerFetch([&](TimePoint) -> asio::awaitable<Expected<ObjectList>> {
        ++peerCalls;
        co_return changesTo(20, "large", 20);
    });
    m_store.isDown = true;
    receivePeerVersion(20);
    for (int i = 0; i < 20; ++i) {
        receiveUpdate(20, changesTo(20));
        runFor(100ms);
    }
    EXPECT_GE(peerCalls, 1);
    EXPECT_EQ(m_subscriber->lastChangeVersion(), versionOf(20));
}

// Regression: an entry whose publishers were unresponsive refused routes as unknown that had been
// added more than four seconds before (trouble-3 of probador-rill-large, CONFIG).
TEST_F(PublishedChangesFixture, isUnconfirmed_publishersAndStoreUnresponsive_trueUntilConfirmed)
{
    makeLarge();
    receiveUpdate(AppliedRevision, changesTo(AppliedRevision));
    EXPECT_FALSE(m_subscriber->isUnconfirmed(TimePoint::clock::now()));
    m_store.isDown = true;
    m_store.watchAnswerDelay = 1ms;
    runFor(3500ms);
    EXPECT_TRUE(m_subscriber->isUnconfirmed(TimePoint::clock::now()));
    receiveUpdate(AppliedRevision, changesTo(AppliedRevision));
    EXPECT_FALSE(m_subscriber->isUnconfirmed(TimePoint::clock::now()));
}

// Regression: an entry that received a newer peer revision read the change only from the store,
// over a full link, while a publisher in its data centre had it (scale-1 and trouble-2 of
// probador-rill-large, CONFIG).
TEST_F(PublishedChangesFixture, onPeerVersion_storeUnresponsiveAndPeerHasList_readFromPeer)
{
    makeLarge();
    m_subscriber->setPeerFetch([](TimePoint) -> asio::awaitable<Expected<ObjectList>> {
        co_return changesTo(20, "large", 20);
    });
    receiveUpdate(AppliedRevision, changesTo(AppliedRevision));
    runFor(250ms);
    m_store.isDown = true;
    m_store.watchAnswerDelay = 1ms;
    for (int i = 0; i < 20 && m_subscriber->lastChangeVersion().revision < 20; ++i) {
        m_subscriber->onPeerVersion(versionOf(20), TimePoint::clock::now());
        receiveUpdate(20, changesTo(20));
        runFor(100ms);
    }
    EXPECT_EQ(m_subscriber->lastChangeVersion(), versionOf(20));
}

/// The same, with the times of an entry.
class LateChangeFixture : public PublishedChangesFixture
{
protected:
    LateChangeFixture()
    {
        m_options = {};
        m_options.freshnessBudget = 1500ms;
        m_options.maxBehindTime = 1800ms;
    }
};

// Regression: the delay until the own read of the store began when a change counted as missed, not
// when a peer first reported it. If no publisher had the change, an entry applied it 3.3 s after
// the store had acknowledged it, and accepted a revoked key until then (scale-2 of
// txsatchel-orders-grown, CONFIG).
TEST_F(LateChangeFixture, onPeerVersion_noPublisherHasChange_readWithinDelaySinceFirstHeard)
{
    constexpr auto CheckTime = 250ms;
    makeLarge();
    m_subscriber->setPeerFetch([](TimePoint) -> asio::awaitable<Expected<ObjectList>> {
        co_return Error{ErrorKind::Unavailable, "no publisher", "wait"};
    });
    const TimePoint provenAt = TimePoint::clock::now();
    receiveUpdate(AppliedRevision, changesTo(AppliedRevision));
    runFor(250ms);
    m_store.setObject("a", 20);
    m_store.watchAnswerDelay = 1h;
    const TimePoint heardAt = TimePoint::clock::now();
    while (m_subscriber->lastChangeVersion().revision < 20
            && TimePoint::clock::now() < heardAt + 5s) {
        m_subscriber->onPeerVersion(versionOf(20), TimePoint::clock::now());
        runFor(20ms);
    }
    const TimePoint readAt = TimePoint::clock::now();
    EXPECT_LT(readAt - heardAt, m_readStagger.delay() + CheckTime);
    // The change may be as old as the last proof of the copy, so the delay begins there.
    EXPECT_LT(readAt - provenAt, m_readStagger.delay() + CheckTime);
    EXPECT_GE(readAt - provenAt, m_readStagger.delay());
}

// Guards against a call of each entry for each lost datagram: a second publisher sends the same
// changes a moment later.
TEST_F(PublishedChangesFixture, onPublishedChanges_missingChangesFromOtherPublisher_storeNotCalled)
{
    receiveUpdate(AppliedRevision, changesTo(AppliedRevision));
    runFor(250ms);
    const std::size_t before = m_store.watchTimeouts.size();
    receiveUpdate(9, changesTo(9));
    runFor(20ms);
    receiveUpdate(AppliedRevision, changesTo(9, "b", 9));
    runFor(60ms);
    receiveUpdate(9, changesTo(9));
    runFor(250ms);
    EXPECT_EQ(m_store.watchTimeouts.size(), before);
    EXPECT_EQ(m_changesApplied, 1);
}

// Guards against a retry delay that outlasts an outage although a publisher's update shows that the
// store answers again (trouble-3 of probador-rill-large: withdrawals and leaving endpoints were
// applied seconds late).
TEST_F(PublishedChangesFixture, onPublishedChanges_duringLongRetryDelay_appliedAtOnce)
{
    m_store.isDown = true;
    m_store.watchAnswerDelay = 1ms;
    for (int i = 0; i < 5; ++i) {
        m_subscriber->onPublisherStoreLoss(TimePoint::clock::now());
        runFor(100ms);
    }
    EXPECT_TRUE(m_subscriber->isFailing());
    m_store.isDown = false;
    m_store.watchAnswer = changesTo(9, "b", 9);
    receiveUpdate(8, changesTo(9));
    runFor(250ms);
    EXPECT_FALSE(m_subscriber->isFailing());
    EXPECT_EQ(m_subscriber->lastChangeVersion(), versionOf(9));
}

// Regression: while changes followed each other faster than a publisher's list could be fetched,
// each list was rejected because a newer change had been announced in the meantime, and the copy
// kept its revision.
TEST_F(PublishedChangesFixture,
        onPublishedChanges_newerChangeAnnouncedDuringFetch_fetchedListApplied)
{
    makeLarge();
    std::uint64_t announced = 20;
    m_subscriber->setPeerFetch([&](TimePoint) -> asio::awaitable<Expected<ObjectList>> {
        const std::uint64_t revision = announced;
        asio::steady_timer timer(m_context, 100ms);
        co_await timer.async_wait(asio::as_tuple(asio::use_awaitable));
        co_return changesTo(revision, "large", revision);
    });
    receiveUpdate(AppliedRevision, changesTo(AppliedRevision));
    runFor(250ms);
    m_store.isDown = true;
    // Shorter than the delay of this entry's rank: only publishers are asked.
    for (int i = 0; i < 14; ++i) {
        announced += 10;
        m_subscriber->onPublishedChanges(
                versionOf(announced), changesTo(announced), TimePoint::clock::now(), true);
        runFor(50ms);
    }
    EXPECT_GE(m_subscriber->lastChangeVersion().revision, announced - 50);
    EXPECT_TRUE(m_subscriber->isBehind());
}

// Regression: the answer of a watch that was sent before a change was announced, without the
// change, counted as its arrival, and the delay until the own read of the store began again.
TEST_F(LateChangeFixture, run_olderAnswerAfterAnnouncement_changeStillMissing)
{
    makeLarge();
    runFor(10ms);
    m_subscriber->onPublishedChanges(versionOf(20), changesTo(20), TimePoint::clock::now(), true);
    EXPECT_TRUE(m_subscriber->isBehind());
    // The answer of the watch that is waiting, at the applied revision.
    runFor(25ms);
    EXPECT_TRUE(m_subscriber->isBehind());
}

// Regression: a publisher that the store turned away knew of a change for seven seconds and did not
// fetch it from the entries of its data centre that had it (scale-2 of probador-rill-grown).
TEST_F(LateChangeFixture, onPublishedChanges_publisherTurnedAwayByStore_listFetchedFromPeer)
{
    m_readStagger.setRank(0, 10);
    m_subscriber->setReadStagger(m_readStagger);
    m_subscriber->keepCollectionCopy();
    m_subscriber->setPeerFetch([](TimePoint) -> asio::awaitable<Expected<ObjectList>> {
        co_return changesTo(20, "large", 20);
    });
    m_store.isDown = true;
    m_store.watchAnswerDelay = 1ms;
    runFor(200ms);
    ASSERT_TRUE(m_subscriber->isFailing());
    const TimePoint announcedAt = TimePoint::clock::now();
    while (m_subscriber->lastChangeVersion().revision < 20
            && TimePoint::clock::now() < announcedAt + 3s) {
        m_subscriber->onPublishedChanges(
                versionOf(20), changesTo(20), TimePoint::clock::now(), true);
        runFor(50ms);
    }
    EXPECT_LT(TimePoint::clock::now() - announcedAt, 1500ms);
}

// Regression: a fetched list was discarded when a publisher without the change, whose revision
// moved on with those of other collections, sent an update during the fetch (probador-rill-large,
// CONFIG).
TEST_F(LateChangeFixture, onPublishedChanges_otherPublisherMovesOnDuringFetch_fetchedListApplied)
{
    makeLarge();
    m_subscriber->setPeerFetch([this](TimePoint) -> asio::awaitable<Expected<ObjectList>> {
        asio::steady_timer timer(m_context, 300ms);
        co_await timer.async_wait(asio::as_tuple(asio::use_awaitable));
        co_return changesTo(100, "large", 100);
    });
    receiveUpdate(AppliedRevision, changesTo(AppliedRevision));
    runFor(50ms);
    m_store.isDown = true;
    const TimePoint announcedAt = TimePoint::clock::now();
    m_subscriber->onPublishedChanges(versionOf(100), changesTo(100), announcedAt, true);
    for (std::uint64_t revision = AppliedRevision + 1;
            m_subscriber->lastChangeVersion().revision < 100
            && TimePoint::clock::now() < announcedAt + 1000ms;
            ++revision) {
        receiveUpdate(AppliedRevision, changesTo(revision));
        runFor(50ms);
    }
    EXPECT_EQ(m_subscriber->lastChangeVersion().revision, 100U);
}

// Regression: the store's answer was discarded for the same reason, and the read was repeated after
// the next proof had expired.
TEST_F(LateChangeFixture, run_publisherWithoutProofMovesOnDuringRead_answerApplied)
{
    makeLarge();
    runFor(100ms);
    const TimePoint provenAt = TimePoint::clock::now();
    receiveUpdate(AppliedRevision, changesTo(AppliedRevision));
    m_store.watchAnswerDelay = 300ms;
    m_store.watchAnswer = changesTo(100, "a", 100);
    const TimePoint end = provenAt + m_readStagger.delay() + 600ms;
    for (std::uint64_t revision = AppliedRevision + 1;
            m_subscriber->lastChangeVersion().revision < 100 && TimePoint::clock::now() < end;
            ++revision) {
        m_subscriber->onPublishedChanges(versionOf(AppliedRevision), changesTo(revision),
                TimePoint::clock::now(), false, provenAt - 1h);
        runFor(50ms);
    }
    EXPECT_EQ(m_subscriber->lastChangeVersion().revision, 100U);
}

// Guards against a data centre that is cut off from the store and refuses everything, because its
// publishers had announced a change before.
TEST_F(LateChangeFixture, isOverdue_publisherLosesStore_onlyWhileItsProofIsRecent)
{
    makeLarge();
    receiveUpdate(AppliedRevision, changesTo(AppliedRevision));
    m_store.isDown = true;
    const TimePoint announcedAt = TimePoint::clock::now();
    const auto announce = [this](TimePoint at, TimePoint provenAt) {
        m_subscriber->onPublishedChanges(versionOf(20), changesTo(20), at, true, provenAt);
    };
    announce(announcedAt, announcedAt);
    const TimePoint boundEnd = announcedAt + m_options.maxBehindTime;
    EXPECT_FALSE(m_subscriber->isOverdue(boundEnd - 1ms));
    EXPECT_FALSE(m_subscriber->isOverdue(boundEnd + 1ms));
    announce(boundEnd, boundEnd - 100ms);
    EXPECT_TRUE(m_subscriber->isOverdue(boundEnd + 1ms));
    EXPECT_FALSE(m_subscriber->isOverdue(boundEnd + m_options.maxBehindTime));
}

} // namespace oriolerill::objectstore
