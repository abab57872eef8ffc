#include "entry/internal/callerfront.h"
#include "requests/answerchecksum.h"
#include "requests/attemptframecodec.h"
#include "requests/attempthost.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/thread_pool.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/use_future.hpp>

#include <gtest/gtest.h>

#include <algorithm>
#include <atomic>
#include <chrono>
#include <deque>
#include <thread>

namespace oriolerill::entry {

namespace asio = boost::asio;
using namespace std::chrono_literals;
using domain::TimePoint;
using requests::RunningAttempt;

namespace {

class FixedConfig : public config::IConfigView
{
public:
    std::shared_ptr<const config::ConfigSnapshot> snapshot() const override { return m_snapshot; }

    std::shared_ptr<config::ConfigSnapshot> m_snapshot = std::make_shared<config::ConfigSnapshot>();
};

class FixedMembership : public membership::IMembershipView
{
public:
    std::shared_ptr<const membership::MembershipSnapshot> snapshot() const override
    {
        return m_snapshot;
    }

    std::shared_ptr<membership::MembershipSnapshot> m_snapshot
            = std::make_shared<membership::MembershipSnapshot>();
};

class CountingRecorder : public observability::IRequestRecorder
{
public:
    void record(const observability::RequestRecord &record) override
    {
        m_lastFirstByte = record.firstByte;
        ++m_counts[static_cast<int>(record.outcome)];
    }

    std::array<std::atomic<int>, 4> m_counts = {};
    std::atomic<domain::Duration> m_lastFirstByte = {};
};

/// An agent that runs each attempt with a script.
class FakeAgent
{
public:
    using Script = requests::AttemptHost::Runner;

    FakeAgent(const asio::any_io_executor &executor, domain::Incarnation incarnation)
        : m_host(executor, incarnation, requests::AttemptHostOptions())
        , m_server(executor, transport::HttpServerOptions())
    {
        m_address = *m_server.start({"127.0.0.1", 0},
                [this](transport::HttpServerExchange &exchange) { return handle(exchange); });
    }

    asio::awaitable<void> handle(transport::HttpServerExchange &exchange)
    {
        protocol::Attempt attempt;
        attempt.ParseFromString(exchange.request().body);
        ++m_connections;
        co_await exchange.start({});
        if (m_unresponsiveConnections > 0) {
            --m_unresponsiveConnections;
            co_await serveWithoutAnswer(exchange, std::move(attempt));
            co_return;
        }
        if (m_foreignAnswers > 0) {
            --m_foreignAnswers;
            attempt.set_request_id("another request");
        }
        const bool isTruncated = m_truncatedAnswers > 0;
        if (isTruncated)
            --m_truncatedAnswers;
        requests::AttemptHost::Write write = [this, &exchange, isTruncated](std::string bytes) {
            return writeTo(exchange, std::move(bytes), isTruncated);
        };
        co_await m_host.serve(std::move(attempt), std::move(write), script());
        co_await exchange.finish({});
    }

    /// A truncated answer has no end frame; an agent without heartbeats sends all other frames.
    asio::awaitable<domain::Expected<domain::Done>> writeTo(
            transport::HttpServerExchange &exchange, std::string bytes, bool isTruncated)
    {
        requests::AttemptFrameDecoder decoder;
        const auto frames = decoder.feed(bytes);
        std::string kept;
        for (const protocol::AttemptFrame &frame : *frames) {
            const bool isDropped
                    = (isTruncated && frame.has_end()) || (!m_hasHeartbeats && frame.heartbeat());
            protocol::AttemptFrame sent = frame;
            if (!frame.data().empty() && m_corruptedAnswers > 0) {
                --m_corruptedAnswers;
                sent.mutable_data()->front() = '?';
            }
            if (!isDropped)
                kept += requests::encodeFrame(sent);
        }
        domain::Expected<domain::Done> written = co_await exchange.write(std::move(kept));
        co_return written;
    }

