#include "relay/tests/relayfixture.h"

namespace oriolerill::relay {

using namespace std::chrono_literals;
using Socket = ScriptedEndpoint::Socket;

namespace {

/// Answer of the second endpoint, which is asked to continue the stream.
struct Continuation
{
    const char *name;
    const char *bytes;
    /// Bytes repeated until the entry closes the connection; if null, the endpoint closes it after
    /// `bytes`.
    const char *endless = nullptr;
    /// Whether the entry continues the stream with this answer on a resumable route.
    bool isContinued = false;
};

constexpr Continuation Continuations[] = {
        {"Status500",
                "HTTP/1.1 500 Internal Server Error\r\nAttempt-Id: a1\r\nServer-Signature: s\r\n"
                "Content-Length: 7\r\n\r\nfailure"},
        {"Status503",
                "HTTP/1.1 503 Service Unavailable\r\nAttempt-Id: a1\r\nServer-Signature: s\r\n"
                "Content-Length: 7\r\n\r\nfailure"},
        {"Status503NotRun",
                "HTTP/1.1 503 Service Unavailable\r\nAttempt-Id: a1\r\nNot-Executed: 1\r\n"
                "Content-Length: 7\r\n\r\nfailure"},
        {"Status404",
                "HTTP/1.1 404 Not Found\r\nAttempt-Id: a1\r\nServer-Signature: s\r\n"
                "Content-Length: 7\r\n\r\nfailure"},
        {"Status404EventStream",
                "HTTP/1.1 404 Not Found\r\nAttempt-Id: a1\r\nServer-Signature: s\r\n"
                "Content-Type: text/event-stream\r\n\r\nid: 2\ndata: failure\n\n"},
        {"Status200Plain",
                "HTTP/1.1 200 OK\r\nAttempt-Id: a1\r\nServer-Signature: s\r\n"
                "Content-Type: text/plain\r\nContent-Length: 16\r\n\r\nid: 2\ndata: fail"},
        {"OtherWeights",
                "HTTP/1.1 200 OK\r\nAttempt-Id: a1\r\nServer-Signature: s\r\nWeight-Versions: 5\r\n"
                "Content-Type: text/event-stream\r\n\r\nid: 2\ndata: failure\n\n"},
        {"Unsigned",
                "HTTP/1.1 200 OK\r\nAttempt-Id: a1\r\nWeight-Versions: 4\r\n"
                "Content-Type: text/event-stream\r\n\r\nid: 2\ndata: failure\n\n"},
        {"OtherId",
                "HTTP/1.1 200 OK\r\nAttempt-Id: a2\r\nServer-Signature: s\r\nWeight-Versions: 4\r\n"
                "Content-Type: text/event-stream\r\n\r\nid: 2\ndata: failure\n\n"},
        {"ChunkedError",
                "HTTP/1.1 500 Internal Server Error\r\nAttempt-Id: a1\r\nServer-Signature: s\r\n"
                "Transfer-Encoding: chunked\r\n\r\n7\r\nfailure\r\n0\r\n\r\n"},
        {"ChunkedErrorEventStream",
                "HTTP/1.1 500 Internal Server Error\r\nAttempt-Id: a1\r\nServer-Signature: s\r\n"
                "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"
                "16\r\nid: 2\ndata: failure\n\n\r\n0\r\n\r\n"},
        {"CutBehindHead",
                "HTTP/1.1 200 OK\r\nAttempt-Id: a1\r\nServer-Signature: s\r\nWeight-Versions: 4\r\n"
                "Content-Type: text/event-stream\r\n\r\n"},
        {"CutInHead", "HTTP/1.1 500 Internal Server Error\r\nAttempt-Id: a1\r\nServer-Sig"},
        {"CutInBody",
                "HTTP/1.1 500 Internal Server Error\r\nAttempt-Id: a1\r\nServer-Signature: s\r\n"
                "Content-Length: 700\r\n\r\nfailure"},
        {"NoAnswer", ""},
        {"MalformedAnswer", "failure\n\nid: 2\ndata: failure\n\n\r\n\r\n"},
        {"HeadWithoutEnd", "HTTP/1.1 500 Internal Server Error\r\n", "X-Failure: 1\r\n"},
        {"BodyWithoutEnd",
                "HTTP/1.1 500 Internal Server Error\r\nAttempt-Id: a1\r\nServer-Signature: s\r\n"
                "Connection: close\r\n\r\n",
                "id: 2\ndata: failure\n\n"},
        {"ErrorAfterPartialEvent",
                "HTTP/1.1 200 OK\r\nAttempt-Id: a1\r\nServer-Signature: s\r\nWeight-Versions: 4\r\n"
                "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"
                "6\r\nid: 2\n\r\nHTTP/1.1 500 Internal Server Error\r\nContent-Length: 7\r\n\r\n"
                "failure"},
        {"ForeignErrorThenOwnStream",
                "HTTP/1.1 500 Internal Server Error\r\nAttempt-Id: z\r\nServer-Signature: s\r\n"
                "Content-Length: 7\r\n\r\nfailure"
                "HTTP/1.1 200 OK\r\nAttempt-Id: a1\r\nServer-Signature: s\r\nWeight-Versions: 4\r\n"
                "Content-Type: text/event-stream\r\nConnection: close\r\n\r\nid: 2\ndata: b\n\n",
                nullptr, true},
        {"Valid",
                "HTTP/1.1 200 OK\r\nAttempt-Id: a1\r\nServer-Signature: s\r\nWeight-Versions: 4\r\n"
                "Content-Type: text/event-stream\r\nConnection: close\r\n\r\nid: 2\ndata: b\n\n",
                nullptr, true},
};

std::ostream &operator<<(std::ostream &stream, const Continuation &value)
{
    return stream << value.name;
}

/// Decoded body of a chunked answer, as far as received.
struct ChunkedBody
{
    std::string body;
    bool hasLastChunk = false;
};

ChunkedBody decodeChunks(const std::string &answer)
{
    ChunkedBody chunks;
    std::size_t at = answer.find("\r\n\r\n");
    at = at == std::string::npos ? answer.size() : at + 4;
    while (at < answer.size()) {
        const std::size_t line = answer.find("\r\n", at);
        if (line == std::string::npos)
            break;
        const std::size_t size = std::stoul(answer.substr(at, line - at), nullptr, 16);
        chunks.body += answer.substr(line + 2, size);
        at = line + 4 + size;
        chunks.hasLastChunk = size == 0;
    }
    return chunks;
}

} // namespace

/// Streams that are reset after their first event; a second endpoint is asked to continue them.
class InterruptedStreamFixture : public RelayFixture
{
protected:
    static constexpr const char *FirstEvent = "id: 1\ndata: a\n\n";

