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

/// A store whose watches are answered late or never, and which notes the time that each may take.
class SilentStore : public IObjectStore
{
public:
    explicit SilentStore(asio::io_context &context)
        : m_context(context)
    {}

    asio::awaitable<Expected<StoredObject>> read(std::string, TimePoint) override
    {
        co_return Error{ErrorKind::Unavailable, "", ""};
    }
    asio::awaitable<Expected<ObjectList>> list(std::string, TimePoint) override
    {
        ++lists;
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
        watchTimes.push_back(deadline - TimePoint::clock::now());
        asio::steady_timer timer(m_context, watchAnswerTime);
        co_await timer.async_wait(asio::as_tuple(asio::use_awaitable));
        if (isDown)
            co_return Error{ErrorKind::Unavailable, "down", "wait"};
        co_return late;
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
    ObjectList late;
    bool isDown = false;
    domain::Duration watchAnswerTime = 1h;
    int lists = 0;
    std::vector<domain::Duration> watchTimes;

private:
    asio::io_context &m_context;
};

} // namespace

/// A follower beside others that tell it what they know.
class StoreHintFixture : public testing::Test
{
protected:
    void SetUp() override
    {
        m_store.setObject("a", 5);
        StoreSubscriberOptions options;
        options.hintPatience = 20ms;
        options.refreshInterval = 10ms;
        options.gapPatience = 40ms;
        m_follower = std::make_unique<StoreSubscriber>(m_context, m_store, "withdrawals",
                CollectionSink{[this](const ObjectList &) { ++m_listsSeen; },
                        [this](const ObjectList &) { ++m_changesSeen; }, {}, {}},
                options);
    }
    void start() { asio::co_spawn(m_context, m_follower->run(), asio::detached); }
    void runFor(domain::Duration time) { m_context.run_for(time); }
    /// Others tell of a change for a while, as they do twice a second.
    void hint(std::uint64_t lastChangeRevision)
    {
        for (int i = 0; i < 5; ++i) {
            m_follower->onPeerRevision(lastChangeRevision, TimePoint::clock::now());
            runFor(10ms);
        }
    }

    asio::io_context m_context;
    SilentStore m_store{m_context};
    std::unique_ptr<StoreSubscriber> m_follower;
    int m_listsSeen = 0;
    int m_changesSeen = 0;
};

// Guards against a watch whose answer was lost: the change that others know of is read in spite of
// it, long before the watch ends.
TEST_F(StoreHintFixture, onHint_watchNeverAnswered_listedAgain)
{
    start();
    runFor(10ms);
    EXPECT_EQ(m_follower->lastChangeRevision(), 5U);
    m_store.setObject("b", 9);
    hint(9);
    EXPECT_EQ(m_listsSeen, 2);
    EXPECT_EQ(m_follower->lastChangeRevision(), 9U);
}

// Guards against lists for what is known already: each costs a call at each entry.
TEST_F(StoreHintFixture, onHint_nothingNew_notListed)
{
    start();
    runFor(10ms);
    hint(5);
    EXPECT_EQ(m_store.lists, 1);
}

// Guards against an old change that undoes a newer list: the answer of a watch that was begun
// before the list is dropped.
TEST_F(StoreHintFixture, run_watchAnsweredAfterRefresh_answerDropped)
{
    m_store.watchAnswerTime = 150ms;
    m_store.late.objects = {{"withdrawals/a", "{}", {0, 5}, true}};
    m_store.late.storeVersion = {0, 6};
    start();
    runFor(10ms);
    m_store.setObject("a", 9);
    hint(9);
    m_store.watchAnswerTime = 1h;
    runFor(200ms);
    EXPECT_EQ(m_listsSeen, 2);
    EXPECT_EQ(m_changesSeen, 0);
}

// Guards against the price of short watches where others would tell, and against long ones where
// nobody would.
TEST_F(StoreHintFixture, run_othersHeardOrNot_watchLongOrShort)
{
    m_store.watchAnswerTime = 30ms;
    start();
    runFor(10ms);
    m_follower->onPeerRevision(5, TimePoint::clock::now());
    runFor(60ms);
    ASSERT_GE(m_store.watchTimes.size(), 2U);
    const StoreSubscriberOptions options;
    EXPECT_LE(m_store.watchTimes.front(), options.watchTime + options.answerTime);
    EXPECT_GT(m_store.watchTimes.back(), options.watchTime + options.answerTime);
}

// Guards against calls for a collection whose changes come by another way, and against changes that
// are missed when that way ends.
TEST_F(StoreHintFixture, setNeeded_falseThenTrue_listedAgainWithoutWatchBetween)
{
    bool isNeeded = false;
    m_follower->setWatchCondition([&] { return isNeeded; });
    start();
    runFor(300ms);
    EXPECT_EQ(m_store.lists, 1);
    EXPECT_TRUE(m_store.watchTimes.empty());
    isNeeded = true;
    runFor(300ms);
    EXPECT_EQ(m_store.lists, 2);
    EXPECT_EQ(m_store.watchTimes.size(), 1U);
}

