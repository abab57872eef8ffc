#include "transport/httpclient.h"
#include "transport/httpserver.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/thread_pool.hpp>
#include <boost/asio/use_future.hpp>
#include <boost/asio/write.hpp>

#include <gtest/gtest.h>

#include <atomic>
#include <chrono>
#include <thread>

namespace oriolerill::transport {

namespace asio = boost::asio;
using namespace std::chrono_literals;

class HttpFixture : public testing::Test
{
protected:
    void SetUp() override
    {
        HttpServerOptions options;
        options.maxBody = domain::Bytes(1000);
        options.maxTotalBodies = domain::Bytes(1000);
        options.alwaysAcceptedBody = domain::Bytes(10);
        m_server = std::make_unique<HttpServer>(m_pool.get_executor(), options);
        const auto address = m_server->start({"127.0.0.1", 0},
                [this](HttpServerExchange &exchange) { return handle(exchange); });
        ASSERT_TRUE(address);
        m_address = *address;
        m_client = std::make_unique<HttpClient>(m_pool.get_executor(), HttpClientOptions());
    }
    void TearDown() override
    {
        m_client.reset();
        m_server.reset();
        m_pool.stop();
        m_pool.join();
    }

    asio::awaitable<void> handle(HttpServerExchange &exchange)
    {
        if (exchange.request().target == "/hold") {
            m_isHolding = true;
            asio::steady_timer timer(m_pool);
            while (m_isHolding) {
                timer.expires_after(1ms);
                co_await timer.async_wait(asio::use_awaitable);
            }
        }
        if (exchange.request().target == "/cut") {
            co_await exchange.start({});
            co_await exchange.write("half");
            exchange.abort();
            co_return;
        }
        if (exchange.request().target == "/stream") {
            co_await exchange.start({});
            for (int i = 0; i < 3; ++i)
                co_await exchange.write("piece" + std::to_string(i));
            co_await exchange.finish({});
            co_return;
        }
        HttpResponse response;
        response.body = exchange.request().body;
        co_await exchange.respond(std::move(response));
    }

    domain::Expected<HttpResponse> send(const std::string &target, std::string body = {})
    {
        HttpRequest request;
        request.method = "POST";
        request.target = target;
        request.body = std::move(body);
        const auto deadline = domain::TimePoint::clock::now() + 2s;
        return asio::co_spawn(
                m_pool, m_client->send(m_address, request, deadline), asio::use_future)
                .get();
    }

    asio::thread_pool m_pool{2};
    std::atomic<bool> m_isHolding = false;
    std::unique_ptr<HttpServer> m_server;
    std::unique_ptr<HttpClient> m_client;
    domain::SocketAddress m_address;
};

TEST_F(HttpFixture, send_twoRequestsOnOneConnection_bothAnswered)
{
    EXPECT_EQ(send("/echo", "one")->body, "one");
    EXPECT_EQ(send("/echo", "two")->body, "two");
}

TEST_F(HttpFixture, send_chunkedAnswer_completeBody)
{
    EXPECT_EQ(send("/stream")->body, "piece0piece1piece2");
}

// Regression: answers to HEAD requests had a body, which the client read as the answer to its next
// request.
TEST_F(HttpFixture, respond_headRequest_noBodyBeforeNextAnswer)
{
    for (const char *target : {"/echo", "/stream"}) {
        asio::io_context context;
        asio::ip::tcp::socket socket(context);
        socket.connect({asio::ip::make_address(m_address.host), m_address.port});
        const std::string requests = std::string("HEAD ") + target
                + " HTTP/1.1\r\nHost: h\r\nContent-Length: 4\r\n\r\nbody"
                  "POST /echo HTTP/1.1\r\nHost: h\r\nConnection: close\r\n"
                  "Content-Length: 4\r\n\r\nnext";
        asio::write(socket, asio::buffer(requests));
        std::string got;
        boost::system::error_code code;
        asio::read(socket, asio::dynamic_buffer(got), code);
        const std::size_t end = got.find("\r\n\r\n");
        ASSERT_NE(end, std::string::npos);
        EXPECT_EQ(got.compare(end + 4, 9, "HTTP/1.1 "), 0) << got;
        EXPECT_TRUE(got.ends_with("\r\n\r\nnext")) << got;
    }
}

// Guards against a truncated stream that is accepted as a complete answer.
TEST_F(HttpFixture, send_abortedAnswer_unavailable)
{
    const auto response = send("/cut");
    ASSERT_FALSE(response);
    EXPECT_EQ(response.error().kind, domain::ErrorKind::Unavailable);
}

// Guards against an exception for an invalid address in a list of peers: it ended the calling
// loop.
TEST_F(HttpFixture, send_invalidHostAddress_failsWithoutException)
{
    for (const char *host : {"127.0.0.01", "nowhere", ""}) {
        m_address.host = host;
        domain::Expected<HttpResponse> response = HttpResponse();
        EXPECT_NO_THROW(response = send("/echo", "one")) << host;
        EXPECT_FALSE(response) << host;
    }
}

// Guards against an oversized body that exhausts memory or is refused without a remedy.
TEST_F(HttpFixture, send_oversizedBody_refusedWithRemedy)
{
    const auto response = send("/echo", std::string(2000, 'x'));
    ASSERT_TRUE(response);
    EXPECT_EQ(response->status, 413U);
    EXPECT_NE(response->body.find("remedy"), std::string::npos);
}

// Guards against bodies of all requests that together exhaust memory, and against large ones that
// keep out small ones.
TEST_F(HttpFixture, send_bodiesBeyondTotal_refusedUntilOthersEnd)
{
    HttpRequest held;
    held.method = "POST";
    held.target = "/hold";
    held.body = std::string(800, 'x');
    const auto deadline = domain::TimePoint::clock::now() + 5s;
    auto first
            = asio::co_spawn(m_pool, m_client->send(m_address, held, deadline), asio::use_future);
    while (!m_isHolding && domain::TimePoint::clock::now() < deadline)
        std::this_thread::sleep_for(1ms);
    const auto refused = send("/echo", std::string(300, 'x'));
    const auto small = send("/echo", "small");
    m_isHolding = false;
    ASSERT_TRUE(first.get());
    ASSERT_TRUE(refused);
    EXPECT_EQ(refused->status, 503U);
    EXPECT_EQ(refused->fields.value("Retry-After"), "1");
    ASSERT_TRUE(small);
    EXPECT_EQ(small->body, "small");
    const auto later = send("/echo", std::string(300, 'x'));
    ASSERT_TRUE(later);
    EXPECT_EQ(later->status, 200U);
}

} // namespace oriolerill::transport
