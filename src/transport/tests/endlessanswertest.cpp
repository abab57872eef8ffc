#include "transport/httpclient.h"
#include "transport/tests/endlesspeer.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>

#include <gtest/gtest.h>

#include <thread>

namespace oriolerill::transport {

namespace asio = boost::asio;
using namespace std::chrono_literals;
using domain::ErrorKind;

/// A peer whose answer does not end. HttpClient reads the answers of the store, the origin of
/// weights and other agents.
class EndlessAnswerFixture : public testing::TestWithParam<const char *>
{
protected:
    EndlessPeer m_peer{GetParam()};
};

INSTANTIATE_TEST_SUITE_P(Heads, EndlessAnswerFixture,
        testing::Values("HTTP/1.1 200 OK\r\nX: ", "x",
                "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5;x=",
                "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n0\r\nX: ",
                "HTTP/1.1 200 OK\r\nContent-Length: 99999999999\r\n\r\n",
                "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n"));

// Guards against unbounded memory and time for an answer that does not end: in its head, a chunk
// header, a trailer or its body.
TEST_P(EndlessAnswerFixture, send_endlessAnswer_failsAndClosesConnection)
{
    asio::io_context context{1};
    HttpClientOptions options;
    options.maxBody = domain::Bytes(1U << 20U);
    HttpClient client(context.get_executor(), options);
    std::optional<domain::Expected<HttpResponse>> result;
    const auto startedAt = domain::TimePoint::clock::now();
    const auto sendRequest = [&]() -> asio::awaitable<void> {
        HttpRequest request;
        request.method = "GET";
        request.target = "/";
        auto answer = co_await client.send(m_peer.address(), std::move(request), startedAt + 20s);
        result.emplace(std::move(answer));
    };
    asio::co_spawn(context, sendRequest(), asio::detached);
    context.run_for(15s);
    ASSERT_TRUE(result);
    EXPECT_FALSE(result->hasValue());
    EXPECT_NE(result->error().kind, ErrorKind::Timeout);
    EXPECT_LT(domain::TimePoint::clock::now() - startedAt, 5s);
    client.closeIdle();
    for (int i = 0; i < 100 && m_peer.openConnections() > 0; ++i)
        std::this_thread::sleep_for(10ms);
    EXPECT_EQ(m_peer.openConnections(), 0U);
    // The peer can write what the client reads and what the socket buffers hold.
    EXPECT_LT(m_peer.writtenBytes(), 16U << 20U);
}

} // namespace oriolerill::transport