/// A follower that another process tells the changes which it has read.
class StoreSharedFixture : public StoreHintFixture
{
protected:
    static constexpr std::uint64_t Known = 5;
    ReadStagger m_turns{2, 1500ms};

    void SetUp() override
    {
        StoreHintFixture::SetUp();
        m_store.watchAnswerTime = 30ms;
        m_store.late = changesTo(Known);
        start();
        runFor(10ms);
    }

    static ObjectList changesTo(std::uint64_t revision, const std::string &name = "",
            std::uint64_t lastChangeRevision = 0, bool isDeleted = false)
    {
        ObjectList changes;
        changes.storeVersion = {0, revision};
        if (!name.empty())
            changes.objects = {{"withdrawals/" + name, "{}", {0, lastChangeRevision}, isDeleted}};
        return changes;
    }

    /// A large collection in an entry that is no publisher.
    void makeLarge()
    {
        m_turns.setRank(4, 10);
        m_follower->setReadStagger(m_turns);
        m_follower->keepCollectionCopy();
    }
    void tell(std::uint64_t after, const ObjectList &changes)
    {
        m_follower->onPublishedChanges(after, changes, TimePoint::clock::now());
    }
};

// Guards against calls of each entry for what one of them has read: the collection is not watched
// while it is told, and is again when nothing has been heard for a while.
TEST_F(StoreSharedFixture, onShared_heardAllTheTime_watchedOnlyWhenItEnds)
{
    tell(Known, changesTo(Known));
    runFor(250ms);
    const std::size_t before = m_store.watchTimes.size();
    for (int i = 0; i < 10; ++i) {
        tell(Known, changesTo(Known));
        runFor(100ms);
    }
    EXPECT_EQ(m_store.watchTimes.size(), before);
    runFor(1600ms);
    EXPECT_GT(m_store.watchTimes.size(), before);
    EXPECT_EQ(m_store.lists, 1);
}

// Guards against changes that are taken twice or undone: an older state of an object, or its
// earlier removal, that comes after a newer one.
TEST_F(StoreSharedFixture, onShared_overlappingChanges_olderStatesDropped)
{
    tell(Known, changesTo(9, "b", 8));
    EXPECT_EQ(m_changesSeen, 1);
    tell(Known, changesTo(9, "b", 8));
    EXPECT_EQ(m_changesSeen, 1);
    tell(Known, changesTo(12, "b", 7, true));
    EXPECT_EQ(m_changesSeen, 1);
    tell(8, changesTo(14, "b", 8, true));
    EXPECT_EQ(m_changesSeen, 2);
    tell(6, changesTo(15, "b", 13));
    EXPECT_EQ(m_changesSeen, 2);
}

// Guards against a change that never comes because the datagram that told it was lost.
TEST_F(StoreSharedFixture, onShared_changesBeginLater_gapReadFromTheStore)
{
    tell(Known, changesTo(Known));
    runFor(250ms);
    m_store.late = changesTo(20, "c", 17);
    const std::size_t before = m_store.watchTimes.size();
    tell(18, changesTo(20));
    runFor(50ms);
    tell(18, changesTo(20));
    runFor(400ms);
    EXPECT_EQ(m_changesSeen, 1);
    EXPECT_EQ(m_follower->lastChangeRevision(), 17U);
    EXPECT_EQ(m_store.watchTimes.size(), before + 1);
}

// Guards against a reader that is cut off from the store and goes on telling what it knew.
TEST_F(StoreSharedFixture, onShared_readerBehind_notHeard)
{
    m_store.late = changesTo(30, "d", 28);
    runFor(60ms);
    const std::size_t before = m_store.watchTimes.size();
    for (int i = 0; i < 5; ++i) {
        tell(Known, changesTo(Known));
        runFor(60ms);
    }
    EXPECT_GT(m_store.watchTimes.size(), before);
}

// Guards against two readers whose watches end at different revisions: neither makes the other look
// like a gap, as long as nothing has changed in between.
TEST_F(StoreSharedFixture, onShared_twoReadersAtDifferentRevisions_bothHeardWithoutCalls)
{
    tell(Known, changesTo(9));
    runFor(250ms);
    const std::size_t before = m_store.watchTimes.size();
    for (int i = 0; i < 10; ++i) {
        tell(Known, changesTo(i % 2 == 0 ? 7 : 31));
        runFor(50ms);
    }
    EXPECT_EQ(m_store.watchTimes.size(), before);
    EXPECT_EQ(m_store.lists, 1);
}

