#include "relay/tests/relayfixture.h"
#include "relay/tests/slowlink.h"

#include <atomic>
#include <future>

namespace oriolerill::relay {

using namespace std::chrono_literals;
using Socket = ScriptedEndpoint::Socket;
using domain::TimePoint;

/// Engines that still serve version 1 of the weights, shortly before version 2 is required.
class WeightsBoundFixture : public RelayFixture
{
protected:
    WeightsBoundFixture() { m_routeTimeout = 6s; }

    routing::ServiceSpec service() const override
    {
        routing::ServiceSpec service = RelayFixture::service();
        service.models = {model()};
        service.engine = routing::EngineSpeed{4, 6.73, 0.0219, 30.6, 964, 119};
        return service;
    }

    /// Engines with version 1 get new requests until 1.7 s before the bound, so for 1.3 s after the
    /// naming: long enough for a slow machine.
    static constexpr auto BoundIn = 3s;

    static domain::ModelId model() { return domain::ModelId("m"); }

    ScriptedEndpoint &addEngine(std::uint64_t version, ScriptedEndpoint::Script script)
    {
        ScriptedEndpoint &engine = addEndpoint(std::move(script));
        m_listed.back().weights[model()] = version;
        return engine;
    }

    /// Holds the request in its queue, and records when the entry closes the connection.
    ScriptedEndpoint &addBusyEngine()
    {
        return addEngine(1, [this](Socket &socket, const std::string &) {
            char byte = 0;
            boost::system::error_code code;
            socket.read_some(boost::asio::buffer(&byte, 1), code);
            m_closedAt.set_value(TimePoint::clock::now());
            return false;
        });
    }

    ScriptedEndpoint &addEngineThatAnswers(std::uint64_t version)
    {
        return addEngine(version, [](Socket &socket, const std::string &) {
            write(socket,
                    "HTTP/1.1 200 OK\r\nAttempt-Id: a1\r\nServer-Signature: s\r\n"
                    "Content-Type: text/event-stream\r\nConnection: close\r\n\r\n"
                    "id: 1\ndata: x\n\n");
            return false;
        });
    }

    /// Names version 2 so that requests may begin on version 1 for the given time.
    void nameVersionWithBoundIn(domain::Duration time)
    {
        m_boundAt = TimePoint::clock::now() + time;
        m_dispatcher.weights().onNamed(
                model(), 2, false, m_boundAt - routing::WeightsRequirementOptions().bound);
    }

    /// Time at which the entry closed the connection to the busy engine; the maximum if it has not
    /// within 10 s.
    TimePoint closedAt()
    {
        auto closed = m_closedAt.get_future();
        return closed.wait_for(10s) == std::future_status::ready ? closed.get() : TimePoint::max();
    }

    std::string callModel(const std::string &path)
    {
        return call(request("POST", path, std::string("Model: m\r\n") + Close, "o"));
    }

