#include "objectstore/objectstoreclient.h"
#include "objectstore/internal/outagebackoff.h"
#include "objectstore/internal/ratebudget.h"
#include "transport/httpserver.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/thread_pool.hpp>
#include <boost/asio/use_future.hpp>

#include <gtest/gtest.h>

#include <map>
#include <mutex>

namespace oriolerill::objectstore {

namespace asio = boost::asio;
using namespace std::chrono_literals;
using domain::ConfigVersion;
using domain::ErrorKind;
using domain::TimePoint;

class ObjectStoreClientFixture : public testing::Test
{
protected:
    void SetUp() override
    {
        const auto address = m_server.start({"127.0.0.1", 0},
                [this](transport::HttpServerExchange &exchange) { return answer(exchange); });
        ASSERT_TRUE(address);
        ObjectStoreOptions options;
        // Nothing listens at the first address.
        options.addresses = {{"127.0.0.1", 1}, *address};
        options.answerTimeout = 300ms;
        m_store = std::make_unique<ObjectStoreClient>(m_client, options);
    }
    void TearDown() override
    {
        m_server.closeAll();
        m_pool.stop();
        m_pool.join();
    }

    asio::awaitable<void> answer(transport::HttpServerExchange &exchange)
    {
        transport::HttpResponse response;
        bool isLost = false;
        {
            const std::scoped_lock lock(m_mutex);
            ++m_calls;
            response.status = m_refusal != 0 ? m_refusal : 200;
            if (m_refusal == 0)
                apply(exchange.request(), response);
            isLost = m_answersToLose > 0;
            if (isLost)
                --m_answersToLose;
        }
        if (isLost)
            exchange.abort();
        else
            co_await exchange.respond(std::move(response));
    }

    void apply(const transport::HttpRequest &request, transport::HttpResponse &response)
    {
        if (request.target.starts_with("/v1/watch")) {
            response.status = 410;
            return;
        }
        if (request.target.find('?') != std::string::npos) {
            response.body = R"({"storeVersion":"1.9","objects":[{"key":"config/limit/a",)"
                            R"("valueBase64":"aGV5","version":"1.7"}]})";
            return;
        }
        const auto found = m_objects.find(request.target);
        const bool isAbsent = found == m_objects.end();
        const std::string current = isAbsent ? "" : "1." + std::to_string(found->second.revision);
        if (request.method == "GET") {
            response.status = isAbsent ? 404 : 200;
            response.body = isAbsent ? "" : found->second.value;
        } else if (request.fields.valueOr("If-Match", "") != current) {
            response.status = 412;
        } else {
            m_objects[request.target] = {request.body, ++m_revision};
            response.fields.add("X-Version", "1." + std::to_string(m_revision));
            return;
        }
        response.fields.add("X-Version", current);
    }

    template<class T>
    domain::Expected<T> wait(asio::awaitable<domain::Expected<T>> operation)
    {
        return asio::co_spawn(m_pool, std::move(operation), asio::use_future).get();
    }
    static TimePoint deadline() { return TimePoint::clock::now() + 3s; }

    struct Object
    {
        std::string value;
        std::uint64_t revision = 0;
    };

