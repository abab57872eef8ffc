#include "transport/httpclient.h"
#include "transport/tests/scriptedpeer.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/write.hpp>

#include <gtest/gtest.h>

#include <thread>

namespace oriolerill::transport {

namespace asio = boost::asio;
using namespace std::chrono_literals;
using Socket = ScriptedPeer::Socket;

namespace {

std::string answerTo(int number)
{
    return "HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\n" + std::to_string(number);
}

} // namespace

/// The client of the store, of other agents and of endpoints; its answers bear no ids.
class SecondCopyFixture : public testing::Test
{
protected:
    /// Body of the answer to one more request, or the error.
    std::string send(const ScriptedPeer &peer)
    {
        std::string result = "none";
        const auto ask = [&]() -> asio::awaitable<void> {
            HttpRequest request;
            request.method = "GET";
            request.target = "/";
            const auto answer = co_await m_client.send(
                    peer.address(), std::move(request), domain::TimePoint::clock::now() + 2s);
            result = answer ? std::to_string(answer->status) + ' ' + answer->body
                            : "error: " + answer.error().message;
        };
        asio::co_spawn(m_context, ask(), asio::detached);
        m_context.run();
        m_context.restart();
        return result;
    }

    asio::io_context m_context{1};
    HttpClient m_client{m_context.get_executor(), HttpClientOptions()};
};

// Guards against connections that are never used again.
TEST_F(SecondCopyFixture, send_soundPeer_connectionReused)
{
    ScriptedPeer peer([](Socket &socket, int number) {
        ScriptedPeer::write(socket, answerTo(number));
        return true;
    });
    for (int i = 1; i <= 4; ++i)
        EXPECT_EQ(send(peer), "200 " + std::to_string(i));
    EXPECT_EQ(peer.accepted(), 1);
    m_client.closeIdle();
}

} // namespace oriolerill::transport
