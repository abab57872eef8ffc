#include "objectstore/storesubscriber.h"
#include "objectstore/tests/fakeobjectstore.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

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

/// Answers calls from a script and records them.
class ScriptedStore : public IObjectStore
{
public:
    asio::awaitable<Expected<StoredObject>> read(std::string, TimePoint) override
    {
        co_return unavailable();
    }
    asio::awaitable<Expected<ObjectList>> list(std::string, TimePoint) override
    {
        calls += 'l';
        co_return next();
    }
    asio::awaitable<Expected<ConfigVersion>> create(std::string, std::string, TimePoint) override
    {
        co_return unavailable();
    }
    asio::awaitable<Expected<ConfigVersion>> update(
            std::string, std::string, ConfigVersion, TimePoint) override
    {
        co_return unavailable();
    }
    asio::awaitable<Expected<ConfigVersion>> remove(std::string, ConfigVersion, TimePoint) override
    {
        co_return unavailable();
    }
    asio::awaitable<Expected<ObjectList>> watch(
            std::string, ConfigVersion after, TimePoint deadline) override
    {
        calls += 'w';
        const StoreSubscriberOptions options;
        isWaiting.push_back(deadline - TimePoint::clock::now() > options.answerTimeout);
        watchedFrom.push_back(after.revision);
        co_return next();
    }
    asio::awaitable<Expected<std::vector<ListedVm>>> listVms(TimePoint) override
    {
        co_return unavailable();
    }

    static Error unavailable() { return {ErrorKind::Unavailable, "down", "wait"}; }

    static ObjectList objects(std::uint64_t revision, std::vector<std::string> names = {})
    {
        ObjectList list;
        for (std::string &name : names)
            list.objects.push_back({"endpoints/" + std::move(name), "{}", {0, revision}, false});
        list.storeVersion = {0, revision};
        return list;
    }

    std::vector<Expected<ObjectList>> answers;
    std::string calls;
    std::vector<std::uint64_t> watchedFrom;
    /// Whether each watch waits for changes or returns the present ones.
    std::vector<bool> isWaiting;
    std::function<void()> onExhausted;

private:
    Expected<ObjectList> next()
    {
        if (answers.empty()) {
            onExhausted();
            return unavailable();
        }
        Expected<ObjectList> answer = answers.front();
        answers.erase(answers.begin());
        return answer;
    }
};

} // namespace

class StoreSubscriberFixture : public testing::Test
{
protected:
    void run()
    {
        m_store.onExhausted = [this] { m_context.stop(); };
        StoreSubscriberOptions options;
        options.minRetryDelay = 1ms;
        options.maxRetryDelay = 2ms;
        StoreSubscriber subscriber(m_context, m_store, "endpoints",
                {[this](const ObjectList &list) { m_callbacks += "L" + text(list); },
                        [this](const ObjectList &list) { m_callbacks += "C" + text(list); },
                        [this] { m_callbacks += "lost "; }, [this] { m_callbacks += "back "; }},
                options);
        asio::co_spawn(m_context, subscriber.run(), asio::detached);
        m_context.run();
    }

    static std::string text(const ObjectList &list)
    {
        return std::to_string(list.objects.size()) + " ";
    }

    asio::io_context m_context;
    ScriptedStore m_store;
    std::string m_callbacks;
};

// Guards against missed or repeated changes: each watch continues from the last revision.
TEST_F(StoreSubscriberFixture, run_listThenChanges_eachRevisionOnce)
{
    m_store.answers = {ScriptedStore::objects(5, {"a", "b"}), ScriptedStore::objects(7, {"c"}),
            ScriptedStore::objects(7)};
    run();
    EXPECT_EQ(m_store.calls, "lwww");
    EXPECT_EQ(m_store.watchedFrom, (std::vector<std::uint64_t>{5, 7, 7}));
    EXPECT_EQ(m_callbacks, "L2 C1 ");
}

// Guards against missed changes when the store has pruned its history.
TEST_F(StoreSubscriberFixture, run_historyPruned_listedAgain)
{
    m_store.answers = {ScriptedStore::objects(5, {"a"}), Error{ErrorKind::NotFound, "410", "list"},
            ScriptedStore::objects(9, {"a", "b"})};
    run();
    EXPECT_EQ(m_store.calls, "lwlw");
    EXPECT_EQ(m_callbacks, "L1 L2 ");
}

// Guards against a watch that is sent in an outage, waits and is never answered. After a failure
// the subscriber polls with watches that do not wait, and on the return of the store reads only the
// changes: complete lists of all processes would fill the links (trouble-3 of probador-rill-large).
// Loss and return are reported once each.
TEST_F(StoreSubscriberFixture, run_outage_polledWithoutWaitAndReportedOnce)
{
    m_store.answers = {ScriptedStore::objects(5, {"a"}), ScriptedStore::unavailable(),
            ScriptedStore::unavailable(), ScriptedStore::objects(6, {"a"})};
    run();
    EXPECT_EQ(m_store.calls, "lwwww");
    EXPECT_EQ(m_store.watchedFrom, (std::vector<std::uint64_t>{5, 5, 5, 6}));
    EXPECT_EQ(m_store.isWaiting, (std::vector<bool>{true, false, false, true}));
    EXPECT_EQ(m_callbacks, "L1 lost back C1 ");
}

} // namespace oriolerill::objectstore