    std::promise<TimePoint> m_closedAt;
    TimePoint m_boundAt;
};

// Regression: requests queued at an engine began on older weights after the version bound, because
// the version was checked only when they were sent.
TEST_F(WeightsBoundFixture, serve_requestQueuedAtOlderEngine_withdrawnBeforeVersionBound)
{
    addBusyEngine();
    nameVersionWithBoundIn(BoundIn);
    start();
    const std::string answer = callModel("/order/1");
    // The request may have begun, so it is not answered as not run.
    EXPECT_EQ(statusOf(answer), 502U) << answer;
    EXPECT_LT(closedAt(), m_boundAt);
}

// Guards against streams that are cut at the version bound although they began before it.
TEST_F(WeightsBoundFixture, serve_streamBegunBeforeVersionBound_notCut)
{
    addEngine(1, [](Socket &socket, const std::string &) {
        write(socket,
                "HTTP/1.1 200 OK\r\nAttempt-Id: a1\r\nServer-Signature: s\r\n"
                "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"
                "f\r\nid: 1\ndata: x\n\n\r\n");
        for (int i = 2; i < 12; ++i) {
            std::this_thread::sleep_for(300ms);
            const std::string event = "id: " + std::to_string(i) + "\ndata: x\n\n";
            write(socket, (event.size() < 16 ? "f\r\n" : "10\r\n") + event + "\r\n");
        }
        write(socket, "0\r\n\r\n");
        return true;
    });
    nameVersionWithBoundIn(BoundIn);
    start();
    const std::string answer = callModel("/stream/1");
    EXPECT_NE(answer.find("id: 11"), std::string::npos) << answer;
    EXPECT_TRUE(answer.ends_with("0\r\n\r\n")) << answer;
}

// Guards against requests that stay queued at an engine past the version bound: they were sent
// before the entry received the version, and their latest start is not checked again.
TEST_F(WeightsBoundFixture, serve_versionNamedWhileRequestIsQueued_withdrawnBeforeVersionBound)
{
    addBusyEngine();
    start();
    auto answer = std::async(std::launch::async, [this] { return callModel("/order/1"); });
    std::this_thread::sleep_for(500ms);
    std::promise<void> named;
    boost::asio::post(m_context, [&] {
        nameVersionWithBoundIn(BoundIn);
        named.set_value();
    });
    named.get_future().get();
    EXPECT_EQ(statusOf(answer.get()), 502U);
    EXPECT_LT(closedAt(), m_boundAt);
}

// Guards against a withdrawn request that is not sent to another engine. Its prompt is long, so
// that the first-event timeout of a stream that may be repeated does not end the attempt before the
// withdrawal. The version is named once the request is sent: before that, a request that is not
// expected to begin in time would be refused.
TEST_F(WeightsBoundFixture, serve_longPromptWithdrawn_answeredByEngineWithRequiredVersion)
{
    addBusyEngine();
    start();
    auto answer = std::async(std::launch::async, [this] {
        return call(request("POST", "/stream/1",
                std::string("Model: m\r\nToken-Usage: 80000,10\r\n") + Close, "o"));
    });
    std::this_thread::sleep_for(500ms);
    boost::asio::post(m_context, [this] {
        nameVersionWithBoundIn(BoundIn);
        addEngineThatAnswers(2);
        m_dispatcher.endpoints().replaceAll(m_listed, TimePoint::clock::now());
    });
    EXPECT_EQ(statusOf(answer.get()), 200U);
    const TimePoint closed = closedAt();
    EXPECT_GT(closed, m_boundAt - routing::WeightsRequirementOptions().margin);
    EXPECT_LT(closed, m_boundAt);
}

// Regression: a request was sent to an engine at which it could only begin after the version bound,
// and waited there until the withdrawal.
TEST_F(WeightsBoundFixture, serve_startExpectedAfterVersionBound_refusedAtOnce)
{
    ScriptedEndpoint &engine = addBusyEngine();
    nameVersionWithBoundIn(BoundIn);
    start();
    const auto sentAt = TimePoint::clock::now();
    // Processing this prompt takes 2.6 s; the withdrawal is due in 2.5 s.
    const std::string answer = call(request("POST", "/stream/1",
            std::string("Model: m\r\nToken-Usage: 80000,10\r\n") + Close, "o"));
    EXPECT_EQ(statusOf(answer), 503U) << answer;
    EXPECT_LT(TimePoint::clock::now() - sentAt, 500ms);
    EXPECT_TRUE(engine.requests().empty());
}

// Regression: an engine that runs requests whose connection is closed began one after the version
// bound. Engines refuse a request whose time passes in their queue.
TEST_F(WeightsBoundFixture, serve_engineIgnoresClosedConnection_notBegunAfterVersionBound)
{
    static constexpr auto QueueTime = BoundIn + 200ms;
    std::atomic<bool> hasBegun = false;
    addEngine(1, [&hasBegun](Socket &socket, const std::string &request) {
        const auto left = std::chrono::milliseconds(std::stoll(fieldOf(request, "Deadline-Ms")));
        if (left >= QueueTime) {
            std::this_thread::sleep_for(QueueTime);
            hasBegun = true;
            return false;
        }
        std::this_thread::sleep_for(left);
        write(socket, answer("a1", "", "503 Service Unavailable", "Not-Executed: 1\r\n"));
        return false;
    });
    nameVersionWithBoundIn(BoundIn);
    start();
    const std::string answer = callModel("/order/1");
    // The engine states that it has not run the request.
    EXPECT_EQ(statusOf(answer), 503U) << answer;
    std::this_thread::sleep_until(m_boundAt + 400ms);
    EXPECT_FALSE(hasBegun);
}

// Guards against an engine that stops a request at the version bound although it may have begun:
// the time until the bound must not limit a request that may last longer.
TEST_F(WeightsBoundFixture, serve_answerMayLastBeyondVersionBound_engineGetsWholeTime)
{
    std::promise<std::string> timeGiven;
    addEngine(1, [&timeGiven](Socket &socket, const std::string &request) {
        timeGiven.set_value(fieldOf(request, "Deadline-Ms"));
        write(socket,
                "HTTP/1.1 200 OK\r\nAttempt-Id: a1\r\nServer-Signature: s\r\n"
                "Content-Type: text/event-stream\r\nConnection: close\r\n\r\n"
                "id: 1\ndata: x\n\n");
        return false;
    });
    nameVersionWithBoundIn(BoundIn);
    start();
    const std::string answer = call(request(
            "POST", "/stream/1", std::string("Model: m\r\nToken-Usage: 100,400\r\n") + Close, "o"));
    EXPECT_EQ(statusOf(answer), 200U) << answer;
    EXPECT_GT(std::stoll(timeGiven.get_future().get()), 5500);
}

// Regression: a request began on the older version 0.4 s after the version bound. A congested
// inter-region link delayed it by 2.05 s, more than the margin of the bound. The entry had closed
// the connection a second earlier, which does not recall bytes already on the link (scale-1 on
// probador-rill-large).
TEST_F(WeightsBoundFixture, serve_linkDelaysRequestsLongerThanMargin_notBegunAfterVersionBound)
{
    constexpr auto LinkDelay = 2050ms;
    std::atomic<std::int64_t> lastArrival = 0;
    const auto sinceStart = [begin = TimePoint::clock::now()] {
        return std::chrono::duration_cast<std::chrono::milliseconds>(
                TimePoint::clock::now() - begin)
                .count();
    };
    ScriptedEndpoint &engine
            = addEngine(1, [&lastArrival, sinceStart](Socket &socket, const std::string &request) {
                  if (fieldOf(request, "Attempt-Id") == "a4")
                      lastArrival = sinceStart();
                  std::this_thread::sleep_for(200ms);
                  write(socket,
                          "HTTP/1.1 200 OK\r\nAttempt-Id: " + fieldOf(request, "Attempt-Id")
                                  + "\r\nServer-Signature: s\r\nContent-Type: text/event-stream\r\n"
                                    "Transfer-Encoding: chunked\r\n\r\n"
                                    "f\r\nid: 1\ndata: x\n\n\r\n0\r\n\r\n");
                  return true;
              });
    SlowLink link(engine.address());
    m_listed.back().address = link.address();
    m_listed.back().dataCentre = domain::DataCentreId("far");
    start();
    const auto send = [this](const std::string &id) {
        std::string text = request("POST", "/stream/1", std::string("Model: m\r\n") + Close, "o");
        text.replace(text.find("Attempt-Id: a1"), 14, "Attempt-Id: " + id);
        return std::async(std::launch::async, [this, text] { return call(text); });
    };
    // Two connections that are open when the link becomes slow.
    auto first = send("a1");
    auto second = send("a2");
    ASSERT_EQ(statusOf(first.get()), 200U);
    ASSERT_EQ(statusOf(second.get()), 200U);
    link.setDelay(LinkDelay);
    // The entry gets no answer over this link before it sends the next request.
    auto unanswered = send("a3");
    ASSERT_EQ(unanswered.wait_for(1s), std::future_status::timeout);
    const auto boundIn = routing::WeightsRequirementOptions().margin + 100ms;
    const std::int64_t bound
            = sinceStart() + std::chrono::duration_cast<std::chrono::milliseconds>(boundIn).count();
    std::promise<void> named;
    boost::asio::post(m_context, [&] {
        nameVersionWithBoundIn(boundIn);
        named.set_value();
    });
    named.get_future().get();
    auto late = send("a4");
    EXPECT_NE(statusOf(late.get()), 200U);
    std::this_thread::sleep_for(LinkDelay);
    EXPECT_LE(lastArrival, bound) << engine.requests().back();
}

} // namespace oriolerill::relay
