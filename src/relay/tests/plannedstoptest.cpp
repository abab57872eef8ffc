#include "relay/internal/plannedstop.h"
#include "relay/tests/listenerfixture.h"

#include <future>
#include <optional>

namespace oriolerill::relay {

using namespace std::chrono_literals;
using Socket = ScriptedEndpoint::Socket;
using domain::TimePoint;

/// An entry that receives SIGTERM while its endpoint has not completed its answer.
class PlannedStopFixture : public ListenerFixture
{
protected:
    struct Received
    {
        std::string text;
        /// would_block while the connection is open.
        boost::system::error_code end;
    };

    void SetUp() override
    {
        ListenerFixture::SetUp();
        m_routeTimeout = 6s;
        m_endpoint = &addEndpoint([](Socket &socket, const std::string &got) {
            if (got.find("/good") != std::string::npos) {
                write(socket, answer("a1", "good"));
                return true;
            }
            if (got.starts_with("POST /stream/")) {
                write(socket,
                        "HTTP/1.1 200 OK\r\nAttempt-Id: a1\r\nServer-Signature: s\r\n"
                        "Content-Type: text/event-stream\r\nConnection: close\r\n\r\n"
                        "id: 1\ndata: a\n\n");
            }
            awaitClose(socket);
            return false;
        });
    }

    /// Returns after 5 s at the latest, so that a connection left open by the entry fails the test
    /// instead of blocking it.
    static void awaitClose(Socket &socket)
    {
        socket.non_blocking(true);
        char byte = 0;
        boost::system::error_code code;
        for (int i = 0; i < 500; ++i) {
            socket.read_some(boost::asio::buffer(&byte, 1), code);
            if (code && code != boost::asio::error::would_block)
                return;
            std::this_thread::sleep_for(10ms);
        }
    }

    /// Starts the planned stop; its end stops the entry's thread, as it ends the process.
    void beginStop(domain::Duration grace)
    {
        m_begun = TimePoint::clock::now();
        boost::asio::post(m_context, [this, grace] {
            m_stop.emplace(m_relay, m_listener, m_begun, m_begun + grace);
            boost::asio::co_spawn(m_context, m_stop->run(), [this](const std::exception_ptr &) {
                m_context.stop();
                m_ended.set_value(TimePoint::clock::now());
            });
        });
    }

    /// Time from SIGTERM to the end of the process.
    domain::Duration awaitEnd() { return m_ended.get_future().get() - m_begun; }

    /// What the caller has received so far.
    static Received received(Socket &caller)
    {
        Received result;
        caller.non_blocking(true);
        char bytes[4096];
        while (!result.end) {
            const std::size_t size = caller.read_some(boost::asio::buffer(bytes), result.end);
            result.text.append(bytes, size);
        }
        return result;
    }

