#include "entry/internal/adminserver.h"
#include "admin/adminclient.h"
#include "admin/tests/adminfixture.h"
#include "config/versiontext.h"
#include "entry/internal/adminfleetview.h"

#include <boost/asio/thread_pool.hpp>

namespace oriolerill::entry {

using namespace std::chrono_literals;

class AdminServerFixture : public admin::AdminFixture
{
protected:
    void SetUp() override
    {
        m_server = std::make_unique<AdminServer>(m_pool.get_executor(),
                admin::AdminContext{
                        m_store, m_planner, m_config, m_members, m_fleet, m_burn, m_metrics},
                m_options);
        const auto address = m_server->start({"127.0.0.1", 0});
        ASSERT_TRUE(address);
        m_address = *address;
    }
    void TearDown() override
    {
        m_server.reset();
        m_pool.stop();
        m_pool.join();
    }

    domain::Expected<transport::HttpResponse> call(
            const std::string &method, const std::string &target, const std::string &body = {})
    {
        transport::HttpRequest request;
        request.method = method;
        request.target = target;
        request.body = body;
        request.fields.add("Authorization", "Bearer ana-token");
        return admin::AdminClient(1s).send(m_address, request);
    }

    boost::asio::thread_pool m_pool{2};
    std::unique_ptr<AdminServer> m_server;
    domain::SocketAddress m_address;
};

TEST_F(AdminServerFixture, client_overHttp_appliesAndReads)
{
    const auto applied = call("POST", "/v1/apply",
            R"({"items":[{"kind":"service","name":"chat","spec":{"kind":"model"}}]})");
    ASSERT_TRUE(applied) << applied.error();
    EXPECT_EQ(applied->status, 200U) << applied->body;
    EXPECT_EQ(call("GET", "/v1/items/service/chat")->status, 200U);
    EXPECT_EQ(call("PUT", "/v1/items/limit/chat", R"({"maxConcurrency":2})")->status, 200U);
    EXPECT_EQ(call("DELETE", "/v1/items/limit/chat")->status, 200U);
    m_server->markLeaving();
    EXPECT_EQ(call("GET", "/healthz")->status, 503U);
}

// Guards against a command that waits for ever for an unresponsive entry.
TEST_F(AdminServerFixture, client_serverUnresponsiveOrUnreachable_timeoutOrUnavailable)
{
    m_pool.stop();
    m_pool.join();
    const auto unresponsive = call("GET", "/v1/status");
    ASSERT_FALSE(unresponsive);
    EXPECT_EQ(unresponsive.error().kind, domain::ErrorKind::Timeout);
    // No process listens on port 1, the port of tcpmux.
    m_address.port = 1;
    const auto unreachable = call("GET", "/v1/status");
    ASSERT_FALSE(unreachable);
    EXPECT_EQ(unreachable.error().kind, domain::ErrorKind::Unavailable);
}

// Guards against a watermark that decreases when exchanges arrive out of order.
TEST_F(AdminServerFixture, fleetView_exchangesOutOfOrder_highestKept)
{
    m_config.current.watermark = {1, 9};
    AdminFleetView fleet(domain::EntryId("entry-1"), domain::DataCentreId("salto-a"), m_config);
    protocol::MembershipExchange exchange;
    exchange.mutable_sender()->set_id("entry-2");
    const domain::TimePoint now = domain::TimePoint::clock::now();
    for (const std::uint64_t revision : {7, 5}) {
        config::toProtocol({1, revision}, exchange.mutable_watermark());
        fleet.observe(exchange, now);
    }
    const auto watermarks = fleet.watermarks();
    ASSERT_EQ(watermarks.size(), 2U);
    EXPECT_EQ(watermarks[0].watermark, (domain::ConfigVersion{1, 9}));
    EXPECT_EQ(watermarks[1].watermark, (domain::ConfigVersion{1, 7}));
    exchange.mutable_sender()->set_id("entry-3");
    fleet.observe(exchange, now + 10min);
    EXPECT_EQ(fleet.watermarks().size(), 2U);
}

} // namespace oriolerill::entry