    requests::AttemptHost::Runner script()
    {
        return [this](const std::shared_ptr<RunningAttempt> &running) {
            ++m_runs;
            return m_script(running);
        };
    }

    /// Runs the attempt without sending any frame of its answer over this connection.
    asio::awaitable<void> serveWithoutAnswer(
            transport::HttpServerExchange &exchange, protocol::Attempt attempt)
    {
        requests::AttemptHost::Write discard
                = [](std::string) -> asio::awaitable<domain::Expected<domain::Done>> {
            co_return domain::Done{};
        };
        co_await m_host.serve(std::move(attempt), std::move(discard), script());
        const auto executor = co_await asio::this_coro::executor;
        asio::steady_timer timer(executor, 3s);
        co_await timer.async_wait(asio::use_awaitable);
        exchange.abort();
    }

    requests::AttemptHost m_host;
    transport::HttpServer m_server;
    domain::SocketAddress m_address;
    Script m_script;
    std::atomic<int> m_connections = 0;
    std::atomic<int> m_runs = 0;
    std::atomic<int> m_unresponsiveConnections = 0;
    std::atomic<int> m_foreignAnswers = 0;
    std::atomic<int> m_truncatedAnswers = 0;
    std::atomic<int> m_corruptedAnswers = 0;
    std::atomic<bool> m_hasHeartbeats = true;
};

protocol::AnswerHead headWith(const domain::Digest &digest)
{
    protocol::AnswerHead head;
    head.set_status(200);
    if (!digest.isNone())
        head.set_active_digest(digest.bytes());
    return head;
}

void finishAnswered(RunningAttempt &running)
{
    protocol::AnswerEnd end;
    end.set_outcome(protocol::OUTCOME_ANSWERED);
    running.finish(std::move(end));
}

asio::awaitable<void> answerWith(std::shared_ptr<RunningAttempt> running, std::string text)
{
    running->setHead(headWith(domain::Digest()));
    co_await running->append(std::move(text));
    finishAnswered(*running);
}

asio::awaitable<void> waitPastDeadline()
{
    const auto executor = co_await asio::this_coro::executor;
    asio::steady_timer timer(executor, 4s);
    co_await timer.async_wait(asio::use_awaitable);
}

asio::awaitable<void> answerLate(std::shared_ptr<RunningAttempt> running, std::string text)
{
    running->setHead(headWith(domain::Digest()));
    std::string part = text.substr(0, 2);
    co_await running->append(std::move(part));
    const auto executor = co_await asio::this_coro::executor;
    asio::steady_timer timer(executor, 600ms);
    co_await timer.async_wait(asio::use_awaitable);
    co_await running->append(text.substr(2));
    finishAnswered(*running);
}

/// Streams three words; an interrupted attempt stops after six bytes.
asio::awaitable<void> streamInterrupted(
        std::shared_ptr<RunningAttempt> running, domain::Digest weights, bool isResumable)
{
    const std::string text = "one two three";
    constexpr std::size_t Break = 6;
    const std::size_t from = running->attempt().resume_offset();
    const bool isInterrupted = !isResumable || running->attempt().attempt() == 1;
    running->setHead(headWith(weights));
    std::string part = text.substr(from, isInterrupted ? Break : std::string::npos);
    co_await running->append(std::move(part));
    if (isInterrupted)
        running->fail(protocol::OUTCOME_UNKNOWN,
                {domain::ErrorKind::Unavailable, "interrupted", ""}, {}, {});
    else
        finishAnswered(*running);
}

/// Answers with an endpoint's error.
asio::awaitable<void> answerError(
        std::shared_ptr<RunningAttempt> running, unsigned status, domain::Digest weights)
{
    protocol::AnswerHead head = headWith(weights);
    head.set_status(status);
    running->setHead(std::move(head));
    co_await running->append("failure");
    finishAnswered(*running);
}

asio::awaitable<void> streamLong(
        std::shared_ptr<RunningAttempt> running, domain::Digest weights, std::size_t size)
{
    constexpr std::size_t Piece = 100'000;
    running->setHead(headWith(weights));
    for (std::size_t sent = 0; sent < size; sent += Piece)
        co_await running->append(std::string(std::min(Piece, size - sent), 'x'));
    finishAnswered(*running);
}

asio::awaitable<void> refuseOverloaded(std::shared_ptr<RunningAttempt> running)
{
    running->fail(protocol::OUTCOME_NOT_RUN,
            {domain::ErrorKind::Overloaded, "full", "come back later"}, 200ms, {});
    co_return;
}

} // namespace

class CallerFrontFixture : public testing::Test
{
protected:
    static constexpr std::uint64_t AgentIncarnation = 5;

