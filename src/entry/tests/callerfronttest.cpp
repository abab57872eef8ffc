#include "entry/internal/callerfront.h"
#include "requests/answerchecksum.h"
#include "requests/attempthost.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/thread_pool.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/use_future.hpp>

#include <gtest/gtest.h>

#include <atomic>
#include <chrono>
#include <deque>

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
        ++m_counts[static_cast<int>(record.outcome)];
    }

    std::array<std::atomic<int>, 4> m_counts = {};
};

/// An agent whose attempts follow a script.
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
        if (m_silentConnections > 0) {
            --m_silentConnections;
            co_await serveSilently(exchange, std::move(attempt));
            co_return;
        }
        if (m_crossedAnswers > 0) {
            --m_crossedAnswers;
            attempt.set_request_id("someone else's");
        }
        requests::AttemptHost::Write write
                = [&exchange](std::string bytes) { return exchange.write(std::move(bytes)); };
        co_await m_host.serve(std::move(attempt), std::move(write), script());
        co_await exchange.finish({});
    }

    requests::AttemptHost::Runner script()
    {
        return [this](std::shared_ptr<RunningAttempt> running) {
            ++m_runs;
            return m_script(std::move(running));
        };
    }

    /// The attempt runs, but nothing of its answer reaches the entry over this connection.
    asio::awaitable<void> serveSilently(
            transport::HttpServerExchange &exchange, protocol::Attempt attempt)
    {
        requests::AttemptHost::Write swallow
                = [](std::string) -> asio::awaitable<domain::Expected<domain::Done>> {
            co_return domain::Done{};
        };
        co_await m_host.serve(std::move(attempt), std::move(swallow), script());
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
    std::atomic<int> m_silentConnections = 0;
    std::atomic<int> m_crossedAnswers = 0;
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
        m_options.attempts.silence = 300ms;
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

    domain::Expected<transport::HttpResponse> call(const std::string &target,
            const std::string &method = "GET", const std::string &key = {},
            std::chrono::milliseconds deadline = 3s)
    {
        transport::HttpRequest request;
        request.method = method;
        request.target = "/v1/services/" + target;
        request.fields.add("Authorization", "Bearer shop-token");
        request.fields.add("X-Request-Deadline-Ms", std::to_string(deadline.count()));
        if (!key.empty())
            request.fields.add("Idempotency-Key", key);
        return asio::co_spawn(m_pool,
                m_client->send(m_address, request, TimePoint::clock::now() + 8s), asio::use_future)
                .get();
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

TEST_F(CallerFrontFixture, handleCaller_lookup_answeredWhole)
{
    addAgent("stock", [](auto running) { return answerWith(running, "12 left"); });
    start();
    const auto response = call("stock/stock/9");
    ASSERT_TRUE(response);
    EXPECT_EQ(response->status, 200U);
    EXPECT_EQ(response->body, "12 left");
    EXPECT_EQ(outcome(*response), "answered");
    EXPECT_EQ(m_recorder.m_counts[0], 1);
}

} // namespace oriolerill::entry
