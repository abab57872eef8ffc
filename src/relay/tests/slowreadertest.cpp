#include "relay/internal/socketbuffers.h"
#include "relay/internal/streambuffer.h"
#include "relay/tests/relayfixture.h"

namespace oriolerill::relay {

using namespace std::chrono_literals;
using Socket = ScriptedEndpoint::Socket;

/// Callers that read slowly, over connections for which the kernel buffers little. The last segment
/// of the request path is the number of events of the answer.
class SlowReaderFixture : public RelayFixture
{
protected:
    static constexpr std::size_t EventSize = 540;
    static constexpr int SocketBytes = 4 << 10;

    SlowReaderFixture()
    {
        m_routeTimeout = 8s;
        internal::boundSocketBuffers(m_acceptor, SocketBytes);
    }

    static std::string event(int number)
    {
        std::string text = "id: " + std::to_string(number) + "\ndata: ";
        return text + std::string(EventSize - text.size() - 2, 'x') + "\n\n";
    }

    static std::string events(int first, int last)
    {
        std::string text;
        for (int i = first; i <= last; ++i)
            text += event(i);
        return text;
    }

    static std::string streamHead(const std::string &framing)
    {
        return "HTTP/1.1 200 OK\r\nAttempt-Id: a1\r\nServer-Signature: s\r\nWeight-Versions: 4\r\n"
               "Content-Type: text/event-stream\r\n"
                + framing + "\r\n";
    }

    static int eventsAsked(const std::string &request)
    {
        return std::stoi(request.substr(request.find("/stream/") + 8));
    }

    /// Sends the answer; resets the connection when `patience` passes without progress, as an
    /// endpoint does whose answer stays unread.
    void addImpatientEndpoint(std::chrono::milliseconds patience)
    {
        addEndpoint([patience, cuts = m_cuts](Socket &socket, const std::string &request) {
            socket.set_option(boost::asio::socket_base::send_buffer_size(SocketBytes));
            const auto seconds = std::chrono::duration_cast<std::chrono::seconds>(patience);
            const timeval limit{
                    seconds.count(), std::chrono::microseconds(patience - seconds).count()};
            ::setsockopt(socket.native_handle(), SOL_SOCKET, SO_SNDTIMEO, &limit, sizeof(limit));
            const std::string body = events(1, eventsAsked(request));
            const std::string text
                    = streamHead("Content-Length: " + std::to_string(body.size()) + "\r\n") + body;
            for (std::size_t sent = 0; sent < text.size();) {
                const auto size = ::send(socket.native_handle(), text.data() + sent,
                        std::min(EventSize, text.size() - sent), MSG_NOSIGNAL);
                if (size < 0) {
                    ++*cuts;
                    socket.set_option(boost::asio::socket_base::linger(true, 0));
                    return false;
                }
                sent += static_cast<std::size_t>(size);
            }
            return true;
        });
        m_listed.back().slots = 100;
    }

    /// A connection that buffers little, with a request for this number of events.
    boost::asio::ip::tcp::socket ask(int eventCount)
    {
        boost::asio::ip::tcp::socket socket(m_callerContext);
        socket.open(boost::asio::ip::tcp::v4());
        internal::boundSocketBuffers(socket, SocketBytes);
        socket.connect(m_acceptor.local_endpoint());
        write(socket, request("POST", "/stream/" + std::to_string(eventCount), Close));
        return socket;
    }

    /// The events of a chunked answer; empty without its last chunk.
    static std::string wholeBody(const std::string &answer)
    {
        std::string body;
        for (std::size_t at = answer.find("\r\n\r\n") + 4; at < answer.size();) {
            const std::size_t line = answer.find("\r\n", at);
            const std::size_t size = std::stoul(answer.substr(at, line - at), nullptr, 16);
            if (size == 0)
                return body;
            body += answer.substr(line + 2, size);
            at = line + 4 + size;
        }
        return "";
    }

    std::size_t held() const { return m_relay.callerStreams->held().count(); }