// Guards against a large object that each process reads from the store: the gap is closed from the
// process that told of it, and from the store when that fails.
TEST_F(StoreSharedFixture, onShared_gapAndPeerGivesList_storeNotRead)
{
    bool isPeerUp = true;
    m_follower->setPeerFetch([&](TimePoint) -> asio::awaitable<Expected<ObjectList>> {
        if (!isPeerUp)
            co_return Error{ErrorKind::Unavailable, "down", "read the store"};
        co_return changesTo(20, "large", 20);
    });
    tell(Known, changesTo(Known));
    runFor(250ms);
    const std::size_t before = m_store.watchTimes.size();
    tell(20, changesTo(20));
    runFor(50ms);
    tell(20, changesTo(20));
    runFor(250ms);
    EXPECT_EQ(m_follower->lastChangeRevision(), 20U);
    tell(20, changesTo(20));
    EXPECT_EQ(m_store.watchTimes.size(), before);
    isPeerUp = false;
    tell(40, changesTo(40));
    m_store.late = changesTo(40, "large", 40);
    runFor(50ms);
    tell(40, changesTo(40));
    runFor(250ms);
    EXPECT_EQ(m_follower->lastChangeRevision(), 40U);
    EXPECT_EQ(m_store.lists, 1);
}

// Regression: after a hint the follower repeated its own read until the store answered, and did not
// ask the peer, which had the list (trouble-2 of probador-rill-large: CONFIG, HOME).
TEST_F(StoreSharedFixture, onShared_ownReadAfterHintUnanswered_listTakenFromPeer)
{
    int peerCalls = 0;
    makeLarge();
    m_follower->setPeerFetch([&](TimePoint) -> asio::awaitable<Expected<ObjectList>> {
        ++peerCalls;
        co_return changesTo(20, "large", 20);
    });
    m_store.isDown = true;
    hint(20);
    for (int i = 0; i < 20; ++i) {
        tell(20, changesTo(20));
        runFor(100ms);
    }
    EXPECT_GE(peerCalls, 1);
    EXPECT_EQ(m_follower->lastChangeRevision(), 20U);
}

// Regression: an entry whose publishers were silent refused routes as unknown that had been added
// more than four seconds before (trouble-3 of probador-rill-large, CONFIG).
TEST_F(StoreSharedFixture, isUnconfirmed_publishersAndStoreSilent_trueUntilConfirmed)
{
    makeLarge();
    tell(Known, changesTo(Known));
    EXPECT_FALSE(m_follower->isUnconfirmed(TimePoint::clock::now()));
    m_store.isDown = true;
    m_store.watchAnswerTime = 1ms;
    runFor(3500ms);
    EXPECT_TRUE(m_follower->isUnconfirmed(TimePoint::clock::now()));
    tell(Known, changesTo(Known));
    EXPECT_FALSE(m_follower->isUnconfirmed(TimePoint::clock::now()));
}

// Regression: an entry that received a change's revision from other entries read it from the store
// only, over a full link, while the publisher beside it had it (scale-1 and trouble-2 of
// probador-rill-large, CONFIG).
TEST_F(StoreSharedFixture, onHint_storeSilentAndPeerGivesList_takenFromPeer)
{
    makeLarge();
    m_follower->setPeerFetch([](TimePoint) -> asio::awaitable<Expected<ObjectList>> {
        co_return changesTo(20, "large", 20);
    });
    tell(Known, changesTo(Known));
    runFor(250ms);
    m_store.isDown = true;
    m_store.watchAnswerTime = 1ms;
    for (int i = 0; i < 20 && m_follower->lastChangeRevision() < 20; ++i) {
        m_follower->onPeerRevision(20, TimePoint::clock::now());
        tell(20, changesTo(20));
        runFor(100ms);
    }
    EXPECT_EQ(m_follower->lastChangeRevision(), 20U);
}

// Guards against a call of each entry for each lost datagram: a second reader tells the same
// changes a moment later.
TEST_F(StoreSharedFixture, onShared_missingChangesComeFromTheOther_storeNotCalled)
{
    tell(Known, changesTo(Known));
    runFor(250ms);
    const std::size_t before = m_store.watchTimes.size();
    tell(9, changesTo(9));
    runFor(20ms);
    tell(Known, changesTo(9, "b", 9));
    runFor(60ms);
    tell(9, changesTo(9));
    runFor(250ms);
    EXPECT_EQ(m_store.watchTimes.size(), before);
    EXPECT_EQ(m_changesSeen, 1);
}

// Guards against an entry that sleeps on after an outage while a reader tells that the store is
// back (trouble-3 of probador-rill-large: withdrawals and leaving endpoints were seen seconds
// late).
TEST_F(StoreSharedFixture, onShared_duringLongRetryPause_takenAtOnce)
{
    m_store.isDown = true;
    m_store.watchAnswerTime = 1ms;
    for (int i = 0; i < 5; ++i) {
        m_follower->onPublisherStoreLoss(TimePoint::clock::now());
        runFor(100ms);
    }
    EXPECT_TRUE(m_follower->isFailing());
    m_store.isDown = false;
    m_store.late = changesTo(9, "b", 9);
    tell(8, changesTo(9));
    runFor(250ms);
    EXPECT_FALSE(m_follower->isFailing());
    EXPECT_EQ(m_follower->lastChangeRevision(), 9U);
}

} // namespace oriolerill::objectstore
