#include "relay/tests/relayfixture.h"

namespace oriolerill::relay {

using namespace std::chrono_literals;
using Socket = ScriptedEndpoint::Socket;

namespace {

constexpr const char *StreamHead
        = "HTTP/1.1 200 OK\r\nAttempt-Id: a1\r\nServer-Signature: sig-stream\r\n"
          "Weight-Versions: 4\r\nContent-Type: text/event-stream\r\n";

/// How the second endpoint's stream ends before its first event.
enum class StreamEnd {
    /// Resets the connection within the first event.
    Reset,
    /// Closes the connection within the first event of a stream without length or chunks.
    ClosedWithoutLength,
    /// Closes the connection within a chunk.
    ClosedInChunk,
    /// Ends the chunks properly, but within an event.
    LastChunkInEvent,
    /// Sends nothing after the head, until the request's deadline.
    Silent,
    /// Sends an event that is too large to be buffered.
    EventTooLarge,
    /// The entry stops before the first event.
    EntryStops,
};

constexpr std::pair<StreamEnd, const char *> StreamEnds[]
        = {{StreamEnd::Reset, "Reset"}, {StreamEnd::ClosedWithoutLength, "ClosedWithoutLength"},
                {StreamEnd::ClosedInChunk, "ClosedInChunk"},
                {StreamEnd::LastChunkInEvent, "LastChunkInEvent"}, {StreamEnd::Silent, "Silent"},
                {StreamEnd::EventTooLarge, "EventTooLarge"}, {StreamEnd::EntryStops, "EntryStops"}};

void awaitClose(Socket &socket)
{
    char byte = 0;
    boost::system::error_code code;
    socket.read_some(boost::asio::buffer(&byte, 1), code);
}

} // namespace

/// An endpoint answers a resumable stream with its own failure; the next endpoint sends the head of
/// a stream that ends before its first event.
class KeptFailureFixture : public RelayFixture
{
protected:
    static constexpr const char *Failure = "failure of the first endpoint";

    void addEndpoints(StreamEnd end)
    {
        const auto script = [this, end, calls = m_calls](Socket &socket, const std::string &) {
            if ((*calls)++ == 0) {
                write(socket,
                        "HTTP/1.1 500 Internal Server Error\r\nAttempt-Id: a1\r\n"
                        "Server-Signature: sig-failure\r\nContent-Length: "
                                + std::to_string(std::string(Failure).size()) + "\r\n\r\n"
                                + Failure);
                return false;
            }
            sendStream(socket, end);
            return false;
        };
        addEndpoint(script);
        addEndpoint(script);
    }

    void sendStream(Socket &socket, StreamEnd end)
    {
        const std::string head = StreamHead;
        const std::string chunked = head + "Transfer-Encoding: chunked\r\n\r\n";
        switch (end) {
        case StreamEnd::Reset:
            write(socket, chunked + "10\r\nid: 1\nda");
            std::this_thread::sleep_for(30ms);
            socket.set_option(boost::asio::socket_base::linger(true, 0));
            return;
        case StreamEnd::ClosedWithoutLength:
            write(socket, head + "Connection: close\r\n\r\nid: 1\nda");
            return;
        case StreamEnd::ClosedInChunk:
            write(socket, chunked + "10\r\nid: 1\nda");
            return;
        case StreamEnd::LastChunkInEvent:
            write(socket, chunked + "8\r\nid: 1\nda\r\n0\r\n\r\n");
            return;
        case StreamEnd::Silent:
            write(socket, chunked);
            awaitClose(socket);
            return;
        case StreamEnd::EventTooLarge:
            write(socket,
                    head + "Connection: close\r\n\r\nid: 1\ndata: " + std::string(2U << 20U, 'x'));
            return;
        case StreamEnd::EntryStops:
            write(socket, chunked + "10\r\nid: 1\nda");
            std::this_thread::sleep_for(100ms);
            boost::asio::post(m_context, [this] {
                m_relay.stopDeadline = domain::TimePoint::clock::now();
                m_relay.expireRequests();
            });
            awaitClose(socket);
            return;
        }
    }

    static void expectFailureOfFirstEndpoint(const std::string &got)
    {
        EXPECT_EQ(statusOf(got), 500U) << got;
        EXPECT_EQ(fieldOf(got, "Server-Signature"), "sig-failure") << got;
        EXPECT_EQ(fieldOf(got, "Weight-Versions"), "") << got;
        EXPECT_TRUE(got.ends_with(std::string("\r\n\r\n") + Failure)) << got;
    }

    std::shared_ptr<std::atomic<int>> m_calls = std::make_shared<std::atomic<int>>(0);
};

class KeptFailureEndFixture : public KeptFailureFixture,
                              public testing::WithParamInterface<std::pair<StreamEnd, const char *>>
{};

INSTANTIATE_TEST_SUITE_P(StreamEnds, KeptFailureEndFixture, testing::ValuesIn(StreamEnds),
        [](const auto &test) { return std::string(test.param.second); });

// Regression: the body of an endpoint's failure was delivered under the head of the next endpoint's
// stream, so callers got a complete, signed success that no endpoint gave.
TEST_P(KeptFailureEndFixture, serve_streamEndsBeforeFirstEvent_failureDeliveredWithOwnHead)
{
    addEndpoints(GetParam().first);
    start();
    expectFailureOfFirstEndpoint(call(request("POST", "/stream/1", Close)));
    EXPECT_EQ(*m_calls, 2);
}

// The same for a caller whose stream would end with the connection.
TEST_P(KeptFailureEndFixture, serve_streamEndsBeforeFirstEventForHttp10Caller_failureWithOwnHead)
{
    addEndpoints(GetParam().first);
    start();
    expectFailureOfFirstEndpoint(
            call("POST /stream/1 HTTP/1.0\r\nHost: h.example\r\nAttempt-Id: a1\r\n"
                 "Key: secret\r\n\r\n"));
    EXPECT_EQ(*m_calls, 2);
}

// Guards against bytes of an answer that stay counted as buffered after its request, or are counted
// twice: the limit of all requests would be reached without any answer being buffered.
TEST_F(KeptFailureFixture, serve_failureReplacedOrDelivered_noBytesCountedAfterwards)
{
    const auto script = [calls = m_calls](Socket &socket, const std::string &) {
        const int number = (*calls)++;
        const bool isFailure = number != 1;
        write(socket,
                answer("a1", std::string(100000, 'f'),
                        isFailure ? "500 Internal Server Error" : "200 OK"));
        return false;
    };
    addEndpoint(script);
    addEndpoint(script);
    start();
    EXPECT_EQ(statusOf(call(request("GET", "/read/1", Close))), 200U);
    EXPECT_EQ(*m_calls, 2);
    EXPECT_EQ(statusOf(call(request("GET", "/read/1", Close))), 500U);
    stop();
    EXPECT_EQ(m_relay.bufferedAnswers->held(), domain::Bytes(0));
}

} // namespace oriolerill::relay
