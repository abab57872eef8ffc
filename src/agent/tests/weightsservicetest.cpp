#include "agent/internal/weightsservice.h"

#include "distribution/swarmplanner.h"
#include "observability/metrics.h"

#include <boost/asio/post.hpp>
#include <boost/asio/thread_pool.hpp>

#include <gtest/gtest.h>

#include <atomic>
#include <chrono>
#include <functional>
#include <mutex>
#include <thread>

namespace oriolerill::agent {

namespace asio = boost::asio;
using namespace std::chrono_literals;
using distribution::Manifest;
using domain::SocketAddress;
using domain::TimePoint;

/// Delivers control messages within the process: reports to one planner, queries to the agents.
class LocalControl : public transport::IControlClient
{
public:
    explicit LocalControl(asio::any_io_executor executor)
        : m_executor(std::move(executor))
        , m_planner(options(), TimePoint::clock::now())
    {}

    void request(const SocketAddress &peer, const protocol::ControlRequest &message, TimePoint,
            Callback callback) override
    {
        protocol::ControlReply reply;
        const std::scoped_lock lock(m_mutex);
        if (message.has_have_request()) {
            agents.at(peer)->handleControl(
                    message, [&reply](const protocol::ControlReply &given) { reply = given; });
        } else if (isTrackerUp) {
            *reply.mutable_swarm_plan()
                    = m_planner.report(message.swarm_report(), TimePoint::clock::now());
        } else {
            const domain::Error error{domain::ErrorKind::Timeout, "no answer", "retry"};
            asio::post(m_executor, [callback, error] { callback(error); });
            return;
        }
        asio::post(m_executor, [callback, reply] { callback(reply); });
    }

    std::atomic<bool> isTrackerUp = true;
    std::map<SocketAddress, WeightsService *> agents;

private:
    static distribution::SwarmOptions options()
    {
        distribution::SwarmOptions options;
        options.grantLease = 300ms;
        return options;
    }

    asio::any_io_executor m_executor;
    std::mutex m_mutex;
    distribution::SwarmPlanner m_planner;
};

class WeightsServiceFixture : public testing::Test
{
protected:
    static constexpr std::size_t Chunks = 40;
    static constexpr std::size_t ChunkSize = 50000;

    void SetUp() override
    {
        for (std::size_t i = 0; i < Chunks; ++i)
            m_data += std::string(ChunkSize, static_cast<char>('a' + i));
        std::vector<distribution::ChunkInfo> chunks;
        chunks.reserve(Chunks);
        for (std::size_t i = 0; i < Chunks; ++i) {
            const auto digest = domain::Digest::of(m_data.substr(i * ChunkSize, ChunkSize));
            chunks.push_back({digest, domain::Bytes(ChunkSize), {}});
        }
        m_text = Manifest::format("model", "v1", chunks);
        m_digest = domain::Digest::of(m_text);
        m_originAddress = *m_origin.start({"127.0.0.1", 0},
                [this](transport::HttpServerExchange &exchange) { return serveOrigin(exchange); });
        for (std::uint16_t i = 0; i < 3; ++i)
            startAgent(i);
    }

    void TearDown() override
    {
        for (const auto &agent : m_agents)
            agent->stop();
        std::this_thread::sleep_for(50ms);
        m_servers.clear();
        m_pool.stop();
        m_pool.join();
        m_agents.clear();
    }

    void startAgent(std::uint16_t index)
    {
        transport::HttpServerOptions serverOptions;
        m_servers.push_back(
                std::make_unique<transport::HttpServer>(m_pool.get_executor(), serverOptions));
        const SocketAddress address = *m_servers.back()->start(
                {"127.0.0.1", 0}, [this, index](transport::HttpServerExchange &exchange) {
                    return m_agents[index]->handle(exchange);
                });
        WeightsServiceOptions options;
        options.endpoint = domain::EndpointId("vm" + std::to_string(index));
        options.dataCentre = domain::DataCentreId("a-1");
        options.service = domain::ServiceId("chat");
        options.requestAddress = address;
        options.controlAddress = {"127.0.0.1", static_cast<std::uint16_t>(index + 1)};
        options.origin = m_originAddress;
        m_agents.push_back(std::make_unique<WeightsService>(
                m_pool.get_executor(), m_control, m_http, m_metrics, options));
        m_control.agents[options.controlAddress] = m_agents.back().get();
        protocol::EntryInfo entry;
        entry.set_id("entry");
        entry.set_data_centre("a-1");
        entry.set_control_address("127.0.0.1:9");
        m_agents.back()->setEntries({entry});
        m_agents.back()->start();
    }

