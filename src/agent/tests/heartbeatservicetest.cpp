#include "agent/internal/heartbeatservice.h"
#include "agent/internal/heartbeatroute.h"
#include "membership/tests/fakecontrolnetwork.h"

#include <boost/asio/thread_pool.hpp>

#include <gtest/gtest.h>

#include <atomic>
#include <functional>
#include <thread>

namespace oriolerill::agent {

using namespace std::chrono_literals;
using domain::SocketAddress;
using domain::TimePoint;

namespace {

protocol::HeartbeatReply replyWithEntries(int count)
{
    protocol::HeartbeatReply reply;
    reply.set_entries_hash(5);
    for (int i = 1; i <= count; ++i) {
        protocol::EntryInfo *const entry = reply.add_entries();
        entry->set_id("entry-" + std::to_string(i));
        entry->set_control_address("127.0.0.1:" + std::to_string(i));
    }
    return reply;
}

bool eventually(const std::function<bool()> &condition)
{
    const TimePoint end = TimePoint::clock::now() + 3s;
    while (!condition() && TimePoint::clock::now() < end)
        std::this_thread::sleep_for(10ms);
    return condition();
}

} // namespace

// Guards against an endpoint that is considered dead because its home entries are unresponsive.
TEST(HeartbeatRoute, targets_homeUnresponsive_nextInRank)
{
    const TimePoint now = TimePoint(1h);
    HeartbeatRoute route(domain::EndpointId("books-1"), {{"127.0.0.1", 99}});
    EXPECT_EQ(route.targets(now), (std::vector<SocketAddress>{{"127.0.0.1", 99}}));
    route.onReply({"127.0.0.1", 99}, replyWithEntries(4));
    const std::vector<SocketAddress> homes = route.targets(now);
    ASSERT_EQ(homes.size(), 2U);
    route.onNoReply(homes[0], now);
    EXPECT_EQ(route.targets(now), homes);
    route.onNoReply(homes[0], now);
    const std::vector<SocketAddress> later = route.targets(now);
    ASSERT_EQ(later.size(), 2U);
    EXPECT_EQ(later[0], homes[1]);
    EXPECT_EQ(route.targets(now + 10s), homes);
}

// Guards against an agent that ignores the withdrawal of its data centre, and against the state
// "leaving" being reported only after the heartbeat interval.
TEST(HeartbeatService, start_withdrawalInReplyAndLeaving_appliedAndReportedAtOnce)
{
    boost::asio::thread_pool pool(2);
    membership::FakeControlNetwork network(pool.get_executor());
    std::atomic<int> state = 0;
    network.listen({"127.0.0.1", 1},
            [&](const protocol::ControlRequest &request,
                    const transport::IControlServer::Reply &reply) {
                state = request.heartbeat().endpoint().state();
                protocol::ControlReply answer;
                *answer.mutable_heartbeat() = replyWithEntries(1);
                answer.mutable_heartbeat()->set_next_interval_ms(60'000);
                protocol::ConfigItem *const item
                        = answer.mutable_heartbeat()->mutable_config()->add_items();
                item->set_kind("withdrawal");
                item->set_name("central-a");
                item->set_json("{}");
                item->mutable_version()->set_revision(3);
                reply(answer);
            });
    HeartbeatOptions options;
    options.self.id = domain::EndpointId("books-1");
    options.seeds = {{"127.0.0.1", 1}};
    HeartbeatService service(
            pool.get_executor(), network, [] { return EndpointStatus(); }, options);
    service.start();
    EXPECT_TRUE(eventually([&] {
        return service.snapshot()->isWithdrawn(domain::DataCentreId("central-a"))
                && service.entries().size() == 1;
    }));
    service.announceLeaving();
    EXPECT_TRUE(eventually([&] { return state == protocol::ENDPOINT_STATE_LEAVING; }));
    service.stop();
    pool.stop();
    pool.join();
}

} // namespace oriolerill::agent
