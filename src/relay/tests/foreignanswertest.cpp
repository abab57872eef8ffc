#include "relay/tests/relayfixture.h"

#include <cstdio>

namespace oriolerill::relay {

using namespace std::chrono_literals;
using Socket = ScriptedEndpoint::Socket;

namespace {

/// When the copy of an earlier refusal is sent.
enum class CopyTime {
    /// In one packet with the previous answer.
    WithPreviousAnswer,
    WhileIdle,
    /// After the next request has arrived, some time before its answer.
    BeforeAnswer,
    /// In one packet with the next answer.
    WithAnswer,
};

struct CopyCase
{
    const char *name;
    CopyTime time;
    /// "{id}" stands for the Attempt-Id of the previous request.
    const char *copy;
    /// The copy is complete and keeps the connection open, so that the request's own answer after
    /// it can be read.
    bool isSkippable = true;
};

constexpr const char *Refusal503
        = "HTTP/1.1 503 Service Unavailable\r\nAttempt-Id: {id}\r\nServer-Signature: s\r\n"
          "Not-Executed: 1\r\nContent-Length: 4\r\n\r\nfull";
constexpr const char *Refusal503Twice
        = "HTTP/1.1 503 Service Unavailable\r\nAttempt-Id: {id}\r\nNot-Executed: 1\r\n"
          "Content-Length: 4\r\n\r\nfull"
          "HTTP/1.1 503 Service Unavailable\r\nAttempt-Id: {id}\r\nNot-Executed: 1\r\n"
          "Content-Length: 4\r\n\r\nfull";
constexpr const char *Refusal503WithoutId
        = "HTTP/1.1 503 Service Unavailable\r\nNot-Executed: 1\r\nContent-Length: 4\r\n\r\nfull";
constexpr const char *Refusal503Closing
        = "HTTP/1.1 503 Service Unavailable\r\nAttempt-Id: {id}\r\nNot-Executed: 1\r\n"
          "Connection: close\r\nContent-Length: 4\r\n\r\nfull";
constexpr const char *Refusal503Unstated
        = "HTTP/1.1 503 Service Unavailable\r\nAttempt-Id: {id}\r\nContent-Length: 4\r\n\r\nfull";
constexpr const char *Refusal421
        = "HTTP/1.1 421 Misdirected Request\r\nAttempt-Id: {id}\r\nContent-Length: 0\r\n\r\n";
constexpr const char *Refusal421WithoutId
        = "HTTP/1.1 421 Misdirected Request\r\nContent-Length: 0\r\n\r\n";
constexpr const char *Refusal429
        = "HTTP/1.1 429 Too Many Requests\r\nAttempt-Id: {id}\r\nNot-Executed: 1\r\n"
          "Transfer-Encoding: chunked\r\n\r\n4\r\nfull\r\n0\r\n\r\n";
constexpr const char *CutInBody
        = "HTTP/1.1 503 Service Unavailable\r\nAttempt-Id: {id}\r\nNot-Executed: 1\r\n"
          "Content-Length: 400\r\n\r\nfu";
constexpr const char *CutInBodyWithoutId
        = "HTTP/1.1 503 Service Unavailable\r\nNot-Executed: 1\r\nContent-Length: 400\r\n\r\nfu";
constexpr const char *CutAfterId
        = "HTTP/1.1 503 Service Unavailable\r\nAttempt-Id: {id}\r\nNot-Executed: 1\r\nRetry-Af";
constexpr const char *CutInValue
        = "HTTP/1.1 503 Service Unavailable\r\nNot-Executed: 1\r\nContent-Type: text/pl";
constexpr const char *CutInReason = "HTTP/1.1 421 Misdir";

constexpr CopyCase Cases[] = {
        {"InOnePacketWithPrevious", CopyTime::WithPreviousAnswer, Refusal503},
        {"WhileIdle", CopyTime::WhileIdle, Refusal503},
        {"BeforeAnswer", CopyTime::BeforeAnswer, Refusal503},
        {"InOnePacketWithAnswer", CopyTime::WithAnswer, Refusal503},
        {"TwiceBeforeAnswer", CopyTime::BeforeAnswer, Refusal503Twice},
        {"TwiceWhileIdle", CopyTime::WhileIdle, Refusal503Twice},
        {"WithoutIdWithPrevious", CopyTime::WithPreviousAnswer, Refusal503WithoutId},
        {"WithoutIdWhileIdle", CopyTime::WhileIdle, Refusal503WithoutId},
        {"WithoutIdBeforeAnswer", CopyTime::BeforeAnswer, Refusal503WithoutId},
        {"ClosingBeforeAnswer", CopyTime::BeforeAnswer, Refusal503Closing, false},
        {"ClosingWhileIdle", CopyTime::WhileIdle, Refusal503Closing},
        {"UnstatedBeforeAnswer", CopyTime::BeforeAnswer, Refusal503Unstated},
        {"Status421BeforeAnswer", CopyTime::BeforeAnswer, Refusal421},
        {"Status421WithoutIdWithAnswer", CopyTime::WithAnswer, Refusal421WithoutId},
        {"Status429BeforeAnswer", CopyTime::BeforeAnswer, Refusal429},
        {"CutInBodyWithAnswer", CopyTime::WithAnswer, CutInBody, false},
        {"CutInBodyWithoutIdWithAnswer", CopyTime::WithAnswer, CutInBodyWithoutId, false},
        {"CutInBodyWhileIdle", CopyTime::WhileIdle, CutInBody},
        {"CutAfterIdWithAnswer", CopyTime::WithAnswer, CutAfterId, false},
        {"CutInValueWithAnswer", CopyTime::WithAnswer, CutInValue, false},
        {"CutInValueBeforeAnswer", CopyTime::BeforeAnswer, CutInValue, false},
        {"CutInReasonWithAnswer", CopyTime::WithAnswer, CutInReason, false},
        {"CutInReasonBeforeAnswer", CopyTime::BeforeAnswer, CutInReason, false},
};

std::string copyWithId(std::string copy, const std::string &id)
{
    constexpr std::string_view Placeholder = "{id}";
    for (std::size_t at = 0; (at = copy.find(Placeholder, at)) != std::string::npos;
            at += id.size())
        copy.replace(at, Placeholder.size(), id);
    return copy;
}

std::ostream &operator<<(std::ostream &stream, const CopyCase &value)
{
    return stream << value.name;
}

} // namespace

/// Endpoints that run every request, and send the refusal of an earlier request a second time.
class ForeignAnswerFixture : public RelayFixture
{
protected:
    static constexpr const char *Kinds[] = {"/read/", "/stream/", "/order/"};