    void SetUp() override
    {
        m_client = std::make_unique<transport::HttpClient>(
                m_pool.get_executor(), transport::HttpClientOptions());
        addAccount("shop");
        addService("stock", config::ServiceKind::Plain);
        addService("drafts", config::ServiceKind::Model);
        m_options.id = domain::EntryId("entry-1");
        m_options.dataCentre = domain::DataCentreId("salto-a");
        m_options.incarnation = domain::Incarnation(3);
        m_options.attempts.frameTimeout = 300ms;
    }

    void start()
    {
        m_membership.m_snapshot->ownDataCentre = m_options.dataCentre;
        m_front = std::make_unique<CallerFront>(
                m_pool.get_executor(), m_config, m_membership, *m_client, m_recorder, m_options);
        m_server = std::make_unique<transport::HttpServer>(
                m_pool.get_executor(), transport::HttpServerOptions());
        m_address = *m_server->start({"127.0.0.1", 0},
                [this](transport::HttpServerExchange &e) { return m_front->handleCaller(e); });
    }

    void TearDown() override
    {
        m_pool.stop();
        m_pool.join();
    }

    void addAccount(const std::string &name)
    {
        config::Account account;
        account.id = domain::AccountId(name);
        account.tokenDigest = domain::Digest::of(name + "-token");
        m_config.m_snapshot->accounts[account.id] = account;
    }

    void addService(const std::string &name, config::ServiceKind kind)
    {
        config::Service service;
        service.id = domain::ServiceId(name);
        service.kind = kind;
        service.nonIdempotentCalls = {{"POST", "/orders"}};
        m_config.m_snapshot->services[service.id] = service;
    }

    FakeAgent &addAgent(
            const std::string &service, FakeAgent::Script script, domain::Digest digest = {})
    {
        FakeAgent &agent = m_agents.emplace_back(
                m_pool.get_executor(), domain::Incarnation(AgentIncarnation));
        agent.m_script = std::move(script);
        membership::EndpointRecord record;
        record.id = domain::EndpointId(service + std::to_string(m_agents.size()));
        record.dataCentre = m_options.dataCentre;
        record.service = domain::ServiceId(service);
        record.incarnation = domain::Incarnation(AgentIncarnation);
        record.requestAddress = agent.m_address;
        record.state = protocol::ENDPOINT_STATE_SERVING;
        record.activeDigest = digest;
        record.limit = 8;
        m_membership.m_snapshot->endpoints.push_back(record);
        return agent;
    }

    void addDataCentre(const std::string &name, const domain::SocketAddress &entryAddress)
    {
        membership::DataCentreSummary summary;
        summary.dataCentre = domain::DataCentreId(name);
        summary.services[domain::ServiceId("stock")] = {3, 0, 24, {}};
        m_membership.m_snapshot->summaries[summary.dataCentre] = summary;
        membership::EntryRecord entry;
        entry.id = domain::EntryId("entry of " + name);
        entry.dataCentre = summary.dataCentre;
        entry.requestAddress = entryAddress;
        m_membership.m_snapshot->entries.push_back(entry);
    }

