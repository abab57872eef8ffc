#include "agent/internal/engineservice.h"
#include "config/sharedconfigtable.h"
#include "objectstore/tests/fakeobjectstore.h"
#include "transport/httpserver.h"

#include <boost/asio/thread_pool.hpp>
#include <boost/json.hpp>

#include <gtest/gtest.h>

#include <functional>
#include <thread>

namespace oriolerill::agent {

using namespace std::chrono_literals;
using domain::Digest;
using domain::TimePoint;
namespace json = boost::json;

namespace {

const Digest wantedWeights = Digest::of(std::string_view("wanted"));

bool eventually(const std::function<bool()> &condition)
{
    const TimePoint end = TimePoint::clock::now() + 5s;
    while (!condition() && TimePoint::clock::now() < end)
        std::this_thread::sleep_for(10ms);
    return condition();
}

/// Weights that are always completely fetched, and a tracker that always grants.
class ReadyWeights : public distribution::IWeightsProvider, public distribution::ISwitchGrants
{
public:
    void request(const Digest & /*manifest*/, std::uint32_t /*priority*/) override {}
    distribution::TransferProgress progress(const Digest & /*manifest*/) const override
    {
        return {true, 1, 1};
    }
    void release(const Digest & /*manifest*/) override {}
    void requestGrant(const Digest & /*manifest*/) override {}
    void withdrawRequest() override {}
    std::optional<TimePoint> grantedUntil() const override { return TimePoint::clock::now() + 10s; }
};

} // namespace

class EngineServiceFixture : public testing::Test
{
protected:
    void SetUp() override
    {
        const auto address = m_engine.start({"127.0.0.1", 0},
                [this](transport::HttpServerExchange &exchange) { return answer(exchange); });
        ASSERT_TRUE(address);
        m_options.endpoint = domain::EndpointId("drafting-1");
        m_options.dataCentre = domain::DataCentreId("central-a");
        m_options.service = domain::ServiceId("drafting");
        m_options.incarnation = domain::Incarnation(7);
        m_options.address = *address;
        m_options.adminToken = "secret";
        m_options.source = {"127.0.0.1", 9};
        m_options.pollInterval = 10ms;
    }
    void TearDown() override
    {
        if (m_service)
            m_service->stop();
        m_pool.stop();
        m_pool.join();
    }

    void startService()
    {
        m_service = std::make_unique<EngineService>(m_pool.get_executor(), m_client, m_store,
                m_config, m_weights, m_weights, m_options);
        m_service->start();
    }
    void rollOut()
    {
        json::object spec{{"service", "drafting"}, {"model", "quill"}, {"modelVersion", "2"},
                {"manifest", wantedWeights.hex()}};
        protocol::ConfigDelta delta;
        protocol::ConfigItem *const item = delta.add_items();
        item->set_kind("rollout");
        item->set_name("quill-2");
        item->mutable_version()->set_revision(1);
        item->set_json(json::serialize(spec));
        m_config.merge(delta);
    }

    boost::asio::awaitable<void> answer(transport::HttpServerExchange &exchange)
    {
        transport::HttpResponse response;
        const bool isAllowed
                = exchange.request().fields.valueOr("Authorization", "") == "Bearer secret";
        response.status = isAllowed ? 200 : 401;
        {
            const std::scoped_lock lock(m_mutex);
            if (isAllowed && exchange.request().target == "/admin/load") {
                const json::value order = json::parse(exchange.request().body);
                m_manifest = std::string(order.at("manifest").as_string());
                m_fence = order.at("fence").to_number<std::uint64_t>();
                response.status = 202;
            }
            response.body = json::serialize(
                    json::object{{"state", m_manifest.empty() ? "empty" : "ready"},
                            {"manifest", m_manifest}, {"fence", m_fence}, {"inFlight", 0}});
        }
        co_await exchange.respond(std::move(response));
    }

    boost::asio::thread_pool m_pool{3};
    transport::HttpServer m_engine{m_pool.get_executor(), {}};
    transport::HttpClient m_client{m_pool.get_executor(), {}};
    objectstore::FakeObjectStore m_store;
    config::SharedConfigTable m_config;
    ReadyWeights m_weights;
    EngineServiceOptions m_options;
    std::unique_ptr<EngineService> m_service;
    std::mutex m_mutex;
    std::string m_manifest;
    std::uint64_t m_fence = 0;
};

TEST_F(EngineServiceFixture, start_emptyEngine_loadsAndOpens)
{
    rollOut();
    startService();
    EXPECT_TRUE(eventually([&] { return m_service->state().isOpen; }));
    EXPECT_EQ(m_service->enter().activeDigest, wantedWeights);
    EXPECT_EQ(m_service->admittedAttempts(), 1U);
    EXPECT_EQ(m_service->endpointState(), protocol::ENDPOINT_STATE_SERVING);
    const std::scoped_lock lock(m_mutex);
    EXPECT_EQ(m_fence, 1U);
}

// Guards against a fencing number that decreases after a restart of the agent.
TEST_F(EngineServiceFixture, start_fenceReservedBefore_ordersWithHigherFence)
{
    m_store.put("fence/drafting-1", R"({"fence":40,"writer":6})");
    m_store.answersToLose = 1;
    rollOut();
    startService();
    EXPECT_TRUE(eventually([&] { return m_service->state().isOpen; }));
    const std::scoped_lock lock(m_mutex);
    EXPECT_GT(m_fence, 40U);
}

// Guards against a gate that closes while the store is slow to reserve a fencing number: the
// endpoint can serve the old weights until then, so the gate closes only once, for the switch.
TEST_F(EngineServiceFixture, switch_slowStore_servesUntilFenceIsReserved)
{
    m_manifest = Digest::of(std::string_view("old")).hex();
    m_store.writeTime = 1200ms;
    startService();
    ASSERT_TRUE(eventually([&] { return m_service->state().isOpen; }));
    rollOut();
    EXPECT_TRUE(eventually([&] { return m_service->state().activeDigest == wantedWeights; }));
    EXPECT_EQ(m_service->state().epoch, 1U);
}

// Guards against load orders from a process that has been replaced by a later one.
TEST_F(EngineServiceFixture, start_laterProcessReservedFences_noOrder)
{
    m_store.put("fence/drafting-1", R"({"fence":40,"writer":8})");
    rollOut();
    startService();
    std::this_thread::sleep_for(300ms);
    EXPECT_FALSE(m_service->state().isOpen);
    const std::scoped_lock lock(m_mutex);
    EXPECT_EQ(m_fence, 0U);
}

// Guards against an open gate while a plain service does not accept connections.
TEST_F(EngineServiceFixture, start_plainService_openWhileItListens)
{
    m_options.isEngine = false;
    startService();
    EXPECT_TRUE(eventually([&] { return m_service->state().isOpen; }));
    m_engine.stopAccepting();
    EXPECT_TRUE(eventually([&] { return !m_service->state().isOpen; }));
    EXPECT_FALSE(m_service->enter().isOpen);
    EXPECT_EQ(m_service->admittedAttempts(), 0U);
}

} // namespace oriolerill::agent