    /// The answer to the request itself; a stream has one event.
    static std::string ownAnswer(const std::string &got)
    {
        const std::string id = fieldOf(got, "Attempt-Id");
        if (got.find("/stream/") == std::string::npos)
            return answer(id, "own " + id);
        const std::string event = "id: 1\ndata: own " + id + "\n\n";
        char size[16];
        std::snprintf(size, sizeof size, "%zx", event.size());
        return "HTTP/1.1 200 OK\r\nAttempt-Id: " + id
                + "\r\nServer-Signature: s\r\nContent-Type: text/event-stream\r\n"
                  "Transfer-Encoding: chunked\r\n\r\n"
                + size + "\r\n" + event + "\r\n0\r\n\r\n";
    }

    void addRepeating(CopyTime time, std::string copy)
    {
        struct LastRequest
        {
            std::mutex mutex;
            std::string id;
        };
        const auto lastRequest = std::make_shared<LastRequest>();
        addEndpoint([lastRequest, time, copy = std::move(copy)](
                            Socket &socket, const std::string &got) {
            const std::string id = fieldOf(got, "Attempt-Id");
            std::string previousId;
            {
                const std::scoped_lock lock(lastRequest->mutex);
                previousId = std::exchange(lastRequest->id, id);
            }
            std::string own = ownAnswer(got);
            if (!previousId.empty() && time == CopyTime::WithAnswer)
                own.insert(0, copyWithId(copy, previousId));
            if (!previousId.empty() && time == CopyTime::BeforeAnswer) {
                write(socket, copyWithId(copy, previousId));
                std::this_thread::sleep_for(20ms);
            }
            if (time == CopyTime::WithPreviousAnswer)
                own += copyWithId(copy, id);
            write(socket, own);
            if (time == CopyTime::WhileIdle) {
                std::this_thread::sleep_for(10ms);
                write(socket, copyWithId(copy, id));
            }
            return true;
        });
    }