    asio::awaitable<void> serveOrigin(transport::HttpServerExchange &exchange)
    {
        transport::HttpResponse response;
        response.body = m_text;
        const std::string range = exchange.request().fields.valueOr("Range", "");
        if (!range.empty()) {
            const std::size_t first = std::stoul(range.substr(range.find('=') + 1));
            response.status = 206;
            response.body = m_data.substr(first, ChunkSize);
            if (m_corruptions-- > 0)
                response.body[7] ^= 1;
            m_originBytes += ChunkSize;
        }
        co_await exchange.respond(std::move(response));
    }

    bool waitFor(const std::function<bool()> &condition)
    {
        const TimePoint end = TimePoint::clock::now() + 10s;
        while (TimePoint::clock::now() < end && !condition())
            std::this_thread::sleep_for(5ms);
        return condition();
    }
    bool allComplete() const
    {
        return std::all_of(m_agents.begin(), m_agents.end(),
                [this](const auto &agent) { return agent->progress(m_digest).isComplete(); });
    }

    asio::thread_pool m_pool{4};
    transport::HttpClient m_http{m_pool.get_executor(), transport::HttpClientOptions()};
    observability::Metrics m_metrics;
    LocalControl m_control{m_pool.get_executor()};
    transport::HttpServer m_origin{m_pool.get_executor(), transport::HttpServerOptions()};
    SocketAddress m_originAddress;
    std::vector<std::unique_ptr<transport::HttpServer>> m_servers;
    std::vector<std::unique_ptr<WeightsService>> m_agents;
    std::string m_data;
    std::string m_text;
    domain::Digest m_digest;
    std::atomic<std::size_t> m_originBytes = 0;
    std::atomic<int> m_corruptions = 0;
};

// Guards against agents that each fetch a complete copy from the origin, and against chunks that
// stay in memory after a release.
TEST_F(WeightsServiceFixture, request_threeAgents_oneCopyFromOriginAndMemoryFreed)
{
    for (const auto &agent : m_agents)
        agent->request(m_digest, 0);
    ASSERT_TRUE(waitFor([this] { return allComplete(); }));
    EXPECT_LE(m_originBytes, 1.2 * static_cast<double>(m_data.size()));
    const auto chunk = domain::Digest::of(m_data.substr(0, ChunkSize));
    EXPECT_EQ(*m_agents[2]->store().find(chunk), m_data.substr(0, ChunkSize));
    m_agents[2]->release(m_digest);
    EXPECT_EQ(m_agents[2]->store().reserved(), domain::Bytes());
}

// Guards against a corrupted chunk that is stored, and against a transfer that stops after one.
TEST_F(WeightsServiceFixture, request_corruptedChunks_verifiedCopyStored)
{
    m_corruptions = 5;
    for (const auto &agent : m_agents)
        agent->request(m_digest, 0);
    ASSERT_TRUE(waitFor([this] { return allComplete(); }));
    EXPECT_EQ(m_metrics.counter("oriolerill_weights_corrupted_chunks"), 5U);
}

// Guards against a transfer that stops when the tracker becomes unresponsive.
TEST_F(WeightsServiceFixture, request_trackerUnresponsive_agentsFinishFromEachOther)
{
    m_agents[0]->request(m_digest, 0);
    ASSERT_TRUE(waitFor([this] { return m_agents[0]->progress(m_digest).isComplete(); }));
    m_agents[1]->request(m_digest, 0);
    m_agents[2]->request(m_digest, 0);
    ASSERT_TRUE(waitFor([this] { return m_agents[1]->progress(m_digest).chunksVerified > 0; }));
    m_control.isTrackerUp = false;
    ASSERT_TRUE(waitFor([this] { return allComplete(); }));
    EXPECT_LE(m_originBytes, 1.2 * static_cast<double>(m_data.size()));
}

// Guards against two grants at the same time, a grant that is not renewed while it is requested,
// and a grant that is not returned when the request is withdrawn.
TEST_F(WeightsServiceFixture, requestGrant_oneAllowed_secondWaitsForFirst)
{
    m_agents[0]->request(m_digest, 0);
    m_agents[1]->request(m_digest, 0);
    m_agents[0]->requestGrant(m_digest);
    ASSERT_TRUE(waitFor([this] { return m_agents[0]->grantedUntil().has_value(); }));
    m_agents[1]->requestGrant(m_digest);
    std::this_thread::sleep_for(700ms);
    EXPECT_TRUE(m_agents[0]->grantedUntil());
    EXPECT_FALSE(m_agents[1]->grantedUntil());
    m_agents[0]->withdrawRequest();
    EXPECT_TRUE(waitFor([this] { return m_agents[1]->grantedUntil().has_value(); }));
}

} // namespace oriolerill::agent
