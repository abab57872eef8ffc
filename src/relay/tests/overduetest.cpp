#include "relay/tests/relayfixture.h"

namespace oriolerill::relay {

// Guards against requests that an entry serves by a configuration or a list of endpoints of which
// it knows, at the end of the bound, that it lacks a change: they are refused at once, and the
// refusal is true.
TEST_F(RelayFixture, serve_copyOverdue_refusedAtOnceAndNotForwarded)
{
    ScriptedEndpoint &endpoint
            = addEndpoint([](ScriptedEndpoint::Socket &, const std::string &) { return false; });
    m_relay.isCopyOverdue = [] { return true; };
    start();
    const auto begin = domain::TimePoint::clock::now();
    const std::string answer = call(request("GET", "/read/1", Close));
    EXPECT_EQ(statusOf(answer), 503U);
    EXPECT_NE(fieldOf(answer, "Retry-After"), "");
    EXPECT_LT(domain::TimePoint::clock::now() - begin, std::chrono::milliseconds(300));
    EXPECT_TRUE(endpoint.requests().empty());
}

} // namespace oriolerill::relay
