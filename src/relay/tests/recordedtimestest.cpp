#include "relay/tests/relayfixture.h"

#include <algorithm>
#include <future>
#include <optional>
#include <sstream>

#include <poll.h>

namespace oriolerill::relay {

using namespace std::chrono_literals;
using Socket = ScriptedEndpoint::Socket;
using domain::TimePoint;
using routing::WeightsRequirementOptions;

namespace {

std::int64_t milliseconds(domain::Duration duration)
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(duration).count();
}

/// Waits until the peer closes the connection; none if it has not by then.
std::optional<TimePoint> waitForClose(Socket &socket, TimePoint until)
{
    constexpr domain::Duration MaxWait = 1s;
    for (;;) {
        const TimePoint now = TimePoint::clock::now();
        if (now >= until)
            return std::nullopt;
        const auto wait
                = std::chrono::ceil<std::chrono::milliseconds>(std::min(until - now, MaxWait));
        pollfd readable{socket.native_handle(), POLLIN, 0};
        if (::poll(&readable, 1, static_cast<int>(wait.count())) <= 0)
            continue;
        char bytes[256];
        boost::system::error_code code;
        socket.read_some(boost::asio::buffer(bytes), code);
        if (code)
            return TimePoint::clock::now();
    }
}

} // namespace

/// Engines that serve version 2 of the weights after version 3 was named, with the times of a
/// recorded violation of the version bound (docs/incidents/2026-12-05-version-short.md).
class RecordedTimesFixture : public RelayFixture
{
protected:
    /// From the acknowledgement of version 3 to the arrival of the request at its entry.
    static constexpr auto RecordedArrival = 5936ms;
    /// From the acknowledgement to the end of the first engine's connection, without an answer.
    /// Recorded at 6861 ms; earlier here, so that no second engine is tried beside it before.
    static constexpr auto FirstEnd = 6761ms;
    /// From the acknowledgement to the violation.
    static constexpr auto RecordedBegin = 8025ms;
    /// From the arrival of the request at the engine that violated the bound until it began.
    static constexpr auto RecordedQueueTime = 1139ms;
    /// Time budget of the recorded kind of request.
    static constexpr auto TimeBudget = 6000ms;
    static constexpr TimePoint Never = TimePoint::max();

    /// What an engine observed of a request.
    struct QueuedRequest
    {
        TimePoint arrivedAt;
        std::optional<TimePoint> closedAt;
        std::optional<TimePoint> begunAt;
    };

    RecordedTimesFixture()
        : m_namedAt(TimePoint::clock::now() - RecordedArrival)
    {
        m_routeTimeout = TimeBudget;
    }

    routing::ServiceSpec service() const override
    {
        routing::ServiceSpec service = RelayFixture::service();
        service.models = {model()};
        service.engine = routing::EngineSpeed{16, 6.73, 0.0219, 30.6, 964, 119};
        return service;
    }

    static domain::ModelId model() { return domain::ModelId("m"); }

    TimePoint boundAt() const { return m_namedAt + WeightsRequirementOptions().bound; }

    /// Adds two engines with version 2. Requests leave their queues at the given times, in the
    /// order of their arrival.
    void addEngines(std::vector<TimePoint> beginTimes)
    {
        m_beginTimes = std::move(beginTimes);
        const auto script = [this](Socket &socket, const std::string &request) {
            return queueRequest(
                    socket, std::chrono::milliseconds(std::stoll(fieldOf(request, "Deadline-Ms"))));
        };
        for (int i = 0; i < 2; ++i) {
            addEndpoint(script);
            m_listed.back().weights[model()] = 2;
        }
    }

    /// The entry receives the naming this long after its acknowledgement.
    void nameVersion(domain::Duration delay)
    {
        m_dispatcher.weights().onNamed(model(), 3, false, m_namedAt + delay);
    }

    /// Another process publishes the true naming time.
    void publishNamingTime() { m_dispatcher.weights().onNamingTime(model(), 3, m_namedAt); }

    void callModel(const std::string &path = "/stream/1")
    {
        const TimePoint sentAt = TimePoint::clock::now();
        m_answer = call(request("POST", path,
                "Model: m\r\nToken-Usage: 607,12\r\nDeadline-Ms: "
                        + std::to_string(milliseconds(TimeBudget)) + "\r\n" + Close));
        m_answeredAfter = TimePoint::clock::now() - sentAt;
    }

