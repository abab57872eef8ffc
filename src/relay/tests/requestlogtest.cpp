#include "observability/log.h"
#include "relay/tests/relayfixture.h"

#include <map>
#include <sstream>

namespace oriolerill::relay {

using Socket = ScriptedEndpoint::Socket;

namespace {

/// Fields of a log line; quoted values without their quotes.
std::map<std::string, std::string> fieldsOf(const std::string &line)
{
    std::map<std::string, std::string> fields;
    for (std::size_t at = 0; at < line.size();) {
        const std::size_t equals = line.find('=', at);
        if (equals == std::string::npos)
            break;
        const std::string name = line.substr(at, equals - at);
        const bool isQuoted = equals + 1 < line.size() && line[equals + 1] == '"';
        const std::size_t begin = equals + (isQuoted ? 2 : 1);
        const std::size_t end = std::min(line.find(isQuoted ? '"' : ' ', begin), line.size());
        fields[name] = line.substr(begin, end - begin);
        at = end + (isQuoted ? 2 : 1);
    }
    return fields;
}

} // namespace

/// Follows the steps of docs/OPERATIONS.md from the id of a failed request to its cause in the log.
class RequestLogFixture : public RelayFixture
{
protected:
    static void SetUpTestSuite()
    {
        // Derived fixtures call this as well; a second start would write each line twice.
        static const bool isStarted = [] {
            observability::startLogging(observability::Severity::Info, "request-log-test");
            return true;
        }();
        ASSERT_TRUE(isStarted);
    }

