#include "transport/nngcontrolclient.h"
#include "transport/nngcontrolserver.h"

#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/thread_pool.hpp>

#include <gtest/gtest.h>

#include <atomic>
#include <future>
#include <thread>
#include <vector>

namespace oriolerill::transport {

using namespace std::chrono_literals;

namespace {

/// A process with a control server and a client, which sends to its peers in turns without a pause.
class ControlNode
{
public:
    explicit ControlNode(const domain::SocketAddress &address)
        : m_client(m_pool.get_executor(), address.host)
        , m_server(m_pool.get_executor(), address)
    {}
    ~ControlNode()
    {
        m_pool.stop();
        m_pool.join();
    }
    ControlNode(const ControlNode &) = delete;
    ControlNode &operator=(const ControlNode &) = delete;

    /// Replies are sent after the delay.
    bool start(domain::Duration delay)
    {
        const auto started = m_server.start([this, delay](const protocol::ControlRequest &,
                                                    const IControlServer::Reply &reply) {
            auto timer = std::make_shared<boost::asio::steady_timer>(m_pool, delay);
            timer->async_wait([timer, reply](auto) { reply(protocol::ControlReply()); });
        });
        return bool(started);
    }

    /// Sends one request after the other until `count` are done or stopSending() is called.
    void send(const domain::SocketAddress &peer, domain::Duration timeout, int count)
    {
        ++m_sequences;
        sendNext(peer, timeout, count);
    }
    void stopSending() { m_isEnding = true; }
    bool isSending() const { return m_sequences > 0; }

    void stopServer() { m_server.stop(); }

    bool answersWithin(domain::Duration time)
    {
        const auto answered = std::make_shared<std::promise<void>>();
        boost::asio::post(m_pool, [answered] { answered->set_value(); });
        return answered->get_future().wait_for(time) == std::future_status::ready;
    }

private:
    void sendNext(const domain::SocketAddress &peer, domain::Duration timeout, int count)
    {
        if (count == 0 || m_isEnding) {
            --m_sequences;
            return;
        }
        const auto deadline = domain::TimePoint::clock::now() + timeout;
        m_client.request(peer, protocol::ControlRequest(), deadline,
                [this, peer, timeout, count](const auto &) { sendNext(peer, timeout, count - 1); });
    }

    std::atomic<int> m_sequences = 0;
    std::atomic<bool> m_isEnding = false;
    boost::asio::thread_pool m_pool{2};
    NngControlClient m_client;
    NngControlServer m_server;
};

} // namespace

class ControlCloseFixture : public testing::Test
{
protected:
    static constexpr int NodeCount = 6;

    void TearDown() override
    {
        for (const auto &node : m_nodes)
            node->stopSending();
        const auto deadline = domain::TimePoint::clock::now() + 2s;
        for (const auto &node : m_nodes) {
            while (node->isSending() && domain::TimePoint::clock::now() < deadline)
                std::this_thread::sleep_for(1ms);
        }
        for (auto &node : m_nodes) {
            // The destructor of a node whose workers hang would not return.
            if (HasFailure())
                static_cast<void>(node.release());
        }
    }

    static domain::SocketAddress address(int node)
    {
        return {"127.0.0." + std::to_string(20 + node), 23872};
    }

    void startNodes(domain::Duration replyDelay)
    {
        for (int i = 0; i < NodeCount; ++i) {
            m_nodes.push_back(std::make_unique<ControlNode>(address(i)));
            ASSERT_TRUE(m_nodes.back()->start(replyDelay));
        }
    }

    /// Each node sends to all others, in `lanes` sequences to each.
    void sendToAll(domain::Duration timeout, int count, int lanes)
    {
        for (int i = 0; i < NodeCount; ++i) {
            for (int lane = 0; lane < lanes * NodeCount; ++lane) {
                if (lane % NodeCount != i)
                    m_nodes[i]->send(address(lane % NodeCount), timeout, count);
            }
        }
    }

    std::vector<std::unique_ptr<ControlNode>> m_nodes;
};

// Regression: an entry that stopped while its peers sent to it did not end, and was killed.
TEST_F(ControlCloseFixture, stop_peersKeepSending_endsWithinTimeBesideDrain)
{
    // A process is killed 20 s after SIGTERM, and may drain for 15 s of these.
    constexpr auto MaxStopTime = 5s;
    startNodes(0s);
    sendToAll(200ms, 1'000'000, 3);
    std::this_thread::sleep_for(100ms);
    std::vector<std::future<void>> stopped;
    for (const auto &node : m_nodes) {
        auto done = std::make_shared<std::promise<void>>();
        stopped.push_back(done->get_future());
        std::thread([node = node.get(), done] {
            node->stopServer();
            done->set_value();
        }).detach();
    }
    const auto deadline = domain::TimePoint::clock::now() + MaxStopTime;
    for (const std::future<void> &one : stopped)
        EXPECT_EQ(one.wait_until(deadline), std::future_status::ready);
}

// Regression: all workers of a process waited for ever to close the sockets of timed-out requests.
TEST_F(ControlCloseFixture, request_repliesAtDeadline_workersGoOn)
{
    startNodes(10ms);
    sendToAll(10ms, 20, 1);
    std::this_thread::sleep_for(1s);
    for (const auto &node : m_nodes)
        EXPECT_TRUE(node->answersWithin(2s));
}

} // namespace oriolerill::transport
