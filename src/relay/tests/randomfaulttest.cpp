#include "relay/tests/relayfixture.h"

#include <map>
#include <random>

namespace oriolerill::relay {

using Socket = ScriptedEndpoint::Socket;

/// Requests to endpoints with random faults, within and outside the protocol. The answers are
/// checked against the requests that the endpoints ran.
class RandomFaultFixture : public RelayFixture, public testing::WithParamInterface<std::uint64_t>
{
protected:
    static constexpr int Endpoints = 3;
    static constexpr int Callers = 4;
    static constexpr int RequestsPerCaller = 60;

    void recordRun(const std::string &id)
    {
        const std::scoped_lock lock(m_runsMutex);
        ++m_runs[id];
    }
    int runCount(const std::string &id)
    {
        const std::scoped_lock lock(m_runsMutex);
        return m_runs[id];
    }

    /// Answers with a randomly drawn behaviour; false closes the connection.
    bool answerAtRandom(Socket &socket, const std::string &request, std::mt19937_64 &random)
    {
        const std::string id = fieldOf(request, "Attempt-Id");
        const std::string good = answer(id, "ok-" + id);
        switch (random() % 12) {
        case 0:
            write(socket, answer(id, "full", "503 Service Unavailable", "Not-Executed: 1\r\n"));
            return true;
        case 1:
            write(socket, answer(id, "other", "421 Misdirected Request", "Not-Executed: 1\r\n"));
            return true;
        case 2:
            return false;
        case 3:
            recordRun(id);
            return false;
        case 4:
            recordRun(id);
            write(socket, good.substr(0, good.size() - 2));
            return false;
        case 5:
            // The status says that the request has not run, although it has.
            recordRun(id);
            write(socket, answer(id, "busy", "503 Service Unavailable"));
            return true;
        case 6:
            recordRun(id);
            write(socket, answer(id, "error", "500 Internal Server Error"));
            return true;
        case 7:
            recordRun(id);
            write(socket, answer("another", "ok-another") + good);
            return true;
        case 8:
            recordRun(id);
            write(socket, good + answer(id, "ok-" + id));
            return true;
        default:
            recordRun(id);
            write(socket, good);
            return true;
        }
    }

    void checkAnswer(const std::string &id, bool isNonIdempotent, const std::string &got)
    {
        const int runs = runCount(id);
        const unsigned status = statusOf(got);
        const bool statesNotRun = status == 408 || status == 421 || status == 429 || status == 503;
        EXPECT_LE(runs, isNonIdempotent ? 1 : 2) << id;
        if (statesNotRun)
            EXPECT_EQ(runs, 0) << id << " was refused with " << status;
        if (status == 200) {
            EXPECT_GE(runs, 1) << id;
            EXPECT_EQ(got.substr(got.size() - 3 - id.size()), "ok-" + id) << got;
        }
    }

    std::mutex m_runsMutex;
    std::map<std::string, int> m_runs;
};

INSTANTIATE_TEST_SUITE_P(Seeds, RandomFaultFixture, testing::Range<std::uint64_t>(1, 6));

// Guards against a non-idempotent request that runs twice, a false statement that a request has not
// run, an answer that is not the endpoint's complete answer to that request, and more attempts than
// the route allows.
TEST_P(RandomFaultFixture, serve_randomEndpointFaults_guaranteesHold)
{
    for (int e = 0; e < Endpoints; ++e) {
        const auto random = std::make_shared<std::mt19937_64>(GetParam() * 100 + e);
        const auto mutex = std::make_shared<std::mutex>();
        addEndpoint([this, random, mutex](Socket &socket, const std::string &request) {
            std::mt19937_64 own;
            {
                const std::scoped_lock lock(*mutex);
                own.seed((*random)());
            }
            return answerAtRandom(socket, request, own);
        });
    }
    start();
    std::vector<std::thread> callers;
    callers.reserve(Callers);
    for (int c = 0; c < Callers; ++c) {
        callers.emplace_back([this, c] {
            for (int i = 0; i < RequestsPerCaller; ++i) {
                const std::string id = "c" + std::to_string(c) + "r" + std::to_string(i);
                const bool isNonIdempotent = i % 2 == 0;
                const std::string got
                        = call("POST " + std::string(isNonIdempotent ? "/order/1" : "/read/1")
                                + " HTTP/1.1\r\nHost: h.example\r\nKey: secret\r\nAttempt-Id: " + id
                                + "\r\nContent-Length: 4\r\nConnection: close\r\n\r\nbody");
                checkAnswer(id, isNonIdempotent, got);
            }
        });
    }
    for (std::thread &caller : callers)
        caller.join();
    // No request may run again after its answer.
    for (const auto &[id, runs] : m_runs)
        EXPECT_LE(runs, 2) << id;
}

} // namespace oriolerill::relay