    domain::Expected<transport::HttpResponse> call(const std::string &target,
            const std::string &method = "GET", const std::string &key = {},
            std::chrono::milliseconds deadline = 3s)
    {
        transport::HttpRequest request;
        request.method = method;
        request.target = "/v1/services/" + target;
        request.body = target;
        request.fields.add("Authorization", "Bearer shop-token");
        request.fields.add("X-Request-Deadline-Ms", std::to_string(deadline.count()));
        if (!key.empty())
            request.fields.add("Idempotency-Key", key);
        return asio::co_spawn(m_pool,
                m_client->send(m_address, request, TimePoint::clock::now() + 8s), asio::use_future)
                .get();
    }

    /// Number of records with the outcome. Waits for the expected number, because a request is
    /// recorded after its answer was sent.
    int recordCount(observability::RequestOutcome outcome, int expected)
    {
        const TimePoint deadline = TimePoint::clock::now() + 2s;
        const std::atomic<int> &count = m_recorder.m_counts[static_cast<std::size_t>(outcome)];
        while (count != expected && TimePoint::clock::now() < deadline)
            std::this_thread::sleep_for(1ms);
        return count;
    }

    static std::string outcome(const transport::HttpResponse &response)
    {
        return response.fields.valueOr("X-Oriolerill-Outcome", "none");
    }