    ScriptedEndpoint *m_endpoint = nullptr;
    TimePoint m_begun;
    std::optional<internal::PlannedStop> m_stop;
    std::promise<TimePoint> m_ended;
};

class PlannedStopGraceFixture : public PlannedStopFixture,
                                public testing::WithParamInterface<std::chrono::milliseconds>
{};

INSTANTIATE_TEST_SUITE_P(Graces, PlannedStopGraceFixture, testing::Values(1000ms, 3000ms),
        [](const auto &test) { return std::to_string(test.param.count()) + "Ms"; });

// Guards against a request accepted after SIGTERM that is forwarded with a deadline after the end
// of the process, and cut without an answer at the end of the grace period.
TEST_P(PlannedStopGraceFixture, run_requestAcceptedAfterSigterm_deadlineAndAnswerWithinGrace)
{
    constexpr auto AcceptedAfter = 200ms;
    startListening();
    beginStop(GetParam());
    std::this_thread::sleep_for(AcceptedAfter);
    Socket caller = connectToListener();
    write(caller, request("POST", "/order/1", "", "o"));
    EXPECT_LT(awaitEnd(), GetParam());
    const Received got = received(caller);
    EXPECT_EQ(statusOf(got.text), 504U) << got.text;
    ASSERT_EQ(m_endpoint->requests().size(), 1U);
    EXPECT_LE(std::stoi(fieldOf(m_endpoint->requests().front(), "Deadline-Ms")),
            (GetParam() - AcceptedAfter).count());
}

// Guards against requests from before SIGTERM that are cut without an answer at the end of the
// grace period, against a not-run answer to one that may have run, and against an interrupted
// stream that looks complete.
TEST_F(PlannedStopFixture, run_requestsInProgressAtEndOfGrace_answeredAndStreamsIncomplete)
{
    startListening();
    Socket order = connectToListener();
    write(order, request("POST", "/order/1", "", "o"));
    Socket stream = connectToListener();
    write(stream, request("POST", "/stream/1"));
    Socket http10Stream = connectToListener();
    write(http10Stream,
            "POST /stream/1 HTTP/1.0\r\nHost: h.example\r\nAttempt-Id: a1\r\nKey: secret\r\n\r\n");
    std::this_thread::sleep_for(50ms);
    beginStop(1200ms);
    EXPECT_LT(awaitEnd(), 1200ms);
    EXPECT_EQ(statusOf(received(order).text), 504U);
    const Received events = received(stream);
    EXPECT_NE(events.text.find("data: a"), std::string::npos);
    EXPECT_FALSE(events.text.ends_with("0\r\n\r\n"));
    EXPECT_NE(events.end, boost::asio::error::would_block);
    EXPECT_EQ(received(http10Stream).end, boost::asio::error::connection_reset);
}

// Guards against an answer that is replaced by a timeout although it arrives within the grace
// period.
TEST_F(PlannedStopFixture, run_answerWithinGrace_deliveredAndProcessEndsEarly)
{
    startListening();
    beginStop(4000ms);
    Socket caller = connectToListener();
    write(caller, request("POST", "/order/good", "", "o"));
    // The intake stays open for 2.6 s.
    EXPECT_LT(awaitEnd(), 3000ms);
    const Received got = received(caller);
    EXPECT_TRUE(got.text.ends_with("good")) << got.text;
    EXPECT_EQ(fieldOf(got.text, "Connection"), "close");
}

// Guards against a request that is forwarded with no time left, or not answered, because its rest
// arrives just before the process ends.
TEST_F(PlannedStopFixture, run_restOfRequestArrivesAtEndOfGrace_refusedAsNotRun)
{
    constexpr auto Grace = 2000ms;
    startListening();
    Socket caller = connectToListener();
    const std::string text = request("POST", "/order/1", "", "o");
    write(caller, text.substr(0, text.size() / 2));
    std::this_thread::sleep_for(50ms);
    beginStop(Grace);
    std::this_thread::sleep_until(m_begun + 1250ms);
    write(caller, text.substr(text.size() / 2));
    EXPECT_LT(awaitEnd(), Grace);
    const Received got = received(caller);
    EXPECT_EQ(statusOf(got.text), 503U) << got.text;
    EXPECT_TRUE(m_endpoint->requests().empty());
}

// Guards against a process that exits after it has accepted its last connections and before it has
// read their requests, and against one that waits for connections without a request.
TEST_F(PlannedStopFixture, run_requestsAcceptedAtEndOfIntake_answeredAndIdleNotAwaited)
{
    startListening();
    Socket idle = connectToListener();
    std::this_thread::sleep_for(50ms);
    beginStop(4000ms);
    std::this_thread::sleep_for(2300ms);
    // Blocks the entry's thread, so that new connections are in the accept queue when the intake is
    // due to close, after 2.6 s.
    boost::asio::post(m_context, [] { std::this_thread::sleep_for(500ms); });
    Socket caller = connectToListener();
    write(caller, request("POST", "/order/good", "", "o"));
    Socket lateIdle = connectToListener();
    EXPECT_LT(awaitEnd(), 3400ms);
    EXPECT_EQ(statusOf(received(caller).text), 200U);
}

} // namespace oriolerill::relay
