#include "relay/tests/relayfixture.h"

namespace oriolerill::relay {

using Socket = ScriptedEndpoint::Socket;

/// Endpoints whose answers state a status that HTTP does not have, beside valid header fields.
class InvalidStatusFixture : public RelayFixture, public testing::WithParamInterface<const char *>
{
protected:
    /// The first endpoint that is called answers with the status and `fields`, and keeps its
    /// connection open; the other one answers correctly.
    void addEndpoints(const std::string &id, const std::string &fields, const std::string &body)
    {
        const std::string invalid = "HTTP/1.1 " + std::string(GetParam())
                + " X\r\nAttempt-Id: " + id + "\r\nServer-Signature: s\r\n" + fields
                + "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
        for (int i = 0; i < 2; ++i) {
            addEndpoint([calls = m_calls, invalid](Socket &socket, const std::string &request) {
                if ((*calls)++ == 0) {
                    write(socket, invalid);
                    return true;
                }
                const bool isStream = request.find("/stream/") != std::string::npos;
                write(socket,
                        isStream ? answer("a1", "id: 1\ndata: good\n\n", "200 OK",
                                "Content-Type: text/event-stream\r\n")
                                 : answer("a1", "good"));
                return true;
            });
        }
        start();
    }

    /// Runs on the thread of the entry, which uses the state.
    template<class Function>
    void onEntry(Function function)
    {
        std::atomic<bool> isDone = false;
        boost::asio::post(m_context, [&] {
            function();
            isDone = true;
        });
        ASSERT_TRUE(waitFor(isDone));
    }

    std::shared_ptr<std::atomic<int>> m_calls = std::make_shared<std::atomic<int>>(0);
};

INSTANTIATE_TEST_SUITE_P(Statuses, InvalidStatusFixture,
        testing::Values("000", "001", "099", "600", "700", "999"),
        [](const auto &info) { return std::string("Status") + info.param; });

// Regression: the parser accepts such a status, and it was forwarded to the caller. The answer may
// belong to a request that ran, also where it states the opposite.
TEST_P(InvalidStatusFixture, serve_nonIdempotentStatedNotRun_lostAndNotSentAgain)
{
    addEndpoints("a1", "Not-Executed: 1\r\nRetry-After: 1\r\n", "full");
    const std::string got = call(request("POST", "/order/1", Close));
    EXPECT_EQ(statusOf(got), 502U) << got;
    EXPECT_EQ(*m_calls, 1);
}

// Guards against a lost answer that ends an idempotent request, and against the use of the
// connection, where the rest of the invalid answer would be read as the next one.
TEST_P(InvalidStatusFixture, serve_idempotent_answeredByOtherEndpoint)
{
    addEndpoints("a1", "Keep-Alive: timeout=20\r\n", "bad");
    const std::string got = call(request("GET", "/read/1", Close));
    EXPECT_EQ(statusOf(got), 200U) << got;
    EXPECT_NE(got.find("good"), std::string::npos) << got;
    EXPECT_EQ(*m_calls, 2);
}

// Guards against the same where only a head is awaited.
TEST_P(InvalidStatusFixture, serve_headRequest_answeredByOtherEndpoint)
{
    addEndpoints("a1", "", "");
    const std::string got = call(request("HEAD", "/read/1", Close));
    EXPECT_EQ(statusOf(got), 200U) << got;
    EXPECT_EQ(*m_calls, 2);
}

// Guards against a stream whose events are forwarded although its head is invalid.
TEST_P(InvalidStatusFixture, serve_stream_continuedByOtherEndpoint)
{
    addEndpoints("a1", "Content-Type: text/event-stream\r\n", "id: 1\ndata: bad\n\n");
    const std::string got = call(request("POST", "/stream/1", Close));
    EXPECT_EQ(statusOf(got), 200U) << got;
    EXPECT_EQ(got.find("bad"), std::string::npos) << got;
    EXPECT_NE(got.find("id: 1\ndata: good"), std::string::npos) << got;
}

// Guards against an invalid answer with the id of another request that is skipped as a late copy:
// the connection does not carry HTTP any more.
TEST_P(InvalidStatusFixture, serve_idOfOtherRequest_lost)
{
    addEndpoints("z", "", "bad");
    const std::string got = call(request("POST", "/order/1", Close));
    EXPECT_EQ(statusOf(got), 502U) << got;
    EXPECT_EQ(*m_calls, 1);
}

// Guards against notices, limits and load that are taken from an invalid head.
TEST_P(InvalidStatusFixture, serve_noticesInHead_notApplied)
{
    int leavingCount = 0;
    m_relay.onLeaving = [&] { ++leavingCount; };
    addEndpoints("a1", "Server-Leaving: 1\r\nServer-Limit: 0.5\r\nServer-Load: 9,9,4\r\n", "");
    EXPECT_EQ(statusOf(call(request("POST", "/order/1", Close))), 502U);
    onEntry([&] {
        EXPECT_EQ(leavingCount, 0);
        for (const routing::ListedEndpoint &listed : m_listed) {
            const auto now = domain::TimePoint::clock::now();
            EXPECT_LT(m_dispatcher.load(listed.id).occupancy(now), 1);
            EXPECT_FALSE(m_dispatcher.limits().perSecond(listed));
        }
    });
}

} // namespace oriolerill::relay