    static std::string requestWithId(
            const std::string &path, const std::string &id, const std::string &method = "POST")
    {
        return method + " " + path + " HTTP/1.1\r\nHost: h.example\r\nKey: secret\r\nAttempt-Id: "
                + id + "\r\nContent-Length: 0\r\n" + Close + "\r\n";
    }

    /// Number of times that endpoints received the request with this id.
    std::size_t timesSent(const std::string &id) const
    {
        std::size_t times = 0;
        for (const auto &endpoint : m_endpoints) {
            for (const std::string &got : endpoint->requests())
                times += fieldOf(got, "Attempt-Id") == id ? 1 : 0;
        }
        return times;
    }

    static bool statesNotRun(unsigned status)
    {
        return status == 408 || status == 421 || status == 429 || status == 503;
    }
};

class RepeatedRefusalFixture : public ForeignAnswerFixture,
                               public testing::WithParamInterface<CopyCase>
{};

INSTANTIATE_TEST_SUITE_P(Copies, RepeatedRefusalFixture, testing::ValuesIn(Cases),
        [](const auto &test) { return std::string(test.param.name); });

// Guards against a not-run answer to a request that an endpoint has run, and against a
// non-idempotent request that reaches a second endpoint. An earlier refusal is sent again on a
// kept-alive connection.
TEST_P(RepeatedRefusalFixture, serve_refusalSentAgain_neverUsedForNextRequest)
{
    m_routeTimeout = 400ms;
    addRepeating(GetParam().time, GetParam().copy);
    addRepeating(GetParam().time, GetParam().copy);
    start();
    int number = 0;
    int answered = 0;
    constexpr int Rounds = 5;
    for (int i = 0; i < Rounds; ++i) {
        for (const char *kind : Kinds) {
            const std::string id = kind[1] + std::to_string(++number);
            const std::string got = call(requestWithId(std::string(kind) + "1", id));
            const unsigned status = statusOf(got);
            if (GetParam().time == CopyTime::WhileIdle)
                std::this_thread::sleep_for(25ms);
            if (statesNotRun(status)) {
                EXPECT_EQ(timesSent(id), 0U) << kind << ' ' << got;
            }
            if (kind[1] == 'o') {
                EXPECT_LE(timesSent(id), 1U);
            }
            if (status == 200) {
                ++answered;
                EXPECT_EQ(fieldOf(got, "Attempt-Id"), id) << got;
                EXPECT_NE(got.find("own " + id), std::string::npos) << got;
                EXPECT_EQ(got.find("full"), std::string::npos) << got;
            }
        }
    }
    if (GetParam().isSkippable) {
        EXPECT_EQ(answered, 3 * Rounds);
    }
}

// Guards against a copy of a refusal that is used as the answer to a later request with the same
// id. The connection on which the endpoint refused the first request is kept alive.
TEST_F(ForeignAnswerFixture, serve_sameIdSentAgain_copyOfItsRefusalNotUsed)
{
    const auto runs = std::make_shared<std::atomic<int>>(0);
    const auto requests = std::make_shared<std::atomic<int>>(0);
    const auto refusingSocket = std::make_shared<std::atomic<Socket *>>(nullptr);
    const std::string refusal
            = answer("a1", "full", "503 Service Unavailable", "Not-Executed: 1\r\n");
    addEndpoint([runs, requests, refusingSocket, refusal](Socket &socket, const std::string &) {
        if ((*requests)++ == 0) {
            *refusingSocket = &socket;
            write(socket, refusal);
            return true;
        }
        ++*runs;
        write(socket, (refusingSocket->load() == &socket ? refusal : "") + answer("a1", "own"));
        return true;
    });
    start();
    EXPECT_EQ(statusOf(call(requestWithId("/order/1", "a1"))), 503U);
    EXPECT_EQ(*requests, 1) << "an endpoint received a request again that it had refused";
    // Whether the entry leaves out the endpoint after a refusal is not tested here.
    std::string got;
    for (int i = 0; i < 40 && *requests < 2; ++i) {
        got = call(requestWithId("/order/1", "a1"));
        std::this_thread::sleep_for(2ms);
    }
    ASSERT_EQ(*runs, 1);
    EXPECT_FALSE(statesNotRun(statusOf(got))) << got;
}

// Guards against a request that is sent twice to the only endpoint, which refuses it.
TEST_F(ForeignAnswerFixture, serve_onlyEndpointRefuses_requestSentToItOnce)
{
    ScriptedEndpoint &endpoint = addEndpoint([](Socket &socket, const std::string &got) {
        write(socket,
                answer(fieldOf(got, "Attempt-Id"), "full", "503 Service Unavailable",
                        "Not-Executed: 1\r\n"));
        return true;
    });
    start();
    std::size_t calls = 0;
    for (const char *kind : Kinds) {
        const std::string id = std::string("o") + kind[1];
        EXPECT_EQ(statusOf(call(requestWithId(std::string(kind) + "1", id))), 503U);
        EXPECT_LE(timesSent(id), 1U);
        ++calls;
    }
    EXPECT_LE(endpoint.requests().size(), calls);
}

// Guards against an endpoint that is left out because it sent an earlier refusal with a Retry-After
// again.
TEST_F(ForeignAnswerFixture, serve_copyRequestsBackoff_endpointStaysInUse)
{
    addRepeating(CopyTime::BeforeAnswer,
            "HTTP/1.1 503 Service Unavailable\r\nAttempt-Id: {id}\r\nNot-Executed: 1\r\n"
            "Retry-After: 1\r\nContent-Length: 0\r\n\r\n");
    start();
    for (int i = 0; i < 6; ++i) {
        const std::string id = "a" + std::to_string(i);
        EXPECT_EQ(statusOf(call(requestWithId("/order/1", id))), 200U) << "request " << i;
    }
}

// Guards against the limit and load in a copy of an earlier answer that are applied as current
// values.
TEST_F(ForeignAnswerFixture, serve_copyNamesLimitAndLoad_neitherApplied)
{
    addRepeating(CopyTime::BeforeAnswer,
            "HTTP/1.1 503 Service Unavailable\r\nAttempt-Id: {id}\r\nNot-Executed: 1\r\n"
            "Server-Limit: 0.01\r\nServer-Load: 900,900,4\r\nContent-Length: 0\r\n\r\n");
    start();
    for (int i = 0; i < 6; ++i) {
        const std::string id = "a" + std::to_string(i);
        EXPECT_EQ(statusOf(call(requestWithId("/order/1", id))), 200U) << "request " << i;
    }
}

// Guards against a refusal that is used as the answer to the next request. It follows the answer to
// a HEAD request, in the place of a body.
TEST_F(ForeignAnswerFixture, serve_refusalAfterHeadAnswer_notUsedForNextRequest)
{
    for (const auto delay : {0ms, 10ms}) {
        addEndpoint([delay](Socket &socket, const std::string &got) {
            const std::string id = fieldOf(got, "Attempt-Id");
            if (!got.starts_with("HEAD")) {
                write(socket, ownAnswer(got));
                return true;
            }
            const std::string head = "HTTP/1.1 200 OK\r\nAttempt-Id: " + id
                    + "\r\nServer-Signature: s\r\nContent-Length: 300\r\n\r\n";
            const std::string copy = copyWithId(Refusal503, "a0");
            write(socket, delay == 0ms ? head + copy : head);
            std::this_thread::sleep_for(delay);
            if (delay > 0ms)
                write(socket, copy);
            return true;
        });
    }
    start();
    for (int i = 0; i < 12; ++i) {
        const std::string id = "b" + std::to_string(i);
        EXPECT_EQ(statusOf(call(requestWithId("/read/1", "h" + id, "HEAD"))), 200U);
        const std::string got = call(requestWithId("/order/1", id));
        EXPECT_EQ(statusOf(got), 200U) << got;
        EXPECT_EQ(timesSent(id), 1U);
    }
}

// Guards against a caller that waits, and a connection that stays open, while an endpoint sends
// interim answers or answers to other requests without end.
TEST_F(ForeignAnswerFixture, serve_endlessForeignAnswers_failedAtOnce)
{
    m_routeTimeout = 4s;
    const std::vector<std::string> endless = {"HTTP/1.1 100 Continue\r\n\r\n",
            "HTTP/1.1 103 Early Hints\r\nAttempt-Id: z\r\n\r\n", copyWithId(Refusal503, "z"),
            "HTTP/1.1 200 OK\r\nAttempt-Id: z\r\nServer-Signature: s\r\nContent-Length: "
            "2\r\n\r\nok"};
    for (const std::string &text : endless) {
        addEndpoint([text](Socket &socket, const std::string &) {
            boost::system::error_code code;
            while (!code)
                boost::asio::write(socket, boost::asio::buffer(text), code);
            return false;
        });
    }
    start();
    for (int i = 0; i < 12; ++i) {
        const std::string id = "e" + std::to_string(i);
        const auto begun = std::chrono::steady_clock::now();
        const unsigned status = statusOf(call(requestWithId("/order/1", id)));
        EXPECT_LT(std::chrono::steady_clock::now() - begun, 1s);
        EXPECT_TRUE(status == 502 || (status == 503 && timesSent(id) == 0)) << status;
        EXPECT_LE(timesSent(id), 1U);
    }
}

// Guards against an idempotent request that waits until its deadline for the body of an answer to
// another request, although another endpoint can answer.
TEST_F(ForeignAnswerFixture, serve_endlessForeignBody_idempotentRequestAnsweredElsewhere)
{
    m_routeTimeout = 6s;
    const auto calls = std::make_shared<std::atomic<int>>(0);
    const auto script = [calls](Socket &socket, const std::string &got) {
        if ((*calls)++ > 0) {
            write(socket, ownAnswer(got));
            return true;
        }
        write(socket,
                "HTTP/1.1 200 OK\r\nAttempt-Id: z\r\nServer-Signature: s\r\n"
                "Transfer-Encoding: chunked\r\n\r\n");
        boost::system::error_code code;
        for (int i = 0; i < 60 && !code; ++i) {
            boost::asio::write(socket, boost::asio::buffer("1\r\nx\r\n", 6), code);
            std::this_thread::sleep_for(100ms);
        }
        return false;
    };
    addEndpoint(script);
    addEndpoint(script);
    start();
    const auto begun = std::chrono::steady_clock::now();
    EXPECT_EQ(statusOf(call(requestWithId("/read/1", "a1"))), 200U);
    EXPECT_LT(std::chrono::steady_clock::now() - begun, 3s);
}

// Guards against the loss of an endpoint's own error answer when the next endpoint sends an answer
// to another request.
TEST_F(ForeignAnswerFixture, serve_failureThenForeignAnswer_ownFailureDelivered)
{
    const auto calls = std::make_shared<std::atomic<int>>(0);
    const auto script = [calls](Socket &socket, const std::string &) {
        if ((*calls)++ == 0) {
            write(socket, answer("a1", "own failure", "500 Internal Server Error"));
            return true;
        }
        write(socket, answer("z", "foreign"));
        return false;
    };
    addEndpoint(script);
    addEndpoint(script);
    start();
    const std::string got = call(requestWithId("/read/1", "a1"));
    EXPECT_EQ(*calls, 2);
    EXPECT_EQ(statusOf(got), 500U) << got;
    EXPECT_TRUE(got.ends_with("own failure")) << got;
}

} // namespace oriolerill::relay
