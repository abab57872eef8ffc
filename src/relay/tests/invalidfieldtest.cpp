#include "relay/tests/relayfixture.h"
#include "transport/tests/invalidfields.h"

namespace oriolerill::relay {

using Socket = ScriptedEndpoint::Socket;
using transport::InvalidField;

/// Endpoints in whose answers the name of a field holds bytes that HTTP does not allow.
class InvalidFieldFixture : public RelayFixture, public testing::WithParamInterface<InvalidField>
{
protected:
    /// The first endpoint that is called sends `invalid` and keeps its connection open; the other
    /// one answers correctly.
    void addEndpoints(const std::string &invalid)
    {
        for (int i = 0; i < 2; ++i) {
            addEndpoint([calls = m_calls, invalid](Socket &socket, const std::string &request) {
                if ((*calls)++ == 0) {
                    write(socket, invalid);
                    return true;
                }
                const bool isStream = request.find("/stream/") != std::string::npos;
                const bool isHead = request.starts_with("HEAD ");
                write(socket,
                        isStream ? answer("a1", "id: 2\ndata: good\n\n", "200 OK",
                                "Content-Type: text/event-stream\r\n")
                                 : answer("a1", isHead ? "" : "good", "200 OK", "Good: 1\r\n"));
                return true;
            });
        }
        start();
    }

    /// The head of an answer with the invalid line, up to its end.
    static std::string invalidHead(const std::string &fields = "", const std::string &id = "a1")
    {
        return "HTTP/1.1 200 OK\r\nAttempt-Id: " + id + "\r\nServer-Signature: s\r\n"
                + GetParam().line + fields + "\r\n";
    }

    void expectLost(const std::string &path = "/order/1")
    {
        const std::string got = call(request("POST", path, Close));
        EXPECT_EQ(statusOf(got), 502U) << got;
        EXPECT_EQ(got.find("bad"), std::string::npos) << got;
        EXPECT_EQ(*m_calls, 1);
    }

    std::shared_ptr<std::atomic<int>> m_calls = std::make_shared<std::atomic<int>>(0);
};

INSTANTIATE_TEST_SUITE_P(Fields, InvalidFieldFixture, testing::ValuesIn(transport::invalidFields),
        transport::labelOf);

// Guards against an answer that is forwarded with the line, or with a body that is not the
// endpoint's.
TEST_P(InvalidFieldFixture, serve_nonIdempotent_lostAndNotSentAgain)
{
    addEndpoints(invalidHead("Content-Length: 3\r\n") + "bad");
    expectLost();
}

// Guards against a refusal that is believed although its head is invalid: the order may have run.
TEST_P(InvalidFieldFixture, serve_nonIdempotentStatedNotRun_lostAndNotSentAgain)
{
    addEndpoints(invalidHead("Not-Executed: 1\r\nContent-Length: 3\r\n") + "bad");
    expectLost();
}

// Guards against an invalid answer that is skipped as one to another request.
TEST_P(InvalidFieldFixture, serve_idOfOtherRequest_lost)
{
    addEndpoints(invalidHead("Content-Length: 3\r\n", "z") + "bad" + answer("a1", "bad"));
    expectLost();
}

// Guards against an invalid interim answer after which the next answer is taken.
TEST_P(InvalidFieldFixture, serve_interimAnswer_lost)
{
    addEndpoints("HTTP/1.1 103 Early Hints\r\n" + GetParam().line + "\r\n" + answer("a1", "bad"));
    expectLost();
}

// Guards against a body that counts as complete although its end is invalid.
TEST_P(InvalidFieldFixture, serve_trailer_lost)
{
    addEndpoints("HTTP/1.1 200 OK\r\nAttempt-Id: a1\r\nServer-Signature: s\r\n"
                 "Transfer-Encoding: chunked\r\n\r\n3\r\nbad\r\n0\r\n"
            + GetParam().line + "\r\n");
    expectLost();
}

// Guards against a lost answer that ends an idempotent request.
TEST_P(InvalidFieldFixture, serve_idempotent_answeredByOtherEndpoint)
{
    addEndpoints(invalidHead("Content-Length: 3\r\n") + "bad");
    const std::string got = call(request("GET", "/read/1", Close));
    EXPECT_EQ(statusOf(got), 200U) << got;
    EXPECT_NE(got.find("good"), std::string::npos) << got;
    EXPECT_EQ(*m_calls, 2);
}

// Guards against the same where only a head is awaited.
TEST_P(InvalidFieldFixture, serve_headRequest_answeredByOtherEndpoint)
{
    addEndpoints(invalidHead("Content-Length: 3\r\n"));
    const std::string got = call(request("HEAD", "/read/1", Close));
    EXPECT_EQ(statusOf(got), 200U) << got;
    EXPECT_NE(got.find("Good: 1"), std::string::npos) << got;
    EXPECT_EQ(*m_calls, 2);
}

// Guards against a stream whose events are forwarded although its head is invalid.
TEST_P(InvalidFieldFixture, serve_stream_continuedByOtherEndpoint)
{
    addEndpoints(invalidHead("Content-Type: text/event-stream\r\n") + "id: 1\ndata: bad\n\n");
    const std::string got = call(request("POST", "/stream/1", Close));
    EXPECT_EQ(statusOf(got), 200U) << got;
    EXPECT_EQ(got.find("bad"), std::string::npos) << got;
    EXPECT_NE(got.find("data: good"), std::string::npos) << got;
}

} // namespace oriolerill::relay
