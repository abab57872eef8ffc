#include "agent/internal/requestproxy.h"
#include "requests/answerchecksum.h"
#include "requests/attemptframecodec.h"
#include "transport/tests/scriptedpeer.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/thread_pool.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/use_future.hpp>

#include <gtest/gtest.h>

#include <atomic>
#include <chrono>
#include <future>
#include <map>
#include <mutex>
#include <thread>

namespace oriolerill::agent {

namespace asio = boost::asio;
using namespace std::chrono_literals;
using domain::TimePoint;

namespace {

class OpenGate : public rollout::IEngineGate
{
public:
    rollout::GateState state() const override { return m_state; }
    rollout::GateState enter() override { return m_state; }
    void leave() override {}
    std::size_t admittedAttempts() const override { return 0; }

    rollout::GateState m_state{true, domain::Digest::of("weights"), 1};
};

class FixedConfig : public config::IConfigView
{
public:
    std::shared_ptr<const config::ConfigSnapshot> snapshot() const override { return m_snapshot; }

    std::shared_ptr<config::ConfigSnapshot> m_snapshot = std::make_shared<config::ConfigSnapshot>();
};

/// An order log in memory.
class FakeOrderLog : public requests::IOrderLog
{
public:
    void append(const requests::LedgerSlot &, std::uint64_t number,
            const protocol::OrderBatch &batch, AppendCallback callback) override
    {
        if (m_isDown) {
            callback(domain::Error{domain::ErrorKind::Unavailable, "outage", "wait"});
            return;
        }
        const std::scoped_lock lock(m_mutex);
        m_batches[number] = batch;
        callback(domain::Done{});
    }
    void read(const requests::LedgerSlot &, std::uint64_t number, ReadCallback callback) override
    {
        const std::scoped_lock lock(m_mutex);
        callback(m_batches.at(number));
    }
    void list(const requests::LedgerSlot &, ListCallback callback) override
    {
        const std::scoped_lock lock(m_mutex);
        std::vector<std::uint64_t> numbers;
        for (const auto &[number, batch] : m_batches)
            numbers.push_back(number);
        callback(numbers);
    }
    void remove(const requests::LedgerSlot &, std::uint64_t) override {}

    std::recursive_mutex m_mutex;
    std::map<std::uint64_t, protocol::OrderBatch> m_batches;
    std::atomic<bool> m_isDown = false;
};

} // namespace

class RequestProxyFixture : public testing::Test
{
protected:
    static constexpr std::uint64_t Incarnation = 7;

    void SetUp() override
    {
        m_client = std::make_unique<transport::HttpClient>(
                m_pool.get_executor(), transport::HttpClientOptions());
        m_endpoint = std::make_unique<transport::HttpServer>(
                m_pool.get_executor(), transport::HttpServerOptions());
        const auto endpointAddress = m_endpoint->start({"127.0.0.1", 0},
                [this](transport::HttpServerExchange &exchange) { return serve(exchange); });
        ASSERT_TRUE(endpointAddress);
        m_options.service = domain::ServiceId("stock");
        m_options.dataCentre = domain::DataCentreId("salto-a");
        m_options.endpoint = *endpointAddress;
        m_options.incarnation = domain::Incarnation(Incarnation);
        startProxy();
    }

    void startProxy()
    {
        m_proxy = std::make_unique<RequestProxy>(
                m_pool.get_executor(), m_gate, m_config, *m_client, &m_orderLog, m_options);
        m_agent = std::make_unique<transport::HttpServer>(
                m_pool.get_executor(), transport::HttpServerOptions());
        m_address = *m_agent->start(
                {"127.0.0.1", 0}, [proxy = m_proxy.get()](transport::HttpServerExchange &exchange) {
                    return proxy->handle(exchange);
                });
    }

    void TearDown() override
    {
        m_agent->closeAll();
        m_endpoint->closeAll();
        m_pool.stop();
        m_pool.join();
    }

    asio::awaitable<void> serve(transport::HttpServerExchange &exchange)
    {
        ++m_calls;
        const auto executor = co_await asio::this_coro::executor;
        asio::steady_timer timer(executor, m_endpointDelay);
        co_await timer.async_wait(asio::use_awaitable);
        transport::HttpResponse response;
        response.fields.add("X-Weights-Digest", m_weights.hex());
        response.body = "answer to " + exchange.request().target;
        co_await exchange.respond(std::move(response));
    }

