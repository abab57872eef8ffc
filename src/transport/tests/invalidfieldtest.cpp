#include "transport/tests/invalidfields.h"

#include "transport/tests/httpclientfixture.h"

namespace oriolerill::transport {

/// Peers in whose answers the name of a field holds bytes that HTTP does not allow.
class InvalidFieldFixture : public HttpClientFixture,
                            public testing::WithParamInterface<InvalidField>
{
protected:
    /// Sends two requests to a peer that sends the same bytes to each; every one has to fail, on a
    /// connection of its own.
    void expectErrors(const std::string &answer)
    {
        const ScriptedPeer peer([answer](ScriptedPeer::Socket &socket, int) {
            ScriptedPeer::write(socket, answer);
            return true;
        });
        for (int i = 1; i <= 2; ++i) {
            const std::string result = send(peer);
            EXPECT_TRUE(result.starts_with("error: ")) << result;
            EXPECT_EQ(peer.acceptedConnections(), i);
        }
    }
};

INSTANTIATE_TEST_SUITE_P(Fields, InvalidFieldFixture, testing::ValuesIn(invalidFields), labelOf);

// Guards against an answer that is returned without the line, or with another body.
TEST_P(InvalidFieldFixture, send_headOfAnswer_errorAndConnectionNotReused)
{
    expectErrors("HTTP/1.1 200 OK\r\n" + GetParam().line + "Content-Length: 3\r\n\r\nbad");
}

// Guards against an invalid interim answer after which the next answer is taken.
TEST_P(InvalidFieldFixture, send_headOfInterimAnswer_errorAndConnectionNotReused)
{
    expectErrors("HTTP/1.1 103 Early Hints\r\n" + GetParam().line
            + "\r\nHTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nbad");
}

// Guards against a body that counts as complete although its end is invalid.
TEST_P(InvalidFieldFixture, send_trailerOfAnswer_errorAndConnectionNotReused)
{
    expectErrors("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nbad\r\n0\r\n"
            + GetParam().line + "\r\n");
}

} // namespace oriolerill::transport