    /// The operators' rule, as seen at the engines; and what the caller gets.
    void expectBoundKept()
    {
        constexpr auto Slack = 300ms;
        std::this_thread::sleep_until(m_namedAt + RecordedBegin + Slack);
        const std::scoped_lock lock(m_mutex);
        const std::string observed = describe();
        RecordProperty("observed", observed);
        ASSERT_FALSE(m_requests.empty()) << "no engine received the request; " << observed;
        bool hasBegun = false;
        for (const QueuedRequest &request : m_requests) {
            hasBegun = hasBegun || request.begunAt;
            EXPECT_TRUE(!request.begunAt || *request.begunAt <= boundAt()) << observed;
        }
        EXPECT_NE(statusOf(m_answer), 0U) << observed;
        EXPECT_LT(m_answeredAfter, TimeBudget / 2) << observed;
        EXPECT_FALSE(hasBegun && statusOf(m_answer) == 503) << observed;
    }

    TimePoint m_namedAt;
    /// The engine that receives the request first closes its connection.
    TimePoint m_firstEndsAt = Never;
    /// Engines begin requests whose connections were closed.
    bool m_isCloseIgnored = false;

private:
    /// An engine refuses a request whose time budget passes in its queue.
    bool queueRequest(Socket &socket, std::chrono::milliseconds budget)
    {
        const TimePoint refusesAt = TimePoint::clock::now() + budget;
        std::size_t position = 0;
        TimePoint beginAt = Never;
        {
            const std::scoped_lock lock(m_mutex);
            position = m_requests.size();
            if (position < m_beginTimes.size())
                beginAt = m_beginTimes[position];
            m_requests.push_back({TimePoint::clock::now(), std::nullopt, std::nullopt});
        }
        const TimePoint endsAt = position == 0 ? m_firstEndsAt : Never;
        const std::optional<TimePoint> closedAt
                = waitForClose(socket, std::min({beginAt, endsAt, refusesAt}));
        {
            const std::scoped_lock lock(m_mutex);
            m_requests[position].closedAt = closedAt;
        }
        const bool hasEnded = !closedAt && endsAt < beginAt;
        if (hasEnded || (closedAt && (!m_isCloseIgnored || beginAt == Never)))
            return false;
        if (refusesAt < beginAt) {
            write(socket, answer("a1", "", "503 Service Unavailable", "Not-Executed: 1\r\n"));
            return false;
        }
        std::this_thread::sleep_until(beginAt);
        {
            const std::scoped_lock lock(m_mutex);
            m_requests[position].begunAt = TimePoint::clock::now();
        }
        write(socket,
                "HTTP/1.1 200 OK\r\nAttempt-Id: a1\r\nServer-Signature: s\r\n"
                "Content-Type: text/event-stream\r\nConnection: close\r\n\r\n"
                "id: 1\ndata: x\n\n");
        return false;
    }

    std::string describe() const
    {
        std::ostringstream text;
        text << "ms relative to the bound:";
        const auto add = [&](const char *name, const std::optional<TimePoint> &time) {
            text << ' ' << name << ' ';
            if (time)
                text << milliseconds(*time - boundAt());
            else
                text << "never";
        };
        for (std::size_t i = 0; i < m_requests.size(); ++i) {
            text << (i == 0 ? " request " : "; request ") << i + 1;
            add("arrived", m_requests[i].arrivedAt);
            add("closed", m_requests[i].closedAt);
            add("begun", m_requests[i].begunAt);
        }
        text << "; answer " << statusOf(m_answer) << " after " << milliseconds(m_answeredAfter)
             << " ms";
        return text.str();
    }

    std::mutex m_mutex;
    std::vector<TimePoint> m_beginTimes;
    std::vector<QueuedRequest> m_requests;
    std::string m_answer;
    domain::Duration m_answeredAfter{};
};

// Guards against a request that is sent to a second engine with an older version, 0.9 s after the
// first one, and begins there 25 ms after the version bound.
TEST_F(RecordedTimesFixture, serve_namingReceivedAtOnce_notBegunAfterVersionBound)
{
    addEngines({m_namedAt + RecordedBegin, m_namedAt + RecordedBegin});
    nameVersion(0ms);
    start();
    callModel();
    expectBoundKept();
}