    static protocol::Attempt attempt(const std::string &id)
    {
        protocol::Attempt attempt;
        attempt.set_request_id(id);
        attempt.set_attempt(1);
        attempt.set_entry_incarnation(1);
        attempt.set_sequence(1);
        attempt.set_receiver_incarnation(Incarnation);
        attempt.set_service("stock");
        attempt.set_method("GET");
        attempt.set_target("/stock/9");
        attempt.set_idempotent(true);
        attempt.set_remaining_ms(3000);
        return attempt;
    }

    /// With one slot, all orders of a test are in one log.
    void useOneSlot()
    {
        config::Service service;
        service.id = m_options.service;
        service.ledgerSlots = 1;
        m_config.m_snapshot->services[service.id] = service;
    }

    static protocol::Attempt order(const std::string &id, const std::string &key)
    {
        protocol::Attempt order = attempt(id);
        order.set_method("POST");
        order.set_target("/orders");
        order.set_idempotent(false);
        order.set_idempotency_key(key);
        return order;
    }

    std::vector<protocol::AttemptFrame> send(const protocol::Attempt &attempt)
    {
        transport::HttpRequest request;
        request.method = "POST";
        request.target = "/v1/attempts";
        request.body = attempt.SerializeAsString();
        const TimePoint deadline = TimePoint::clock::now() + 5s;
        const auto response = asio::co_spawn(
                m_pool, m_client->send(m_address, request, deadline, true), asio::use_future)
                                      .get();
        requests::AttemptFrameDecoder decoder;
        return *decoder.feed(response->body);
    }

    static std::string dataOf(const std::vector<protocol::AttemptFrame> &frames)
    {
        std::string data;
        for (const protocol::AttemptFrame &frame : frames)
            data += frame.data();
        return data;
    }

