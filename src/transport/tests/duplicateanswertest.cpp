#include "transport/tests/httpclientfixture.h"

#include <boost/asio/write.hpp>

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

class DuplicateAnswerFixture : public HttpClientFixture
{};

// Guards against a duplicate of an answer that is returned as the answer to the next call. The
// duplicate arrives in the same packet as the answer.
TEST_F(DuplicateAnswerFixture, send_duplicateInSamePacket_nextCallGetsOwnAnswer)
{
    ScriptedPeer peer([](Socket &socket, int number) {
        ScriptedPeer::write(socket, answerTo(number) + answerTo(number));
        return true;
    });
    for (int i = 1; i <= 4; ++i)
        EXPECT_EQ(send(peer), "200 " + std::to_string(i));
    m_client.closeIdle();
}

// Guards against a complete or truncated duplicate that arrives on the idle connection and is
// returned as the answer to the next call.
TEST_F(DuplicateAnswerFixture, send_duplicateOnIdleConnection_nextCallGetsOwnAnswer)
{
    for (const std::size_t cut : {0U, 10U, 30U}) {
        ScriptedPeer peer([cut](Socket &socket, int number) {
            ScriptedPeer::write(socket, answerTo(number));
            std::this_thread::sleep_for(10ms);
            const std::string copy = answerTo(number);
            ScriptedPeer::write(socket, cut == 0 ? copy : copy.substr(0, cut));
            return true;
        });
        for (int i = 1; i <= 4; ++i) {
            EXPECT_EQ(send(peer), "200 " + std::to_string(i));
            std::this_thread::sleep_for(30ms);
        }
        m_client.closeIdle();
    }
}

// Guards against a call that fails because it reuses an idle connection closed by the peer.
TEST_F(DuplicateAnswerFixture, send_peerClosedIdleConnection_nextCallAnswered)
{
    ScriptedPeer peer([](Socket &socket, int number) {
        ScriptedPeer::write(socket, answerTo(number));
        return false;
    });
    for (int i = 1; i <= 4; ++i) {
        EXPECT_EQ(send(peer), "200 " + std::to_string(i));
        std::this_thread::sleep_for(20ms);
    }
    m_client.closeIdle();
}

// Guards against a new connection for every call.
TEST_F(DuplicateAnswerFixture, send_wellFormedAnswers_connectionReused)
{
    ScriptedPeer peer([](Socket &socket, int number) {
        ScriptedPeer::write(socket, answerTo(number));
        return true;
    });
    for (int i = 1; i <= 4; ++i)
        EXPECT_EQ(send(peer), "200 " + std::to_string(i));
    EXPECT_EQ(peer.acceptedConnections(), 1);
    m_client.closeIdle();
}

// Guards against an interim answer that is returned as the final one; the next call would then
// receive the final answer to this call.
TEST_F(DuplicateAnswerFixture, send_interimAnswers_skipped)
{
    ScriptedPeer peer([](Socket &socket, int number) {
        ScriptedPeer::write(
                socket, "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early Hints\r\nLink: a\r\n\r\n");
        std::this_thread::sleep_for(5ms);
        ScriptedPeer::write(socket, answerTo(number));
        return true;
    });
    for (int i = 1; i <= 4; ++i)
        EXPECT_EQ(send(peer), "200 " + std::to_string(i));
    m_client.closeIdle();
}

// Guards against a call that reads interim answers indefinitely.
TEST_F(DuplicateAnswerFixture, send_endlessInterimAnswers_failsPromptly)
{
    ScriptedPeer peer([](Socket &socket, int) {
        boost::system::error_code code;
        const std::string interim = "HTTP/1.1 100 Continue\r\n\r\n";
        while (!code)
            asio::write(socket, asio::buffer(interim), code);
        return false;
    });
    const auto startedAt = std::chrono::steady_clock::now();
    const std::string result = send(peer);
    EXPECT_TRUE(result.starts_with("error: ")) << result;
    EXPECT_LT(std::chrono::steady_clock::now() - startedAt, 1s);
    m_client.closeIdle();
}

} // namespace oriolerill::transport