    /// Log lines of the request, in order.
    static std::vector<std::map<std::string, std::string>> linesOf(
            const std::string &log, const std::string &request)
    {
        std::vector<std::map<std::string, std::string>> lines;
        std::istringstream stream(log);
        for (std::string line; std::getline(stream, line);) {
            auto fields = fieldsOf(line);
            if (fields["request"] == request)
                lines.push_back(std::move(fields));
        }
        return lines;
    }
};

// Guards against a refused request whose log lines do not state why no endpoint could take it.
TEST_F(RequestLogFixture, log_refusedRequest_reasonAndCounts)
{
    start();
    testing::internal::CaptureStdout();
    EXPECT_EQ(statusOf(call(request("POST", "/order/1", Close, "o"))), 503U);
    const auto lines = linesOf(testing::internal::GetCapturedStdout(), "a1");
    ASSERT_EQ(lines.size(), 1U);
    EXPECT_EQ(lines[0].at("event"), "request_ended");
    EXPECT_EQ(lines[0].at("outcome"), "refused");
    EXPECT_EQ(lines[0].at("runs"), "0");
    EXPECT_NE(lines[0].at("detail").find("no endpoint may take"), std::string::npos);
}

// Guards against a lost answer whose log lines do not name the endpoint and the error.
TEST_F(RequestLogFixture, log_lostAnswer_endpointAndError)
{
    addEndpoint([](Socket &, const std::string &) { return false; });
    start();
    testing::internal::CaptureStdout();
    EXPECT_EQ(statusOf(call(request("POST", "/order/1", Close, "o"))), 502U);
    const auto lines = linesOf(testing::internal::GetCapturedStdout(), "a1");
    ASSERT_EQ(lines.size(), 3U);
    EXPECT_EQ(lines[0].at("event"), "attempt_ended");
    EXPECT_EQ(lines[0].at("endpoint"), "e1");
    EXPECT_EQ(lines[0].at("end"), "lost");
    EXPECT_NE(lines[0].at("detail").find("awaiting the answer"), std::string::npos);
    EXPECT_EQ(lines[1].at("event"), "no_further_attempt");
    EXPECT_EQ(lines[1].at("reason"), "attempts");
    EXPECT_EQ(lines[2].at("outcome"), "unknown");
    EXPECT_EQ(lines[2].at("runs"), "1");
}

/// An engine that holds requests in its queue, shortly before a newer version is required.
class WithdrawalLogFixture : public RequestLogFixture
{
protected:
    routing::ServiceSpec service() const override
    {
        routing::ServiceSpec service = RequestLogFixture::service();
        service.models = {domain::ModelId("m")};
        service.engine = routing::EngineSpeed{4, 6.73, 0.0219, 30.6, 964, 119};
        return service;
    }
};

// Guards against withdrawals whose log lines do not tell how late they were executed, nor what they
// changed at the engine: late withdrawals and engines that ignore them could not be distinguished.
TEST_F(WithdrawalLogFixture, log_attemptWithdrawnAtVersionBound_delayAndQueueOfEngine)
{
    m_routeTimeout = std::chrono::seconds(6);
    addEndpoint([](Socket &socket, const std::string &) {
        char byte = 0;
        boost::system::error_code code;
        socket.read_some(boost::asio::buffer(&byte, 1), code);
        return false;
    });
    m_listed.back().weights[domain::ModelId("m")] = 1;
    const routing::WeightsRequirementOptions bounds;
    // Requests are sent to the engine for 300 ms more.
    const auto namedAt = domain::TimePoint::clock::now() + std::chrono::milliseconds(300)
            + bounds.margin - bounds.bound;
    m_dispatcher.weights().onNamed(domain::ModelId("m"), 2, false, namedAt);
    start();
    testing::internal::CaptureStdout();
    const std::string answer
            = call(request("POST", "/order/1", std::string("Model: m\r\n") + Close, "o"));
    EXPECT_EQ(statusOf(answer), 502U);
    std::this_thread::sleep_for(std::chrono::milliseconds(700));
    const std::string log = testing::internal::GetCapturedStdout();
    const auto lines = linesOf(log, "a1");
    ASSERT_GE(lines.size(), 2U) << log;
    EXPECT_EQ(lines[0].at("event"), "attempt_withdrawn");
    EXPECT_GE(std::stoi(lines[0].at("delay_ms")), 0);
    EXPECT_EQ(lines[1].at("event"), "attempt_ended");
    EXPECT_GT(std::stoi(lines[1].at("begin_by_ms")), 0);
    EXPECT_NE(log.find("event=queue_after_withdrawal"), std::string::npos) << log;
}

// Guards against an answer whose log lines do not tell which endpoint's answer the caller received:
// after a failure that no further attempt replaced, the last endpoint is another one.
TEST_F(RequestLogFixture, log_failureDeliveredAfterLostAttempt_endpointOfEachAnswerAndStatus)
{
    const auto calls = std::make_shared<std::atomic<int>>(0);
    const auto script = [calls](Socket &socket, const std::string &) {
        if ((*calls)++ == 0)
            write(socket, answer("a1", "failure", "500 Internal Server Error"));
        return false;
    };
    addEndpoint(script);
    addEndpoint(script);
    start();
    testing::internal::CaptureStdout();
    EXPECT_EQ(statusOf(call(request("GET", "/read/1", Close))), 500U);
    const auto lines = linesOf(testing::internal::GetCapturedStdout(), "a1");
    ASSERT_EQ(lines.size(), 4U);
    EXPECT_EQ(lines[0].at("end"), "failed_answer");
    EXPECT_EQ(lines[0].at("status"), "500");
    EXPECT_EQ(lines[1].at("end"), "lost");
    EXPECT_EQ(lines[1].at("status"), "0");
    EXPECT_EQ(lines[2].at("event"), "no_further_attempt");
    EXPECT_EQ(lines[2].at("reason"), "attempts");
    EXPECT_EQ(lines[3].at("status"), "500");
    EXPECT_EQ(lines[3].at("answered_by"), lines[0].at("endpoint"));
    EXPECT_EQ(lines[3].at("endpoint"), lines[1].at("endpoint"));
    EXPECT_NE(lines[0].at("endpoint"), lines[1].at("endpoint"));
}

// Guards against a rejected key whose log line does not state the version of the configuration that
// was applied.
TEST_F(RequestLogFixture, log_rejectedKey_configurationVersion)
{
    start();
    testing::internal::CaptureStdout();
    EXPECT_EQ(statusOf(call("GET /read/1 HTTP/1.1\r\nHost: h.example\r\nAttempt-Id: a1\r\n"
                            "Key: unknown\r\nConnection: close\r\n\r\n")),
            401U);
    const auto lines = linesOf(testing::internal::GetCapturedStdout(), "a1");
    ASSERT_EQ(lines.size(), 1U);
    EXPECT_EQ(lines[0].at("outcome"), "rejected");
    EXPECT_EQ(lines[0].at("config"), "1");
    EXPECT_NE(lines[0].at("detail").find("key"), std::string::npos);
}

} // namespace oriolerill::relay