    asio::thread_pool m_pool{4};
    OpenGate m_gate;
    FixedConfig m_config;
    FakeOrderLog m_orderLog;
    RequestProxyOptions m_options;
    std::unique_ptr<transport::HttpClient> m_client;
    std::unique_ptr<transport::HttpServer> m_endpoint;
    std::unique_ptr<transport::HttpServer> m_agent;
    std::unique_ptr<RequestProxy> m_proxy;
    domain::SocketAddress m_address;
    domain::Digest m_weights = domain::Digest::of("weights");
    std::chrono::milliseconds m_endpointDelay = 0ms;
    std::atomic<int> m_calls = 0;
};

TEST_F(RequestProxyFixture, handle_lookup_completeAnswerWithChecksum)
{
    const auto frames = send(attempt("r1"));
    ASSERT_GE(frames.size(), 4U);
    EXPECT_EQ(frames.front().accepted().request_id(), "r1");
    EXPECT_EQ(dataOf(frames), "answer to /stock/9");
    requests::AnswerChecksum checksum;
    checksum.add(dataOf(frames));
    EXPECT_EQ(frames.back().end().outcome(), protocol::OUTCOME_ANSWERED);
    EXPECT_EQ(frames.back().end().checksum(), checksum.value());
    // One successful answer raises the initial limit of 1.
    EXPECT_EQ(frames.back().end().load().limit(), 2U);
}

// Guards against a slow endpoint that looks to the entry like a broken connection to the agent.
TEST_F(RequestProxyFixture, handle_slowEndpoint_heartbeatsMeanwhile)
{
    m_endpointDelay = 700ms;
    const auto frames = send(attempt("r1"));
    const auto heartbeats = std::count_if(frames.begin(), frames.end(),
            [](const protocol::AttemptFrame &frame) { return frame.heartbeat(); });
    EXPECT_GE(heartbeats, 2);
    EXPECT_EQ(frames.back().end().outcome(), protocol::OUTCOME_ANSWERED);
}

// Guards against an attempt that runs again when a duplicate or a reattach arrives.
TEST_F(RequestProxyFixture, handle_duplicateAndReattach_runsOnceAndAnswersAgain)
{
    send(attempt("r1"));
    const auto duplicate = send(attempt("r1"));
    protocol::Attempt reattach = attempt("r1");
    reattach.set_reattach(true);
    reattach.set_received_bytes(7);
    const auto rest = send(reattach);
    EXPECT_EQ(m_calls, 1);
    EXPECT_EQ(dataOf(duplicate), "answer to /stock/9");
    EXPECT_EQ(dataOf(rest), "to /stock/9");
}

// Guards against an attempt that runs after it was reported to its sender as not run.
TEST_F(RequestProxyFixture, handle_attemptAfterRefusedReattach_notRun)
{
    protocol::Attempt reattach = attempt("r1");
    reattach.set_reattach(true);
    EXPECT_EQ(send(reattach).back().end().outcome(), protocol::OUTCOME_NOT_RUN);
    EXPECT_EQ(send(attempt("r1")).back().end().outcome(), protocol::OUTCOME_NOT_RUN);
    EXPECT_EQ(m_calls, 0);
}

// Guards against a false "not run": a restarted agent has no record of its predecessor's attempts.
TEST_F(RequestProxyFixture, handle_reattachForPredecessor_unknown)
{
    protocol::Attempt reattach = attempt("r1");
    reattach.set_reattach(true);
    reattach.set_receiver_incarnation(Incarnation - 1);
    EXPECT_EQ(send(reattach).back().end().outcome(), protocol::OUTCOME_UNKNOWN);
}

// Guards against an answer from weights other than those to which the request is pinned.
TEST_F(RequestProxyFixture, handle_engineWithOtherWeights_notAnswered)
{
    m_options.kind = config::ServiceKind::Model;
    m_agent->closeAll();
    startProxy();
    protocol::Attempt pinned = attempt("r1");
    pinned.set_required_digest(domain::Digest::of("weights").bytes());
    m_weights = domain::Digest::of("older weights");
    EXPECT_EQ(send(pinned).back().end().outcome(), protocol::OUTCOME_UNKNOWN);
    pinned.set_request_id("r2");
    pinned.set_required_digest(domain::Digest::of("older weights").bytes());
    EXPECT_EQ(send(pinned).back().end().outcome(), protocol::OUTCOME_NOT_RUN);
}

// Guards against new attempts in a withdrawn data centre from an entry that has not received the
// withdrawal yet.
TEST_F(RequestProxyFixture, handle_withdrawnDataCentre_notRun)
{
    m_config.m_snapshot->withdrawals[m_options.dataCentre] = {m_options.dataCentre, "power", {}};
    EXPECT_EQ(send(attempt("r1")).back().end().outcome(), protocol::OUTCOME_NOT_RUN);
    EXPECT_EQ(m_calls, 0);
}

// Guards against a non-idempotent call whose lost answer is reported as "not run".
TEST_F(RequestProxyFixture, handle_endpointNeverAnswers_unknown)
{
    m_endpointDelay = 800ms;
    protocol::Attempt order = attempt("r1");
    order.set_idempotent(false);
    order.set_remaining_ms(300);
    EXPECT_EQ(send(order).back().end().outcome(), protocol::OUTCOME_UNKNOWN);
}

// Guards against an order that runs again when its caller repeats it.
TEST_F(RequestProxyFixture, handle_repeatedOrder_runsOnceAndGetsFirstAnswer)
{
    const auto first = send(order("r1", "k"));
    const auto repeat = send(order("r2", "k"));
    EXPECT_EQ(m_calls, 1);
    EXPECT_EQ(dataOf(first), "answer to /orders");
    EXPECT_EQ(dataOf(repeat), "answer to /orders");
    EXPECT_EQ(repeat.back().end().outcome(), protocol::OUTCOME_ANSWERED);
}

// Guards against an order that runs again after a restart of the agent.
TEST_F(RequestProxyFixture, handle_orderRepeatedAfterRestart_notRunAgain)
{
    useOneSlot();
    send(order("r1", "k"));
    m_agent->closeAll();
    m_options.incarnation = domain::Incarnation(Incarnation + 1);
    startProxy();
    protocol::Attempt repeat = order("r2", "k");
    repeat.set_receiver_incarnation(Incarnation + 1);
    EXPECT_NE(send(repeat).back().end().outcome(), protocol::OUTCOME_NOT_RUN);
    EXPECT_EQ(m_calls, 1);
}

// Guards against an order that waits until its deadline, or runs without a record, in an outage.
TEST_F(RequestProxyFixture, handle_orderWhilePlatformIsDown_notRunWithRetryAfter)
{
    useOneSlot();
    send(order("r1", "known"));
    m_orderLog.m_isDown = true;
    const auto fresh = send(order("r2", "fresh"));
    EXPECT_EQ(fresh.back().end().outcome(), protocol::OUTCOME_NOT_RUN);
    EXPECT_GT(fresh.back().end().retry_after_ms(), 0U);
    EXPECT_EQ(dataOf(send(order("r3", "known"))), "answer to /orders");
    EXPECT_EQ(m_calls, 1);
}

// Guards against a duplicate answer that is used as the answer to the next lookup or order. It
// arrives in one packet with the first one, or while the connection is idle.
TEST_F(RequestProxyFixture, handle_endpointWritesAnswerTwice_nextAttemptGetsItsOwn)
{
    useOneSlot();
    for (const auto gap : {0ms, 10ms}) {
        transport::ScriptedPeer peer([gap](transport::ScriptedPeer::Socket &socket, int number) {
            const std::string answer
                    = "HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\n" + std::to_string(number);
            transport::ScriptedPeer::write(socket, gap == 0ms ? answer + answer : answer);
            std::this_thread::sleep_for(gap);
            if (gap > 0ms)
                transport::ScriptedPeer::write(socket, answer);
            return true;
        });
        m_options.endpoint = peer.address();
        m_agent->closeAll();
        startProxy();
        for (int i = 1; i <= 6; ++i) {
            const std::string id = std::to_string(gap.count()) + "-" + std::to_string(i);
            const auto frames = send(i % 2 == 0 ? order(id, id) : attempt(id));
            EXPECT_EQ(dataOf(frames), std::to_string(i));
            std::this_thread::sleep_for(2 * gap);
        }
        m_client->closeIdle();
    }
}

// Guards against an answer truncated in its head that is accepted as complete, or after which the
// request is reported as not run.
TEST_F(RequestProxyFixture, handle_answerTruncatedAtEveryByteOfHead_unknown)
{
    useOneSlot();
    const std::string head = "HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\n";
    std::atomic<std::size_t> truncatedAt = 0;
    std::atomic<bool> isReset = false;
    transport::ScriptedPeer peer([&](transport::ScriptedPeer::Socket &socket, int) {
        transport::ScriptedPeer::write(socket, head.substr(0, truncatedAt));
        if (isReset) {
            socket.set_option(asio::socket_base::linger(true, 0));
            // Closed here, since the destructor of the socket resets the linger option.
            socket.close();
        }
        return false;
    });
    m_options.endpoint = peer.address();
    m_agent->closeAll();
    startProxy();
    for (std::size_t i = 0; i < 2 * (head.size() + 1); ++i) {
        truncatedAt = i / 2;
        isReset = i % 2 == 1;
        const std::string id = std::to_string(i);
        protocol::Attempt unkeyed = attempt("u" + id);
        unkeyed.set_idempotent(false);
        for (const auto &sent : {attempt("l" + id), unkeyed, order("o" + id, id)}) {
            const auto frames = send(sent);
            EXPECT_EQ(frames.back().end().outcome(), protocol::OUTCOME_UNKNOWN)
                    << sent.request_id() << " cut at " << truncatedAt;
            EXPECT_EQ(dataOf(frames), "");
        }
    }
}

// Guards against a drain that loses results or accepts new attempts.
TEST_F(RequestProxyFixture, drain_runningAttempt_finishesAndRefusesNewAttempts)
{
    m_endpointDelay = 300ms;
    auto running = std::async(std::launch::async, [this] { return send(order("r1", "k")); });
    while (m_calls == 0)
        std::this_thread::yield();
    const TimePoint deadline = TimePoint::clock::now() + 5s;
    asio::co_spawn(m_pool, m_proxy->drain(deadline), asio::use_future).get();
    EXPECT_EQ(m_proxy->active(), 0U);
    EXPECT_EQ(
            m_orderLog.m_batches.rbegin()->second.records(0).kind(), protocol::ORDER_RECORD_RESULT);
    EXPECT_EQ(running.get().back().end().outcome(), protocol::OUTCOME_ANSWERED);
    EXPECT_EQ(send(attempt("r2")).back().end().outcome(), protocol::OUTCOME_NOT_RUN);
}

} // namespace oriolerill::agent