    routing::Route route(const std::string &prefix, routing::RequestKind kind) const override
    {
        routing::Route route = RelayFixture::route(prefix, kind);
        route.isResumable = route.isResumable && m_isResumable;
        return route;
    }

    /// The first endpoint that is called starts the stream and resets the connection within the
    /// second event; the other one sends the continuation.
    void addEndpoints(const std::string &continuation, const std::string &endless = "")
    {
        const auto script = [calls = m_calls, continuation, endless](
                                    Socket &socket, const std::string &) {
            if ((*calls)++ == 0) {
                write(socket,
                        std::string("HTTP/1.1 200 OK\r\nAttempt-Id: a1\r\nServer-Signature: s\r\n"
                                    "Content-Type: text/event-stream\r\nWeight-Versions: 4\r\n"
                                    "Connection: close\r\n\r\n")
                                + FirstEvent + "id: 2\nda");
                std::this_thread::sleep_for(30ms);
                // Resets the connection: without a length, a regular close would complete the
                // answer.
                socket.set_option(boost::asio::socket_base::linger(true, 0));
                return false;
            }
            write(socket, continuation);
            boost::system::error_code code;
            while (!endless.empty() && !code)
                boost::asio::write(socket, boost::asio::buffer(endless), code);
            return false;
        };
        addEndpoint(script);
        addEndpoint(script);
    }

