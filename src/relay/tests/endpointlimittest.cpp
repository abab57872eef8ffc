#include "relay/tests/relayfixture.h"

#include <algorithm>
#include <chrono>

namespace oriolerill::relay {

using namespace std::chrono_literals;
using Socket = ScriptedEndpoint::Socket;
using Clock = std::chrono::steady_clock;

/// One entry in front of an endpoint whose answers name a limit on requests per second.
class EndpointLimitFixture : public RelayFixture
{
protected:
    /// Endpoint that names the limit set by the test, or none if it is empty, and records arrival
    /// times.
    ScriptedEndpoint &addLimitedEndpoint(const std::string &value)
    {
        m_namedLimit = value;
        return addEndpoint([this](Socket &socket, const std::string &) {
            const std::scoped_lock lock(m_mutex);
            m_arrivals.push_back(Clock::now());
            const std::string field
                    = m_namedLimit.empty() ? "" : "Server-Limit: " + m_namedLimit + "\r\n";
            write(socket, answer("a1", "good", m_status, field));
            return true;
        });
    }

    void startAsOnlyEntry()
    {
        m_dispatcher.setShare({1, 0});
        start();
    }

    void setNamedLimit(const std::string &value, const std::string &status = "200 OK")
    {
        const std::scoped_lock lock(m_mutex);
        m_namedLimit = value;
        m_status = status;
    }

    /// Calls repeatedly, about 50 times per second.
    void callFor(domain::Duration time)
    {
        for (const auto end = Clock::now() + time; Clock::now() < end;) {
            call(request("POST", "/order/1", Close, "o"));
            std::this_thread::sleep_for(20ms);
        }
    }

    /// Number of requests that arrived within the given time after `from`.
    std::size_t arrivals(Clock::time_point from, domain::Duration time)
    {
        const std::scoped_lock lock(m_mutex);
        return static_cast<std::size_t>(std::count_if(m_arrivals.begin(), m_arrivals.end(),
                [&](const auto &at) { return at >= from && at < from + time; }));
    }

private:
    std::mutex m_mutex;
    std::string m_namedLimit;
    std::string m_status = "200 OK";
    std::vector<Clock::time_point> m_arrivals;
};

// Guards against an entry that ignores the limit in an endpoint's answers. From half a second after
// the first such answer, the operators' bound holds and 0.8 of the limit is used.
TEST_F(EndpointLimitFixture, serve_endpointNamesLimit_boundKeptAndLimitUsed)
{
    addLimitedEndpoint("2.0");
    startAsOnlyEntry();
    ASSERT_EQ(statusOf(call(request("POST", "/order/1", Close, "o"))), 200U);
    const auto begun = Clock::now();
    callFor(4600ms);
    // The operators' bound in 4 s: 1.5 times the limit, plus five requests.
    EXPECT_LE(arrivals(begun + 500ms, 4s), 17U);
    EXPECT_GE(arrivals(begun + 500ms, 4s), 6U);
}

// Guards against a limit that stays in force after the endpoint has stopped naming it: the next
// answer without the field ends the limit.
TEST_F(EndpointLimitFixture, serve_limitNoLongerNamed_endpointUsedAsBefore)
{
    addLimitedEndpoint("5");
    startAsOnlyEntry();
    callFor(1200ms);
    setNamedLimit("");
    callFor(400ms);
    const auto begun = Clock::now();
    callFor(1s);
    EXPECT_GE(arrivals(begun, 1s), 20U);
}

// Guards against a limit that is ended by a refusal or failure without the field: an overloaded
// endpoint may send these before it has determined its limit.
TEST_F(EndpointLimitFixture, serve_failuresWithoutLimit_limitStillHolds)
{
    addLimitedEndpoint("1");
    startAsOnlyEntry();
    ASSERT_EQ(statusOf(call(request("POST", "/order/1", Close, "o"))), 200U);
    setNamedLimit("", "500 Internal Server Error");
    const auto begun = Clock::now();
    callFor(4s);
    EXPECT_GE(arrivals(begun, 4s), 2U);
    EXPECT_LE(arrivals(begun, 4s), 11U);
}

// Guards against a Retry-After at which the caller would be refused again, while the only endpoint
// of a service is at its limit.
TEST_F(EndpointLimitFixture, serve_onlyEndpointAtItsLimit_refusedAtOnceWithValidRetryAfter)
{
    addLimitedEndpoint("0.5");
    startAsOnlyEntry();
    const auto callOrder = [this] { return call(request("POST", "/order/1", Close, "o")); };
    std::string refused;
    for (int i = 0; i < 50 && statusOf(refused) != 503; ++i)
        refused = callOrder();
    // The first refusal may come at any time between two slots, the second comes directly after a
    // slot was used; slots are 2.2 s apart.
    for (const double minSeconds : {0.0, 0.5}) {
        ASSERT_EQ(statusOf(refused), 503U);
        const double seconds = std::stod(fieldOf(refused, "Retry-After"));
        EXPECT_GT(seconds, minSeconds);
        std::this_thread::sleep_for(std::chrono::duration<double>(seconds));
        EXPECT_EQ(statusOf(callOrder()), 200U);
        refused = callOrder();
    }
}

} // namespace oriolerill::relay
