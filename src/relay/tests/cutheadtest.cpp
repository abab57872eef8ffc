#include "relay/tests/relayfixture.h"

namespace oriolerill::relay {

using namespace std::chrono_literals;
using Socket = ScriptedEndpoint::Socket;

namespace {

struct CutAnswer
{
    const char *name;
    const char *head;
    const char *body;
    /// The head has a length or chunks; without them the end of the connection completes the body.
    bool hasFraming = true;
    bool isEventStream = false;
};

constexpr CutAnswer CutAnswers[] = {
        {"Length",
                "HTTP/1.1 200 OK\r\nAttempt-Id: a1\r\nServer-Signature: s\r\n"
                "Content-Length: 4\r\n\r\n",
                "good"},
        {"NoLength", "HTTP/1.1 200 OK\r\nAttempt-Id: a1\r\nServer-Signature: s\r\n\r\n", "good",
                false},
        {"Chunked",
                "HTTP/1.1 200 OK\r\nAttempt-Id: a1\r\nServer-Signature: s\r\n"
                "Transfer-Encoding: chunked\r\n\r\n",
                "4\r\ngood\r\n0\r\n\r\n"},
        {"Stream",
                "HTTP/1.1 200 OK\r\nAttempt-Id: a1\r\nServer-Signature: s\r\n"
                "Content-Type: text/event-stream\r\n\r\n",
                "id: 1\ndata: good\n\n", false, true},
        {"ChunkedStream",
                "HTTP/1.1 200 OK\r\nAttempt-Id: a1\r\nServer-Signature: s\r\n"
                "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n",
                "12\r\nid: 1\ndata: good\n\n\r\n0\r\n\r\n", true, true},
        {"Interim",
                "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early Hints\r\nLink: </x>\r\n\r\n"
                "HTTP/1.1 200 OK\r\nAttempt-Id: a1\r\nServer-Signature: s\r\n"
                "Content-Length: 4\r\n\r\n",
                "good"},
};

std::ostream &operator<<(std::ostream &stream, const CutAnswer &value)
{
    return stream << value.name;
}

} // namespace

/// Endpoints that cut an answer within its head. The last segment of the request path is the number
/// of bytes that they send.
class CutHeadFixture : public RelayFixture,
                       public testing::WithParamInterface<std::tuple<CutAnswer, bool, std::string>>
{
protected:
    void SetUp() override
    {
        const auto &[answer, isReset, route] = GetParam();
        for (int i = 0; i < 2; ++i) {
            addEndpoint([answer = answer, isReset = isReset](
                                Socket &socket, const std::string &request) {
                const std::string completeAnswer = std::string(answer.head) + answer.body;
                const std::size_t from = request.find('/', request.find('/') + 1) + 1;
                write(socket, completeAnswer.substr(0, std::stoul(request.substr(from))));
                if (isReset) {
                    socket.set_option(boost::asio::socket_base::linger(true, 0));
                    // The socket's destructor would reset the option.
                    socket.close();
                }
                return false;
            });
        }
        start();
    }

    std::size_t requestCount() const
    {
        std::size_t count = 0;
        for (const auto &endpoint : m_endpoints)
            count += endpoint->requests().size();
        return count;
    }

    /// Repeats the request until an endpoint receives it, and returns the answer to that one.
    /// Refusals before it are allowed: the entry leaves out an endpoint for a while after a
    /// failure.
    std::string callUntilSent(const std::string &path)
    {
        constexpr int MaxCalls = 100;
        for (int i = 0; i < MaxCalls; ++i) {
            const std::size_t before = requestCount();
            std::string got = call(request("POST", path, Close));
            if (requestCount() > before)
                return got;
            EXPECT_EQ(statusOf(got), 503U) << got;
            std::this_thread::sleep_for(10ms);
        }
        ADD_FAILURE() << "no endpoint received a request";
        return "";
    }
};

INSTANTIATE_TEST_SUITE_P(CutHeads, CutHeadFixture,
        testing::Combine(testing::ValuesIn(CutAnswers), testing::Bool(),
                testing::Values("/read/", "/order/", "/stream/")),
        [](const auto &test) {
            const std::string &route = std::get<2>(test.param);
            return std::string(std::get<0>(test.param).name)
                    + (std::get<1>(test.param) ? "Reset" : "Closed")
                    + route.substr(1, route.size() - 2);
        });

// Guards against an answer cut in or directly after its head that reaches the caller as a complete
// success with an empty or short body, or as a statement that the request has not run.
TEST_P(CutHeadFixture, serve_headCutAtEveryByte_neitherSuccessNorNotRun)
{
    const auto &[answer, isReset, route] = GetParam();
    const std::size_t headSize = std::string(answer.head).size();
    for (std::size_t cut = 0; cut <= headSize; ++cut) {
        const bool isComplete
                = cut == headSize && !answer.hasFraming && !isReset && !answer.isEventStream;
        const std::string got = callUntilSent(route + std::to_string(cut));
        // Such an answer is complete by its framing, with an empty body.
        EXPECT_EQ(statusOf(got), isComplete ? 200U : 502U) << "cut at " << cut << '\n' << got;
    }
}

} // namespace oriolerill::relay