    asio::thread_pool m_pool{3};
    transport::HttpServer m_server{m_pool.get_executor(), {}};
    transport::HttpClient m_client{m_pool.get_executor(), {}};
    std::unique_ptr<ObjectStoreClient> m_store;
    std::mutex m_mutex;
    std::map<std::string, Object> m_objects;
    std::uint64_t m_revision = 0;
    int m_answersToLose = 0;
    unsigned m_refusal = 0;
    int m_calls = 0;
};

// Guards against a write that overwrites a version which the writer has not read, and against an
// absent object that is not reported as NotFound.
TEST_F(ObjectStoreClientFixture, write_createUpdateRead_versionsFollow)
{
    const auto created = wait(m_store->create("a", "one", deadline()));
    ASSERT_TRUE(created);
    const auto updated = wait(m_store->update("a", "two", *created, deadline()));
    ASSERT_TRUE(updated);
    EXPECT_GT(*updated, *created);
    EXPECT_EQ(wait(m_store->read("a", deadline()))->value, "two");
    EXPECT_EQ(wait(m_store->update("a", "three", *created, deadline())).error().kind,
            ErrorKind::Conflict);
    EXPECT_EQ(wait(m_store->read("b", deadline())).error().kind, ErrorKind::NotFound);
}

// Guards against a write that took effect but is reported as a conflict or applied twice.
TEST_F(ObjectStoreClientFixture, write_answerLost_resolvedByReadBack)
{
    m_answersToLose = 1;
    const auto created = wait(m_store->create("a", "mine", deadline()));
    ASSERT_TRUE(created);
    EXPECT_EQ(*created, (ConfigVersion{1, 1}));
    m_answersToLose = 2;
    const auto updated = wait(m_store->update("a", "mine again", *created, deadline()));
    ASSERT_TRUE(updated);
    EXPECT_EQ(*updated, (ConfigVersion{1, 2}));
}

// Guards against another writer's value that counts as the own write after a lost answer.
TEST_F(ObjectStoreClientFixture, write_answerLostAndOtherValue_conflict)
{
    m_objects["/v1/objects/a"] = {"theirs", 4};
    m_answersToLose = 1;
    const auto created = wait(m_store->create("a", "mine", deadline()));
    ASSERT_FALSE(created);
    EXPECT_EQ(created.error().kind, ErrorKind::Conflict);
}

// Guards against a write of unknown outcome that is reported as without effect.
TEST_F(ObjectStoreClientFixture, write_everyAnswerLost_timeoutNotUnavailable)
{
    m_answersToLose = 1000;
    const auto created = wait(m_store->create("a", "mine", TimePoint::clock::now() + 400ms));
    ASSERT_FALSE(created);
    EXPECT_EQ(created.error().kind, ErrorKind::Timeout);
}

// Guards against calls that wait for an unresponsive store, and against a fleet whose calls prevent
// the store's recovery.
TEST_F(ObjectStoreClientFixture, write_outage_failsAtOnceWithFewCalls)
{
    m_refusal = 503;
    const TimePoint start = TimePoint::clock::now();
    for (int i = 0; i < 200; ++i) {
        EXPECT_EQ(wait(m_store->create("a", "mine", deadline())).error().kind,
                ErrorKind::Unavailable);
    }
    EXPECT_LT(TimePoint::clock::now() - start, 1s);
    EXPECT_LT(m_calls, 20);
    m_refusal = 0;
    while (!wait(m_store->create("a", "mine", deadline())))
        ASSERT_LT(TimePoint::clock::now() - start, 5s);
}

// Guards against values of a list that are returned in the base64 form in which the store sends
// them.
TEST_F(ObjectStoreClientFixture, list_base64Values_decoded)
{
    const auto list = wait(m_store->list("config/", deadline()));
    ASSERT_TRUE(list);
    EXPECT_EQ(list->storeVersion, (ConfigVersion{1, 9}));
    EXPECT_EQ(list->objects.at(0).value, "hey");
}

// Guards against a watch that continues although the store has pruned the changes in between (410).
TEST_F(ObjectStoreClientFixture, watch_historyPruned_notFound)
{
    EXPECT_EQ(
            wait(m_store->watch("config/", {1, 1}, deadline())).error().kind, ErrorKind::NotFound);
}

// Guards against a process that exceeds its rate limit.
TEST(RateBudget, reserve_longRun_boundedRate)
{
    internal::RateBudget budget(10, 5);
    const TimePoint start(1h);
    int calls = 0;
    for (domain::Duration passed{}; passed < 10s; passed += 10ms) {
        while (budget.reserve(start + passed, start + passed))
            ++calls;
    }
    EXPECT_LE(calls, 105);
    EXPECT_GE(calls, 100);
}

// Guards against a fleet whose processes each stay below their limit and together overload the
// store: 400 processes of 20 calls/s at a store with a capacity of 1000 calls/s.
TEST(RateBudget, onRefused_overloadedStore_fleetSettlesNearCapacity)
{
    std::vector<internal::RateBudget> fleet(400, internal::RateBudget(20, 20));
    int answered = 0;
    int refused = 0;
    for (int tick = 0; tick < 600; ++tick) {
        const TimePoint now = TimePoint(1h) + tick * 100ms;
        int capacity = 100;
        for (std::size_t i = 0; i < fleet.size(); ++i) {
            internal::RateBudget &budget = fleet[(i + static_cast<std::size_t>(tick)) % 400];
            while (budget.reserve(now, now)) {
                const bool isRefused = --capacity < 0;
                if (isRefused)
                    budget.onRefused(now);
                if (tick >= 300)
                    ++(isRefused ? refused : answered);
            }
        }
    }
    EXPECT_GT(answered, 20'000);
    EXPECT_LT(refused, answered / 2);
}

// Guards against processes that all retry at the same moment.
TEST(OutageBackoff, onFailure_manyProcesses_spread)
{
    const TimePoint now(1h);
    std::map<TimePoint, int> retries;
    for (std::uint64_t seed = 0; seed < 100; ++seed) {
        internal::OutageBackoff backoff(seed);
        TimePoint at = now;
        for (int i = 0; i < 8; ++i) {
            backoff.onFailure(at);
            EXPECT_LE(backoff.retryAt() - at, 1500ms);
            at = backoff.retryAt();
        }
        ++retries[at];
    }
    EXPECT_GT(retries.size(), 90U);
}

} // namespace oriolerill::objectstore