    /// Sends the request over HTTP/1.0 and reads to the end; the error code is that of the last
    /// read.
    std::pair<std::string, boost::system::error_code> callWithHttp10()
    {
        auto socket = connect();
        write(socket,
                "POST /stream/1 HTTP/1.0\r\nHost: h.example\r\nAttempt-Id: a1\r\n"
                "Key: secret\r\n\r\n");
        std::string got;
        boost::system::error_code code;
        boost::asio::read(socket, boost::asio::dynamic_buffer(got), code);
        return {got, code};
    }

    bool m_isResumable = true;
    std::shared_ptr<std::atomic<int>> m_calls = std::make_shared<std::atomic<int>>(0);
};

class ContinuationFixture : public InterruptedStreamFixture,
                            public testing::WithParamInterface<std::tuple<Continuation, bool, bool>>
{};

INSTANTIATE_TEST_SUITE_P(Continuations, ContinuationFixture,
        testing::Combine(testing::ValuesIn(Continuations), testing::Bool(), testing::Bool()),
        [](const auto &test) {
            return std::string(std::get<0>(test.param).name)
                    + (std::get<1>(test.param) ? "Resumable" : "Once")
                    + (std::get<2>(test.param) ? "Closing" : "Kept");
        });

// Guards against an error's head or body between the events of a caller's stream, and against an
// interrupted stream that ends as if it were complete. The stream is reset after its first event,
// and the next endpoint answers with an error or not at all.
TEST_P(ContinuationFixture, serve_streamInterrupted_completeEventsOnlyAndNoFalseEnd)
{
    const auto &[continuation, isResumable, isClosing] = GetParam();
    m_isResumable = isResumable;
    // The entry closes idle caller connections soon, so that the test does not wait for the default
    // timeout.
    m_limits.idleTimeout = 200ms;
    addEndpoints(continuation.bytes, continuation.endless == nullptr ? "" : continuation.endless);
    start();
    const std::string got = call(request("POST", "/stream/1", isClosing ? Close : ""));
    EXPECT_EQ(statusOf(got), 200U);
    EXPECT_EQ(*m_calls, isResumable ? 2 : 1);
    const bool isContinued = isResumable && continuation.isContinued;
    const ChunkedBody chunks = decodeChunks(got);
    EXPECT_EQ(
            chunks.body, isContinued ? std::string(FirstEvent) + "id: 2\ndata: b\n\n" : FirstEvent)
            << got;
    EXPECT_EQ(chunks.hasLastChunk, isContinued) << got;
    EXPECT_EQ(got.find("failure"), std::string::npos);
    EXPECT_EQ(got.find("HTTP/1.1", 1), std::string::npos) << got;
}

// Guards against an interrupted stream that looks complete to an HTTP/1.0 caller. HTTP/1.0 has no
// chunked encoding, so the answer ends with the connection, which the entry must reset.
TEST_F(InterruptedStreamFixture, serve_streamInterruptedForHttp10Caller_connectionReset)
{
    addEndpoints("HTTP/1.1 500 Internal Server Error\r\nAttempt-Id: a1\r\n"
                 "Server-Signature: s\r\nContent-Length: 7\r\n\r\nfailure");
    start();
    const auto [got, code] = callWithHttp10();
    EXPECT_EQ(code, boost::asio::error::connection_reset) << code.message() << '\n' << got;
    EXPECT_EQ(got.find("failure"), std::string::npos);
    EXPECT_EQ(fieldOf(got, "Transfer-Encoding"), "") << got;
}

// Guards against chunked encoding in an answer to an HTTP/1.0 caller, which reads the chunk sizes
// as event data.
TEST_F(InterruptedStreamFixture, serve_completeStreamForHttp10Caller_endsWithConnection)
{
    addEndpoint([](Socket &socket, const std::string &) {
        write(socket,
                std::string("HTTP/1.1 200 OK\r\nAttempt-Id: a1\r\nServer-Signature: s\r\n"
                            "Content-Type: text/event-stream\r\nConnection: close\r\n\r\n")
                        + FirstEvent);
        return false;
    });
    start();
    const auto [got, code] = callWithHttp10();
    EXPECT_EQ(code, boost::asio::error::eof) << code.message();
    EXPECT_TRUE(got.ends_with(std::string("\r\n\r\n") + FirstEvent)) << got;
}

// Guards against a stream without the endpoint's signature that is relayed as a success.
TEST_F(InterruptedStreamFixture, serve_firstStreamUnsigned_notDelivered)
{
    addEndpoint([](Socket &socket, const std::string &) {
        write(socket,
                std::string("HTTP/1.1 200 OK\r\nAttempt-Id: a1\r\n"
                            "Content-Type: text/event-stream\r\nConnection: close\r\n\r\n")
                        + FirstEvent);
        return false;
    });
    start();
    const std::string got = call(request("POST", "/stream/1", Close));
    EXPECT_EQ(statusOf(got), 502U) << got;
    EXPECT_EQ(got.find("data: a"), std::string::npos) << got;
}

// Guards against waiting for the end of an unsigned, endless stream although another endpoint can
// answer.
TEST_F(InterruptedStreamFixture, serve_unsignedStreamWithoutEnd_answeredElsewhere)
{
    m_routeTimeout = 6s;
    const auto script = [calls = m_calls](Socket &socket, const std::string &) {
        const bool isFirst = (*calls)++ == 0;
        write(socket,
                std::string("HTTP/1.1 200 OK\r\nAttempt-Id: a1\r\n")
                        + (isFirst ? "" : "Server-Signature: s\r\n")
                        + "Content-Type: text/event-stream\r\nConnection: close\r\n\r\n"
                        + FirstEvent);
        boost::system::error_code code;
        for (int i = 0; isFirst && i < 60 && !code; ++i) {
            boost::asio::write(socket, boost::asio::buffer(":\n\n", 3), code);
            std::this_thread::sleep_for(100ms);
        }
        return false;
    };
    addEndpoint(script);
    addEndpoint(script);
    start();
    const auto begun = std::chrono::steady_clock::now();
    const std::string got = call(request("POST", "/stream/1", Close));
    EXPECT_EQ(decodeChunks(got).body, FirstEvent) << got;
    EXPECT_LT(std::chrono::steady_clock::now() - begun, 3s);
}

// Guards against an error inserted between events that are still being written to the caller. The
// endpoint resets its stream, and the next one answers with an error before the caller has read
// anything.
TEST_F(InterruptedStreamFixture, serve_errorDuringDeliveryToCaller_completeEventsOnly)
{
    constexpr int Events = 400;
    const std::string padding(8000, 'y');
    const auto script = [calls = m_calls, padding](Socket &socket, const std::string &) {
        if ((*calls)++ > 0) {
            write(socket, answer("a1", "failure", "500 Internal Server Error"));
            return false;
        }
        write(socket,
                "HTTP/1.1 200 OK\r\nAttempt-Id: a1\r\nServer-Signature: s\r\n"
                "Content-Type: text/event-stream\r\nConnection: close\r\n\r\n");
        for (int i = 1; i <= Events; ++i)
            write(socket, "id: " + std::to_string(i) + "\ndata: " + padding + "\n\n");
        write(socket, "id: 401\nda");
        std::this_thread::sleep_for(300ms);
        socket.set_option(boost::asio::socket_base::linger(true, 0));
        return false;
    };
    addEndpoint(script);
    addEndpoint(script);
    m_routeTimeout = 3s;
    start();
    auto socket = connect();
    write(socket, request("POST", "/stream/1", Close));
    std::this_thread::sleep_for(200ms);
    const ChunkedBody chunks = decodeChunks(readAll(socket));
    EXPECT_FALSE(chunks.hasLastChunk);
    EXPECT_TRUE(chunks.body.empty() || chunks.body.ends_with("y\n\n"));
    EXPECT_EQ(chunks.body.find("failure"), std::string::npos);
    for (std::size_t at = 0, id = 1; at < chunks.body.size(); ++id) {
        const std::string event = "id: " + std::to_string(id) + "\ndata: " + padding + "\n\n";
        ASSERT_EQ(chunks.body.compare(at, event.size(), event), 0) << "event " << id;
        at += event.size();
    }
}

} // namespace oriolerill::relay
