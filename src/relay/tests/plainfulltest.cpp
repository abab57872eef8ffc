#include "relay/tests/relayfixture.h"

namespace oriolerill::relay {

using PlainFullFixture = RelayFixture;

// Guards against an entry that does not use the loads that plain endpoints state: requests that
// would be answered after the route's timeout are sent and end in a time-out.
TEST_F(PlainFullFixture, serve_endpointStatesQueueBeyondTimeout_refusedWithRetryAfter)
{
    // A hundred runs of each slot, several times the route's timeout.
    addEndpoint([](ScriptedEndpoint::Socket &socket, const std::string &) {
        write(socket, answer("a1", "good", "200 OK", "Server-Load: 4,400,4,100\r\n"));
        return true;
    });
    start();
    // The first answer states the load; the second request is the admitted probe.
    EXPECT_EQ(statusOf(call(request("POST", "/order/1", Close, "o"))), 200U);
    EXPECT_EQ(statusOf(call(request("POST", "/order/1", Close, "o"))), 200U);
    const std::string refused = call(request("POST", "/order/1", Close, "o"));
    EXPECT_EQ(statusOf(refused), 503U);
    EXPECT_NE(fieldOf(refused, "Retry-After"), "");
    EXPECT_EQ(m_endpoints.front()->requests().size(), 2U);
    EXPECT_EQ(m_metrics.counter("oriolerill_relay_refusals_total", {{"reason", "plain_full"}}), 1U);
    m_relay.updateRoutingMetrics(domain::TimePoint::clock::now());
    EXPECT_NE(
            m_metrics.exposition().find("oriolerill_routing_plain_run_seconds"), std::string::npos);
}

} // namespace oriolerill::relay
