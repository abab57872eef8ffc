#include "transport/nngcontrolclient.h"
#include "transport/nngcontrolserver.h"

#include <boost/asio/thread_pool.hpp>

#include <gtest/gtest.h>

#include <chrono>
#include <future>

namespace oriolerill::transport {

using namespace std::chrono_literals;

class NngControlFixture : public testing::Test
{
protected:
    void TearDown() override
    {
        m_server.reset();
        m_client.reset();
        m_pool.stop();
        m_pool.join();
    }

    void startServer()
    {
        m_server = std::make_unique<NngControlServer>(m_pool.get_executor(), m_address);
        const auto started = m_server->start([](const protocol::ControlRequest &request,
                                                     const IControlServer::Reply &reply) {
            protocol::ControlReply answer;
            answer.mutable_config_ack()->mutable_watermark()->set_revision(request.incarnation());
            reply(answer);
        });
        ASSERT_TRUE(started);
    }

    domain::Expected<protocol::ControlReply> request(std::uint64_t number)
    {
        protocol::ControlRequest message;
        message.set_incarnation(number);
        std::promise<domain::Expected<protocol::ControlReply>> promise;
        m_client->request(m_address, message, domain::TimePoint::clock::now() + 500ms,
                [&promise](auto result) { promise.set_value(std::move(result)); });
        return promise.get_future().get();
    }

    const domain::SocketAddress m_address{"127.0.0.1", 23871};
    boost::asio::thread_pool m_pool{2};
    std::unique_ptr<NngControlClient> m_client
            = std::make_unique<NngControlClient>(m_pool.get_executor(), "127.0.0.9");
    std::unique_ptr<NngControlServer> m_server;
};

TEST_F(NngControlFixture, request_runningServer_reply)
{
    startServer();
    for (std::uint64_t number = 1; number < 50; ++number) {
        const auto reply = request(number);
        ASSERT_TRUE(reply);
        EXPECT_EQ(reply->config_ack().watermark().revision(), number);
    }
}

// Guards against a client that keeps using a failed connection after the peer has restarted.
TEST_F(NngControlFixture, request_serverStartsAfterTimeout_nextRequestSucceeds)
{
    const auto timedOut = request(1);
    ASSERT_FALSE(timedOut);
    EXPECT_EQ(timedOut.error().kind, domain::ErrorKind::Timeout);
    startServer();
    EXPECT_TRUE(request(2));
}

} // namespace oriolerill::transport