    asio::thread_pool m_pool{4};
    FixedConfig m_config;
    FixedMembership m_membership;
    CountingRecorder m_recorder;
    CallerFrontOptions m_options;
    std::unique_ptr<transport::HttpClient> m_client;
    std::deque<FakeAgent> m_agents;
    std::unique_ptr<CallerFront> m_front;
    std::unique_ptr<transport::HttpServer> m_server;
    domain::SocketAddress m_address;
};

TEST_F(CallerFrontFixture, handleCaller_lookup_answerComplete)
{
    addAgent("stock", [](auto running) { return answerWith(running, "12 left"); });
    start();
    const auto response = call("stock/stock/9");
    ASSERT_TRUE(response);
    EXPECT_EQ(response->status, 200U);
    EXPECT_EQ(response->body, "12 left");
    EXPECT_EQ(outcome(*response), "answered");
    EXPECT_EQ(recordCount(observability::RequestOutcome::Answered, 1), 1);
}

// Guards against a refusal that waits for the deadline.
TEST_F(CallerFrontFixture, handleCaller_noEndpoint_notRunAtOnce)
{
    start();
    const TimePoint startedAt = TimePoint::clock::now();
    const auto response = call("stock/stock/9");
    EXPECT_LT(TimePoint::clock::now() - startedAt, 1s);
    EXPECT_EQ(outcome(*response), "not-run");
    EXPECT_TRUE(response->fields.value("Retry-After"));
    EXPECT_NE(response->body.find("remedy"), std::string::npos);
}

TEST_F(CallerFrontFixture, handleCaller_wrongToken_unauthorized)
{
    m_config.m_snapshot->accounts.clear();
    start();
    EXPECT_EQ(call("stock/stock/9")->status, 401U);
}

// Guards against sending a caller the answer to another request.
TEST_F(CallerFrontFixture, handleCaller_answerOfOtherRequest_discardedAndOwnAnswerSent)
{
    for (int i = 0; i < 2; ++i) {
        addAgent("stock", [](const std::shared_ptr<RunningAttempt> &running) {
            return answerWith(running, "for " + running->attempt().request_id());
        });
    }
    m_agents.front().m_foreignAnswers = 1;
    start();
    for (int i = 0; i < 8; ++i) {
        const auto response = call("stock/stock/9");
        const std::string id = response->fields.valueOr("X-Oriolerill-Request-Id", "");
        EXPECT_EQ(response->body, "for " + id);
    }
    EXPECT_EQ(m_agents.front().m_foreignAnswers, 0);
}

// Guards against forwarding a corrupted answer as complete.
TEST_F(CallerFrontFixture, handleCaller_corruptedAnswer_retriedAndComplete)
{
    FakeAgent &agent
            = addAgent("stock", [](auto running) { return answerWith(running, "12 left"); });
    agent.m_corruptedAnswers = 1;
    start();
    EXPECT_EQ(call("stock/stock/9")->body, "12 left");
}

// Regression: the first byte of a failed attempt counted as that of the answer, so the burn report
// showed requests as faster than they were.
TEST_F(CallerFrontFixture, handleCaller_attemptFailsAfterFirstByte_nothingOfItDelivered)
{
    addAgent("stock", [](auto running) -> asio::awaitable<void> {
        if (running->attempt().attempt() > 1) {
            co_await answerWith(running, "12 left");
            co_return;
        }
        protocol::AnswerHead head = headWith(domain::Digest());
        head.set_status(500);
        running->setHead(std::move(head));
        co_await running->append("failure");
        const auto executor = co_await asio::this_coro::executor;
        asio::steady_timer timer(executor, 200ms);
        co_await timer.async_wait(asio::use_awaitable);
        running->fail(protocol::OUTCOME_UNKNOWN,
                {domain::ErrorKind::Unavailable, "interrupted", ""}, {}, {});
    });
    start();
    const auto response = call("stock/stock/9");
    EXPECT_EQ(response->status, 200U);
    EXPECT_EQ(response->body, "12 left");
    EXPECT_EQ(recordCount(observability::RequestOutcome::Answered, 1), 1);
    EXPECT_GE(m_recorder.m_lastFirstByte.load(), 200ms);
}

// Guards against an invalid status of an agent that is forwarded to the caller.
TEST_F(CallerFrontFixture, handleCaller_invalidStatus_outcomeUnknown)
{
    addAgent("stock", [](auto running) { return answerError(running, 99, domain::Digest()); });
    start();
    const auto response = call("stock/orders", "POST");
    EXPECT_EQ(outcome(*response), "unknown");
    EXPECT_NE(response->body, "failure");
}

// Guards against forwarding a truncated answer as complete.
TEST_F(CallerFrontFixture, handleCaller_answerTruncatedBeforeEnd_reattachedAndComplete)
{
    FakeAgent &agent
            = addAgent("stock", [](auto running) { return answerWith(running, "12 left"); });
    agent.m_truncatedAnswers = 1;
    start();
    const auto response = call("stock/stock/9");
    EXPECT_EQ(response->body, "12 left");
    EXPECT_EQ(agent.m_runs, 1);
    EXPECT_EQ(agent.m_connections, 2);
}

// Guards against a caller that waits for an unresponsive connection to the agent, and against a
// second run of a non-idempotent request when its connection is replaced.
TEST_F(CallerFrontFixture, handleCaller_unresponsiveConnection_reattachGetsAnswer)
{
    FakeAgent &agent
            = addAgent("stock", [](auto running) { return answerWith(running, "placed"); });
    agent.m_unresponsiveConnections = 1;
    start();
    const auto response = call("stock/orders", "POST");
    EXPECT_EQ(outcome(*response), "answered");
    EXPECT_EQ(response->body, "placed");
    EXPECT_EQ(agent.m_runs, 1);
}

// Guards against a false "not run" and a second run: the order may have run at the agent that died.
TEST_F(CallerFrontFixture, handleCaller_agentDiesDuringOrder_unknownAndNotRetried)
{
    FakeAgent &agent = addAgent("stock", [this](const std::shared_ptr<RunningAttempt> &) {
        m_agents.front().m_server.stopAccepting();
        m_agents.front().m_server.closeAll();
        return waitPastDeadline();
    });
    start();
    const auto response = call("stock/orders", "POST");
    EXPECT_EQ(outcome(*response), "unknown");
    EXPECT_EQ(agent.m_runs, 1);
}

// Guards against "unknown" when no byte of the request left the entry.
TEST_F(CallerFrontFixture, handleCaller_connectionRefused_notRun)
{
    FakeAgent &agent = addAgent("stock", [](auto running) { return answerWith(running, ""); });
    agent.m_server.stopAccepting();
    std::this_thread::sleep_for(50ms);
    start();
    EXPECT_EQ(outcome(*call("stock/orders", "POST")), "not-run");
}

// Guards against requests to a dead endpoint until the membership marks it as dead.
TEST_F(CallerFrontFixture, handleCaller_unresponsiveEndpoint_avoidedByNextRequests)
{
    for (int i = 0; i < 2; ++i)
        addAgent("stock", [](auto running) { return answerWith(running, "12 left"); });
    m_agents.front().m_unresponsiveConnections = 100;
    start();
    for (int i = 0; i < 12; ++i)
        EXPECT_EQ(call("stock/stock/9")->body, "12 left");
    EXPECT_LE(m_agents.front().m_connections, 2);
}

// Guards against an entry that buffers a complete answer, or truncates it, when the caller is slow.
TEST_F(CallerFrontFixture, handleCaller_longStream_completeWithChecksum)
{
    const domain::Digest weights = domain::Digest::of("w1");
    constexpr std::size_t Size = 8U << 20U;
    addAgent(
            "drafts",
            [weights](const std::shared_ptr<RunningAttempt> &running) {
                return streamLong(running, weights, Size);
            },
            weights);
    start();
    const auto response = call("drafts/v1/generate", "POST");
    ASSERT_TRUE(response);
    EXPECT_EQ(response->body.size(), Size);
}

// Guards against mixing the late answer of the first attempt into the answer of the retry.
TEST_F(CallerFrontFixture, handleCaller_lateAnswerAfterRetry_discarded)
{
    m_options.attempts.maxConnections = 1;
    for (int i = 0; i < 2; ++i) {
        addAgent("stock", [this](const std::shared_ptr<RunningAttempt> &running) {
            return running->attempt().attempt() == 1 ? answerLate(running, "first")
                                                     : answerWith(running, "second");
        });
    }
    start();
    // Without heartbeats, the first attempt times out.
    for (FakeAgent &agent : m_agents)
        agent.m_hasHeartbeats = false;
    const auto response = call("stock/stock/9");
    EXPECT_EQ(response->body, "second");
}

// Guards against retries that multiply the load of overloaded endpoints.
TEST_F(CallerFrontFixture, handleCaller_allOverloaded_retriesWithinBudget)
{
    for (int i = 0; i < 4; ++i)
        addAgent("stock", refuseOverloaded);
    m_options.retryBudget = {0.1, 0, 10};
    start();
    constexpr int Requests = 50;
    for (int i = 0; i < Requests; ++i) {
        const auto response = call("stock/stock/9");
        EXPECT_EQ(outcome(*response), "not-run");
        EXPECT_EQ(response->status, 503U);
    }
    int runs = 0;
    for (const FakeAgent &agent : m_agents)
        runs += agent.m_runs;
    EXPECT_LE(runs, Requests + Requests / 10);
}

// Guards against a stream that is resumed at the wrong byte or from other weights.
TEST_F(CallerFrontFixture, handleCaller_modelStreamBreaks_resumedOnSameWeights)
{
    const domain::Digest weights = domain::Digest::of("w1");
    const auto script = [weights](const std::shared_ptr<RunningAttempt> &running) {
        return streamInterrupted(running, weights, true);
    };
    addAgent("drafts", script, weights);
    addAgent("drafts", script, weights);
    addAgent(
            "drafts", [](auto running) { return answerWith(running, "other"); },
            domain::Digest::of("w2"));
    start();
    int resumed = 0;
    for (int i = 0; i < 10; ++i) {
        const auto response = call("drafts/v1/generate?" + std::to_string(i), "POST");
        ASSERT_TRUE(response);
        EXPECT_TRUE(response->body == "one two three" || response->body == "other");
        resumed += response->body == "one two three" ? 1 : 0;
    }
    EXPECT_GE(resumed, 1);
}

// Guards against an error's text inside a caller's stream, and against a stream that ends with it
// and counts as complete: the endpoint that has to resume the stream answers with an error, or from
// other weights.
TEST_F(CallerFrontFixture, handleCaller_resumedAtEndpointThatFails_errorNotInStream)
{
    const domain::Digest weights = domain::Digest::of("w1");
    const auto failures = std::make_shared<std::atomic<int>>(0);
    const auto script = [weights, failures](const std::shared_ptr<RunningAttempt> &running) {
        constexpr unsigned Statuses[] = {400, 404, 302, 500, 200};
        if (running->attempt().resume_offset() == 0)
            return streamInterrupted(running, weights, true);
        const unsigned status = Statuses[(*failures)++ % std::size(Statuses)];
        const bool isOtherWeights = status == 200;
        return answerError(running, status, isOtherWeights ? domain::Digest::of("w2") : weights);
    };
    addAgent("drafts", script, weights);
    addAgent("drafts", script, weights);
    m_options.resumeTimeout = 300ms;
    start();
    for (int i = 0; i < 5; ++i) {
        const auto response = call("drafts/v1/generate?" + std::to_string(i), "POST", {}, 800ms);
        EXPECT_FALSE(response) << response->body;
    }
    EXPECT_GE(*failures, 5);
}

// Guards against aborting a stream because one endpoint answered its resumption with an error,
// while another can resume it.
TEST_F(CallerFrontFixture, handleCaller_resumptionFailsOnce_resumedAtNext)
{
    const domain::Digest weights = domain::Digest::of("w1");
    const auto failures = std::make_shared<std::atomic<int>>(0);
    for (int i = 0; i < 3; ++i) {
        addAgent(
                "drafts",
                [weights, failures](const std::shared_ptr<RunningAttempt> &running) {
                    const bool isResumption = running->attempt().resume_offset() > 0;
                    if (isResumption && (*failures)++ == 0)
                        return answerError(running, 404, weights);
                    return streamInterrupted(running, weights, true);
                },
                weights);
    }
    start();
    const auto response = call("drafts/v1/generate", "POST");
    ASSERT_TRUE(response);
    EXPECT_EQ(response->body, "one two three");
    EXPECT_EQ(*failures, 2);
}

// Guards against aborting a stream because the only other endpoint is briefly overloaded.
TEST_F(CallerFrontFixture, handleCaller_modelStreamBreaksOtherOverloaded_resumedWithFreeCapacity)
{
    const domain::Digest weights = domain::Digest::of("w1");
    std::atomic<int> refusals = 0;
    for (int i = 0; i < 2; ++i) {
        addAgent(
                "drafts",
                [&refusals, weights](const std::shared_ptr<RunningAttempt> &running) {
                    const bool isFirst = running->attempt().attempt() == 1;
                    if (!isFirst && ++refusals < 8)
                        return refuseOverloaded(running);
                    return streamInterrupted(running, weights, true);
                },
                weights);
    }
    start();
    const auto response = call("drafts/v1/generate", "POST");
    ASSERT_TRUE(response);
    EXPECT_EQ(response->body, "one two three");
}

// Guards against a refusal when capacity becomes free within a few milliseconds.
TEST_F(CallerFrontFixture, handleCaller_brieflyOverloaded_answered)
{
    std::atomic<int> runs = 0;
    addAgent("stock", [&runs](const std::shared_ptr<RunningAttempt> &running) {
        return ++runs < 3 ? refuseOverloaded(running) : answerWith(running, "nine");
    });
    start();
    const auto response = call("stock/stock/9");
    EXPECT_EQ(outcome(*response), "answered");
    EXPECT_EQ(response->body, "nine");
}

// Guards against ending a broken stream as complete when no endpoint has the same weights.
TEST_F(CallerFrontFixture, handleCaller_modelStreamBreaksWithoutOther_connectionAborted)
{
    const domain::Digest weights = domain::Digest::of("w1");
    addAgent(
            "drafts",
            [weights](const std::shared_ptr<RunningAttempt> &running) {
                return streamInterrupted(running, weights, false);
            },
            weights);
    addAgent(
            "drafts", [](auto running) { return answerWith(running, "other"); },
            domain::Digest::of("w2"));
    start();
    int cut = 0;
    for (int i = 0; i < 8; ++i) {
        const auto response = call("drafts/v1/generate?" + std::to_string(i), "POST");
        if (!response)
            ++cut;
        else
            EXPECT_EQ(response->body, "other");
    }
    EXPECT_EQ(recordCount(observability::RequestOutcome::Cut, cut), cut);
}

// Guards against orders with the same key at several owners: a repeat has to reach the agent that
// has the first attempt.
TEST_F(CallerFrontFixture, handleCaller_sameOrderKey_sameOwner)
{
    for (int i = 0; i < 5; ++i)
        addAgent("stock", [](auto running) { return answerWith(running, "placed"); });
    start();
    for (int i = 0; i < 10; ++i)
        call("stock/orders", "POST", "key-1");
    const auto owners = std::count_if(m_agents.begin(), m_agents.end(),
            [](const FakeAgent &agent) { return agent.m_runs > 0; });
    EXPECT_EQ(owners, 1);
}

// Guards against a withdrawn data centre that still runs its callers' requests.
TEST_F(CallerFrontFixture, handleCaller_ownDataCentreWithdrawn_forwardedToOther)
{
    FakeAgent &local = addAgent("stock", [](auto running) { return answerWith(running, "local"); });
    FakeAgent other(m_pool.get_executor(), domain::Incarnation(9));
    other.m_script = [](auto running) { return answerWith(running, "other"); };
    addDataCentre("este-a", other.m_address);
    m_config.m_snapshot->withdrawals[m_options.dataCentre] = {m_options.dataCentre, "power", {}};
    start();
    EXPECT_EQ(call("stock/stock/9")->body, "other");
    EXPECT_EQ(local.m_runs, 0);
}

// Guards against a forwarded attempt that neither of the two entries runs.
TEST_F(CallerFrontFixture, handlePeer_forwardedAttempt_answeredByLocalEndpoint)
{
    addAgent("stock", [](auto running) { return answerWith(running, "12 left"); });
    start();
    transport::HttpServer peer(m_pool.get_executor(), transport::HttpServerOptions());
    const auto address = *peer.start({"127.0.0.1", 0},
            [this](transport::HttpServerExchange &e) { return m_front->handlePeer(e); });
    FixedMembership remoteMembership;
    CallerFrontOptions remoteOptions = m_options;
    remoteOptions.id = domain::EntryId("entry-2");
    remoteOptions.dataCentre = domain::DataCentreId("este-a");
    remoteMembership.m_snapshot->ownDataCentre = remoteOptions.dataCentre;
    m_membership.m_snapshot.swap(remoteMembership.m_snapshot);
    addDataCentre("salto-a", address);
    m_membership.m_snapshot.swap(remoteMembership.m_snapshot);
    CallerFront front(m_pool.get_executor(), m_config, remoteMembership, *m_client, m_recorder,
            remoteOptions);
    transport::HttpServer callers(m_pool.get_executor(), transport::HttpServerOptions());
    m_address = *callers.start({"127.0.0.1", 0},
            [&front](transport::HttpServerExchange &e) { return front.handleCaller(e); });
    EXPECT_EQ(call("stock/stock/9")->body, "12 left");
    EXPECT_EQ(call("stock/orders", "POST", "k")->body, "12 left");
    callers.closeAll();
}

} // namespace oriolerill::entry