    std::shared_ptr<std::atomic<int>> m_cuts = std::make_shared<std::atomic<int>>(0);
};

// Regression: each batch of events was written before the next was read, so a caller that read
// slowly stopped the reading, and the endpoint reset its answer.
TEST_F(SlowReaderFixture, serve_manySlowReaders_wholeAnswersWithinBound)
{
    constexpr int Callers = 50;
    // More than the kernel buffers for the two connections of a stream.
    constexpr int EventCount = 190;
    addImpatientEndpoint(500ms);
    start();
    std::vector<boost::asio::ip::tcp::socket> sockets;
    sockets.reserve(Callers);
    for (int i = 0; i < Callers; ++i)
        sockets.push_back(ask(EventCount));
    std::this_thread::sleep_for(1200ms);
    EXPECT_GT(held(), 0U);
    EXPECT_LE(held(), Callers * internal::StreamBuffer::MaxBytes);
    const std::string expected = events(1, EventCount);
    for (auto &socket : sockets)
        EXPECT_EQ(wholeBody(readAll(socket)), expected);
    EXPECT_EQ(*m_cuts, 0);
    EXPECT_EQ(held(), 0U);
}

// Guards against an answer of any size that is buffered whole, and against one that is not read
// further after the bound was reached.
TEST_F(SlowReaderFixture, serve_answerAboveBound_stopsReadingAndGoesOn)
{
    constexpr int EventCount = 1000;
    addImpatientEndpoint(5s);
    start();
    auto socket = ask(EventCount);
    std::this_thread::sleep_for(300ms);
    EXPECT_EQ(m_relay.pausedStreams, 1U);
    EXPECT_LE(held(), internal::StreamBuffer::MaxBytes);
    EXPECT_EQ(wholeBody(readAll(socket)), events(1, EventCount));
    EXPECT_EQ(m_relay.pausedStreams, 0U);
}

// Guards against a caller that reads nothing and keeps its engine's slot.
TEST_F(SlowReaderFixture, serve_callerReadsNothing_disconnectedAndAttemptEnded)
{
    m_relay.callerWriteTimeout = 400ms;
    const auto isClosed = std::make_shared<std::atomic<bool>>(false);
    addEndpoint([isClosed](Socket &socket, const std::string &) {
        write(socket, streamHead(""));
        boost::system::error_code code;
        for (int i = 1; !code; ++i)
            boost::asio::write(socket, boost::asio::buffer(event(i)), code);
        *isClosed = true;
        return false;
    });
    start();
    auto socket = ask(1);
    std::this_thread::sleep_for(200ms);
    EXPECT_FALSE(*isClosed);
    EXPECT_TRUE(waitFor(*isClosed));
    EXPECT_EQ(wholeBody(readAll(socket)), "");
    EXPECT_EQ(held(), 0U);
}

// Guards against events that are lost or sent twice where a stream is continued by another endpoint
// while its first events wait for the caller.
TEST_F(SlowReaderFixture, serve_resumedWhileCallerIsSlow_eachEventOnce)
{
    constexpr int EventCount = 60;
    constexpr int FirstPart = 40;
    for (int i = 0; i < 2; ++i) {
        addEndpoint([calls = m_cuts](Socket &socket, const std::string &request) {
            const std::string last = fieldOf(request, "Last-Event-Id");
            const bool isFirst = (*calls)++ == 0;
            write(socket,
                    streamHead("Connection: close\r\n")
                            + events(last.empty() ? 1 : std::stoi(last) + 1,
                                    isFirst ? FirstPart : EventCount));
            std::this_thread::sleep_for(50ms);
            if (isFirst) {
                socket.set_option(boost::asio::socket_base::linger(true, 0));
                // The destructor of the socket would clear the option.
                socket.close();
            }
            return false;
        });
    }
    start();
    auto socket = ask(EventCount);
    std::this_thread::sleep_for(500ms);
    EXPECT_GT(held(), 0U);
    EXPECT_EQ(wholeBody(readAll(socket)), events(1, EventCount));
    EXPECT_EQ(*m_cuts, 2);
}

// Regression: all of an answer other than a stream had to be written within the time in which a
// caller has to read anything, so a long one was cut although its caller read steadily.
TEST_F(SlowReaderFixture, serve_plainAnswerReadSlowly_whole)
{
    m_relay.callerWriteTimeout = 400ms;
    const std::string body(200'000, 'x');
    addEndpoint([body](Socket &socket, const std::string &) {
        write(socket, answer("a1", body));
        return true;
    });
    start();
    boost::asio::ip::tcp::socket socket(m_callerContext);
    socket.open(boost::asio::ip::tcp::v4());
    internal::boundSocketBuffers(socket, SocketBytes);
    socket.connect(m_acceptor.local_endpoint());
    write(socket, request("GET", "/read/1", Close));
    std::string received;
    boost::system::error_code code;
    while (!code) {
        char bytes[4000];
        received.append(bytes, socket.read_some(boost::asio::buffer(bytes), code));
        std::this_thread::sleep_for(20ms);
    }
    EXPECT_TRUE(received.ends_with("\r\n\r\n" + body)) << received.size();
}

// Guards against an answer without chunks that looks complete to a caller that was disconnected
// while a part of it was buffered.
TEST_F(SlowReaderFixture, serve_unchunkedAndReadsNothing_connectionReset)
{
    m_relay.callerWriteTimeout = 300ms;
    addImpatientEndpoint(5s);
    start();
    boost::asio::ip::tcp::socket socket(m_callerContext);
    socket.open(boost::asio::ip::tcp::v4());
    internal::boundSocketBuffers(socket, SocketBytes);
    socket.connect(m_acceptor.local_endpoint());
    write(socket,
            "POST /stream/60 HTTP/1.0\r\nHost: h.example\r\nAttempt-Id: a1\r\nKey: secret\r\n\r\n");
    std::this_thread::sleep_for(700ms);
    std::string received;
    boost::system::error_code code;
    boost::asio::read(socket, boost::asio::dynamic_buffer(received), code);
    EXPECT_EQ(code, boost::asio::error::connection_reset);
    EXPECT_EQ(held(), 0U);
}

} // namespace oriolerill::relay