// Guards against a withdrawal margin that is shorter than the delay with which an entry may receive
// a naming: 400 ms, an interval between the updates of its publisher. The request goes to one
// engine only and is not given up before.
TEST_F(RecordedTimesFixture, serve_namingReceivedOneUpdateLate_notBegunAfterVersionBound)
{
    addEngines({m_namedAt + RecordedBegin, m_namedAt + RecordedBegin});
    nameVersion(400ms);
    start();
    callModel("/order/1");
    expectBoundKept();
}

// Guards against a bound that an entry counts from its own, late receipt of the naming: it tries a
// second engine beside the silent one, 0.9 s after the first.
TEST_F(RecordedTimesFixture, serve_namingReceivedLate_notBegunAfterVersionBound)
{
    addEngines({Never, m_namedAt + RecordedBegin});
    nameVersion(650ms);
    start();
    callModel();
    expectBoundKept();
}

// Guards against the same bound counted late where the first engine ends the connection: the entry
// sends the request to the second one and closes that connection after the true bound.
TEST_F(RecordedTimesFixture, serve_namingReceivedLateAndFirstEngineEnds_notBegunAfterVersionBound)
{
    addEngines({Never, m_namedAt + RecordedBegin});
    m_firstEndsAt = m_namedAt + FirstEnd;
    nameVersion(650ms);
    start();
    callModel();
    expectBoundKept();
}

// Guards against the same bound counted late for a request that goes to one engine only and is not
// given up after 1.9 s.
TEST_F(RecordedTimesFixture, serve_namingReceivedLateAndRequestNotRepeatable_notBegunAfterBound)
{
    addEngines({m_namedAt + RecordedBegin, m_namedAt + RecordedBegin});
    nameVersion(650ms);
    start();
    callModel("/order/1");
    expectBoundKept();
}

// Guards against an entry that ignores an earlier naming time published by another process.
TEST_F(RecordedTimesFixture, serve_namingReceivedLateAndTimePublished_notBegunAfterVersionBound)
{
    addEngines({Never, m_namedAt + RecordedBegin});
    m_firstEndsAt = m_namedAt + FirstEnd;
    nameVersion(650ms);
    publishNamingTime();
    start();
    callModel();
    expectBoundKept();
}

// Guards against a naming time that does not apply to requests which are queued already: it arrives
// after the request was sent to the second engine.
TEST_F(RecordedTimesFixture,
        serve_namingTimePublishedWhileRequestIsQueued_notBegunAfterVersionBound)
{
    addEngines({Never, m_namedAt + RecordedBegin});
    m_firstEndsAt = m_namedAt + FirstEnd;
    nameVersion(650ms);
    start();
    auto caller = std::async(std::launch::async, [this] { callModel(); });
    std::this_thread::sleep_until(m_namedAt + 7200ms);
    boost::asio::post(m_context, [this] { publishNamingTime(); });
    caller.get();
    expectBoundKept();
}

// Guards against a margin that is shorter than the recorded time in an engine's queue: the request
// begins that long after the last moment at which the entry sends it, and closing its connection
// has no effect.
TEST_F(RecordedTimesFixture, serve_engineIgnoresCloseAndQueueIsAsRecorded_notBegunAfterVersionBound)
{
    m_isCloseIgnored = true;
    const WeightsRequirementOptions options;
    constexpr auto BeforeMargin = 300ms;
    const TimePoint lastSend = TimePoint::clock::now() + BeforeMargin;
    m_namedAt = lastSend - (options.bound - options.margin);
    addEngines({lastSend + RecordedQueueTime, lastSend + RecordedQueueTime});
    nameVersion(0ms);
    start();
    callModel();
    expectBoundKept();
}

// Guards against requests whose cancellation depends on the engine: it ignores the closed
// connection and begins the request when its queue, longer than the margin, is worked off.
TEST_F(RecordedTimesFixture, serve_engineIgnoresCloseAndQueueIsLonger_notBegunAfterVersionBound)
{
    m_isCloseIgnored = true;
    addEngines({m_namedAt + RecordedBegin, m_namedAt + RecordedBegin});
    nameVersion(0ms);
    start();
    callModel();
    expectBoundKept();
}

} // namespace oriolerill::relay
