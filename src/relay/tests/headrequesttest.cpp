#include "relay/tests/relayfixture.h"

namespace oriolerill::relay {

using Socket = ScriptedEndpoint::Socket;

class HeadRequestFixture : public RelayFixture
{
protected:
    /// An endpoint that answers a HEAD request with the head of its stream.
    void addStreamEndpoint(const std::string &framing)
    {
        addEndpoint([framing](Socket &socket, const std::string &got) {
            if (!got.starts_with("HEAD")) {
                write(socket, answer("a1", "next"));
                return true;
            }
            write(socket,
                    "HTTP/1.1 200 OK\r\nAttempt-Id: a1\r\nServer-Signature: s\r\n"
                    "Content-Type: text/event-stream\r\n"
                            + framing + "\r\n");
            return framing.empty();
        });
    }

    /// Answers to a HEAD request and to a GET request after it, on one connection.
    std::string callTwice()
    {
        auto socket = connect();
        write(socket, request("HEAD", "/stream/1"));
        write(socket, request("GET", "/read/1", Close));
        return readAll(socket);
    }

    static void expectHeadAndNextAnswer(const std::string &got)
    {
        EXPECT_EQ(statusOf(got), 200U) << got;
        const std::size_t end = got.find("\r\n\r\n");
        ASSERT_NE(end, std::string::npos) << got;
        EXPECT_EQ(got.compare(end + 4, 12, "HTTP/1.1 200"), 0) << got;
        EXPECT_TRUE(got.ends_with("\r\n\r\nnext")) << got;
    }
};

// Regression: the answer to a HEAD request on a route of streams was followed by a chunk and the
// last chunk. The caller read them as the answer to its next request.
TEST_F(HeadRequestFixture, serve_headOfChunkedStream_noBodyBeforeNextAnswer)
{
    addStreamEndpoint("Transfer-Encoding: chunked\r\n");
    start();
    expectHeadAndNextAnswer(callTwice());
}

TEST_F(HeadRequestFixture, serve_headOfStreamWithoutLength_noBodyBeforeNextAnswer)
{
    addStreamEndpoint("");
    start();
    expectHeadAndNextAnswer(callTwice());
}

} // namespace oriolerill::relay
