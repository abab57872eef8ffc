#include "transport/tests/httpclientfixture.h"

namespace oriolerill::transport {

/// Peers whose answers state a status that HTTP does not have.
class InvalidStatusFixture : public HttpClientFixture,
                             public testing::WithParamInterface<const char *>
{};

INSTANTIATE_TEST_SUITE_P(Statuses, InvalidStatusFixture,
        testing::Values("000", "001", "099", "600", "700", "999"),
        [](const auto &info) { return std::string("Status") + info.param; });

// Regression: the parser accepts such a status. One below 100 was skipped as an interim answer, and
// the next answer on the connection was taken; a larger one was returned as an answer.
TEST_P(InvalidStatusFixture, send_answerFollows_errorAndConnectionNotReused)
{
    const ScriptedPeer peer([](ScriptedPeer::Socket &socket, int) {
        ScriptedPeer::write(socket,
                "HTTP/1.1 " + std::string(GetParam())
                        + " X\r\nContent-Length: 0\r\n\r\n"
                          "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\ngood");
        return true;
    });
    for (int i = 1; i <= 2; ++i) {
        const std::string result = send(peer);
        EXPECT_TRUE(result.starts_with("error: ") && result.find("invalid status") != result.npos)
                << result;
        EXPECT_EQ(peer.acceptedConnections(), i);
    }
}

} // namespace oriolerill::transport
