#include "relay/tests/relayfixture.h"
#include "relay/tests/residentbytes.h"

namespace oriolerill::relay {

using namespace std::chrono_literals;
using domain::TimePoint;
using Socket = ScriptedEndpoint::Socket;

/// Many callers at the same time, each with the largest body that the limits allow.
class RequestBodiesFixture : public RelayFixture, public testing::WithParamInterface<bool>
{
protected:
    static constexpr int Callers = 40;
    static constexpr std::size_t LargestBody = 4U << 20U;
    /// The smallest entries have 160 MB, of which they use 14 MB at rest.
    static constexpr std::size_t MaxGrowth = 96U << 20U;

    RequestBodiesFixture()
    {
        m_limits.maxBody = domain::Bytes(LargestBody);
        m_routeTimeout = 8s;
        addEndpoint(answerToWholeBody);
        m_listed.back().slots = 100;
    }

    /// The endpoint answers when all of the body has arrived and the other callers have sent
    /// theirs.
    static bool answerToWholeBody(Socket &socket, const std::string &request)
    {
        const std::size_t length = std::stoul("0" + lengthOf(request));
        std::size_t received = request.size() - (request.find("\r\n\r\n") + 4);
        boost::system::error_code code;
        std::string bytes(64U << 10U, '\0');
        while (received < length && !code)
            received += socket.read_some(boost::asio::buffer(bytes), code);
        if (length > bytes.size())
            std::this_thread::sleep_for(300ms);
        write(socket, answer("a1", "body of " + std::to_string(received)));
        return false;
    }

    static bool isChunked() { return GetParam(); }

    static std::string lengthOf(const std::string &request)
    {
        return fieldOf(request, "Content-Length");
    }

    static std::string largestRequest()
    {
        const std::string body(LargestBody, 'x');
        if (!isChunked())
            return request("POST", "/read/1", Close, body);
        return request("POST", "/read/1", std::string(Close) + "Transfer-Encoding: chunked\r\n")
                + "400000\r\n" + body + "\r\n0\r\n\r\n";
    }

    static bool isWholeAnswer(const std::string &answer)
    {
        const std::size_t end = answer.find("\r\n\r\n");
        return end != std::string::npos
                && fieldOf(answer, "Content-Length") == std::to_string(answer.size() - end - 4);
    }
};

INSTANTIATE_TEST_SUITE_P(Bodies, RequestBodiesFixture, testing::Bool(),
        [](const auto &info) { return info.param ? "Chunked" : "WithLength"; });

// Regression: the bodies of all requests together had no limit, and each was held twice. Forty
// callers with the largest body made an entry exceed its memory, and it was killed with every
// request that it had accepted.
TEST_P(RequestBodiesFixture, serve_manyLargestBodies_memoryBoundedAndEachAnswered)
{
    start();
    const std::string text = largestRequest();
    const std::size_t before = residentBytes();
    std::atomic<int> served = 0;
    std::atomic<int> refused = 0;
    std::atomic<int> ended = 0;
    std::vector<std::thread> callers;
    callers.reserve(Callers);
    for (int i = 0; i < Callers; ++i) {
        callers.emplace_back([&] {
            const std::string got = call(text);
            EXPECT_TRUE(isWholeAnswer(got)) << got;
            if (statusOf(got) == 503) {
                EXPECT_NE(fieldOf(got, "Retry-After"), "");
                EXPECT_NE(got.find("bodies"), std::string::npos) << got;
                ++refused;
            } else {
                EXPECT_EQ(statusOf(got), 200U) << got;
                EXPECT_NE(got.find("body of " + std::to_string(LargestBody)), std::string::npos);
                ++served;
            }
            ++ended;
        });
    }
    std::size_t peak = 0;
    while (ended < Callers) {
        peak = std::max(peak, residentBytes());
        std::this_thread::sleep_for(1ms);
    }
    for (std::thread &caller : callers)
        caller.join();
    EXPECT_LT(peak, before + MaxGrowth);
    EXPECT_GE(served, 4);
    EXPECT_GT(refused, 0);
    EXPECT_EQ(statusOf(call(text)), 200U);
}

// Guards against large bodies that keep out the requests of all other callers.
TEST_P(RequestBodiesFixture, serve_smallBodyBesideLargest_served)
{
    domain::ByteShare others(m_relay.requestBodies);
    ASSERT_TRUE(others.tryResize(m_relay.requestBodies->limit()));
    start();
    EXPECT_EQ(statusOf(call(largestRequest())), 503U);
    EXPECT_EQ(statusOf(call(request("POST", "/read/1", Close, std::string(4000, 'x')))), 200U);
    EXPECT_TRUE(others.tryResize(domain::Bytes(0)));
    EXPECT_EQ(statusOf(call(largestRequest())), 200U);
}

// Guards against an entry that closes the connection of a refused request while the caller is still
// sending: the reset could discard the answer.
TEST_P(RequestBodiesFixture, serve_refusedWhileSending_answerReceived)
{
    m_limits.maxBody = domain::Bytes(1000);
    start();
    const std::string got = call(largestRequest());
    EXPECT_EQ(statusOf(got), 413U) << got;
    EXPECT_TRUE(isWholeAnswer(got)) << got;
}

// Guards against bodies that stay counted after their requests, or after callers that left while
// sending: later requests would be refused although there is room.
TEST_P(RequestBodiesFixture, serve_callerLeavesWithinBody_noBytesCountedAfterwards)
{
    start();
    const std::string text = largestRequest();
    {
        auto socket = connect();
        write(socket, text.substr(0, text.size() / 2));
    }
    EXPECT_EQ(statusOf(call(text)), 200U);
    const auto end = TimePoint::clock::now() + 2s;
    while (m_relay.requestBodies->held() > domain::Bytes(0) && TimePoint::clock::now() < end)
        std::this_thread::sleep_for(5ms);
    EXPECT_EQ(m_relay.requestBodies->held(), domain::Bytes(0));
}

} // namespace oriolerill::relay
