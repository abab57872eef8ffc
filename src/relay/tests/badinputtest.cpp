#include "relay/tests/relayfixture.h"

#include <random>

namespace oriolerill::relay {

using namespace std::chrono_literals;
using Socket = ScriptedEndpoint::Socket;

/// Callers that send slowly or send malformed requests.
class BadInputFixture : public RelayFixture
{
protected:
    BadInputFixture()
    {
        m_limits.headerTimeout = 150ms;
        m_limits.idleTimeout = 250ms;
    }

    ScriptedEndpoint &addAnsweringEndpoint()
    {
        return addEndpoint([](Socket &socket, const std::string &) {
            write(socket, answer("a1", "hello"));
            return true;
        });
    }

    bool isServing() { return statusOf(call(request("GET", "/read/1", Close))) == 200; }
};

// Guards against a caller that holds a connection open by sending a request head byte by byte.
TEST_F(BadInputFixture, serve_headSentSlowly_refusedAtHeaderTimeout)
{
    ScriptedEndpoint &endpoint = addAnsweringEndpoint();
    start();
    auto socket = connect();
    const std::string text = request("GET", "/read/1");
    const auto begun = std::chrono::steady_clock::now();
    for (std::size_t i = 0; i < text.size() / 2; ++i) {
        write(socket, text.substr(i, 1));
        std::this_thread::sleep_for(10ms);
        if (std::chrono::steady_clock::now() - begun > 400ms)
            break;
    }
    const std::string got = readAll(socket);
    EXPECT_TRUE(got.empty() || statusOf(got) == 408) << got;
    EXPECT_TRUE(endpoint.requests().empty());
    EXPECT_TRUE(isServing());
}

// Guards against a request that is forwarded before its body is complete, and against one that
// waits for its body without a time limit.
TEST_F(BadInputFixture, serve_bodyNeverSent_refusedAndNotForwarded)
{
    ScriptedEndpoint &endpoint = addAnsweringEndpoint();
    start();
    auto socket = connect();
    write(socket, request("POST", "/order/1", "Content-Length: 10\r\n") + "half");
    const auto begun = std::chrono::steady_clock::now();
    const std::string got = readAll(socket);
    EXPECT_EQ(statusOf(got), 408U) << got;
    EXPECT_LT(std::chrono::steady_clock::now() - begun, 1s);
    EXPECT_TRUE(endpoint.requests().empty());
    EXPECT_TRUE(isServing());
}

// Guards against request heads that crash the process or reach the endpoint with a path of no
// route: mutations of a valid request from a fixed seed.
TEST_F(BadInputFixture, serve_headsMutatedAtRandom_servingContinues)
{
    ScriptedEndpoint &endpoint = addAnsweringEndpoint();
    start();
    std::mt19937 random(20261204);
    const auto draw = [&random](std::size_t below) { return random() % below; };
    constexpr int Rounds = 300;
    const std::vector<std::string> fragments = {"\r\n", "\r", "\n", ":", " ", "\t",
            std::string(1, '\0'), "Content-Length: 5\r\n", "Transfer-Encoding: chunked\r\n",
            "0\r\n\r\n", "GET /order/2 HTTP/1.1\r\n", "\x80\xff", "HTTP/9.9"};
    for (int round = 0; round < Rounds; ++round) {
        std::string text = request("POST", "/read/1", Close, "body");
        for (std::size_t change = draw(4); change < 4; ++change) {
            const std::size_t at = draw(text.size());
            switch (draw(3)) {
            case 0:
                text.insert(at, fragments[draw(fragments.size())]);
                break;
            case 1:
                text.erase(at, 1 + draw(6));
                break;
            default:
                text[at] = static_cast<char>(draw(256));
            }
        }
        auto socket = connect();
        write(socket, text);
        boost::system::error_code code;
        socket.shutdown(boost::asio::ip::tcp::socket::shutdown_send, code);
        const std::string got = readAll(socket);
        EXPECT_TRUE(got.empty() || got.starts_with("HTTP/1.1 "))
                << "round " << round << ": " << got;
    }
    EXPECT_TRUE(isServing());
    for (const std::string &sent : endpoint.requests()) {
        const std::string line = sent.substr(0, sent.find("\r\n"));
        EXPECT_TRUE(line.find(" /read/") != std::string::npos
                || line.find(" /order/") != std::string::npos
                || line.find(" /stream/") != std::string::npos)
                << line;
    }
}

} // namespace oriolerill::relay
