#include "entry/internal/configservice.h"
#include "entry/internal/membershipservice.h"
#include "membership/memberinfo.h"
#include "membership/tests/fakecontrolnetwork.h"
#include "objectstore/tests/fakeobjectstore.h"

#include <boost/asio/thread_pool.hpp>

#include <gtest/gtest.h>

#include <functional>
#include <future>
#include <thread>

namespace oriolerill::entry {

using namespace std::chrono_literals;
using domain::TimePoint;

namespace {

constexpr auto Withdrawal = "config/withdrawal/central-a";

bool eventually(const std::function<bool()> &condition, domain::Duration limit = 2s)
{
    const TimePoint end = TimePoint::clock::now() + limit;
    while (TimePoint::clock::now() < end) {
        if (condition())
            return true;
        std::this_thread::sleep_for(10ms);
    }
    return condition();
}

/// The membership and configuration services of one entry.
struct EntryUnderTest
{
    EntryUnderTest(boost::asio::thread_pool &pool, membership::FakeControlNetwork &network,
            objectstore::IObjectStore &store, const membership::EntryRecord &self,
            std::vector<domain::SocketAddress> seeds)
        : address(self.controlAddress)
        , members(pool.get_executor(), network, store, table, {self, std::move(seeds), 50ms})
        , config(pool.get_executor(), store, network, members, table,
                  {self.id, self.dataCentre, self.incarnation})
    {
        network.listen(address,
                [this](const protocol::ControlRequest &request,
                        const transport::IControlServer::Reply &reply) {
                    if (request.has_config_pull() || request.has_config_push())
                        config.handle(request, reply);
                    else
                        members.handle(request, reply);
                });
        members.start();
        config.start();
    }

    domain::SocketAddress address;
    config::SharedConfigTable table;
    MembershipService members;
    ConfigService config;
};

} // namespace

class ControlServicesFixture : public testing::Test
{
protected:
    void TearDown() override
    {
        for (const auto &entry : m_entries) {
            entry->members.stop();
            entry->config.stop();
        }
        m_pool.stop();
        m_pool.join();
    }

    EntryUnderTest &add(
            const std::string &id, std::uint16_t port, std::string dataCentre = "central-a")
    {
        membership::EntryRecord self;
        self.id = domain::EntryId(id);
        self.dataCentre = domain::DataCentreId(std::move(dataCentre));
        self.region = domain::RegionId("central");
        self.incarnation = domain::Incarnation(port);
        self.controlAddress = {"127.0.0.1", port};
        m_entries.push_back(std::make_unique<EntryUnderTest>(m_pool, m_network, m_store, self,
                std::vector{domain::SocketAddress{"127.0.0.1", 1}}));
        return *m_entries.back();
    }

    static bool isWithdrawn(const EntryUnderTest &entry)
    {
        return entry.config.snapshot()->isWithdrawn(domain::DataCentreId("central-a"));
    }
    bool isWithdrawnEverywhere(bool expected) const
    {
        return std::all_of(m_entries.begin(), m_entries.end(),
                [&](const auto &entry) { return isWithdrawn(*entry) == expected; });
    }
    bool isMembershipComplete() const
    {
        return std::all_of(m_entries.begin(), m_entries.end(), [&](const auto &entry) {
            const auto snapshot = entry->members.snapshot();
            return std::count_if(snapshot->entries.begin(), snapshot->entries.end(),
                           [](const auto &record) { return record.isAlive; })
                    == static_cast<std::ptrdiff_t>(m_entries.size());
        });
    }

    protocol::HeartbeatReply heartbeat(EntryUnderTest &entry, std::uint64_t sequence,
            protocol::EndpointState state, domain::ConfigVersion watermark = {},
            const std::string &dataCentre = "central-a")
    {
        membership::EndpointRecord record;
        record.id = domain::EndpointId("books-1");
        record.dataCentre = domain::DataCentreId(dataCentre);
        record.service = domain::ServiceId("books");
        record.incarnation = domain::Incarnation(1);
        record.sequence = sequence;
        record.state = state;
        protocol::ControlRequest request;
        *request.mutable_heartbeat()->mutable_endpoint() = membership::infoFromEndpoint(record);
        request.mutable_heartbeat()->mutable_watermark()->set_epoch(watermark.epoch);
        request.mutable_heartbeat()->mutable_watermark()->set_revision(watermark.revision);
        std::promise<protocol::HeartbeatReply> answer;
        entry.members.handle(request,
                [&](const protocol::ControlReply &reply) { answer.set_value(reply.heartbeat()); });
        return answer.get_future().get();
    }

    boost::asio::thread_pool m_pool{4};
    membership::FakeControlNetwork m_network{m_pool.get_executor()};
    objectstore::FakeObjectStore m_store;
    std::vector<std::unique_ptr<EntryUnderTest>> m_entries;
};

// Guards against an agent that starts with a seed in another data centre and keeps using entries
// there: it would have no tracker, and its endpoint would be missing in its own data centre.
TEST_F(ControlServicesFixture, heartbeat_endpointOfOtherDataCentre_receivesEntriesOfItsOwn)
{
    EntryUnderTest &seed = add("entry-1", 1);
    add("entry-2", 2, "west-a");
    ASSERT_TRUE(eventually([&] { return isMembershipComplete(); }));
    const protocol::HeartbeatReply reply
            = heartbeat(seed, 1, protocol::ENDPOINT_STATE_SERVING, {}, "west-a");
    ASSERT_EQ(reply.entries_size(), 1);
    EXPECT_EQ(reply.entries(0).id(), "entry-2");
}

// Guards against an accepted change that does not reach every entry within 2 s.
TEST_F(ControlServicesFixture, config_changeInStore_inForceInAllEntries)
{
    for (std::uint16_t port = 1; port <= 6; ++port)
        add("entry-" + std::to_string(port), port);
    ASSERT_TRUE(eventually([&] { return isMembershipComplete(); }));
    m_store.put(Withdrawal, R"({"reason":"power"})");
    EXPECT_TRUE(eventually([&] { return isWithdrawnEverywhere(true); }));
    m_store.erase(Withdrawal);
    EXPECT_TRUE(eventually([&] { return isWithdrawnEverywhere(false); }));
}

// Guards against a deletion that is never applied because the store answers the watch with 410: the
// history since the watermark is pruned.
TEST_F(ControlServicesFixture, config_watchGap_listedAgain)
{
    add("entry-1", 1);
    m_store.put(Withdrawal, R"({"reason":"power"})");
    ASSERT_TRUE(eventually([&] { return isWithdrawnEverywhere(true); }));
    m_store.isDown = true;
    std::this_thread::sleep_for(50ms);
    m_store.erase(Withdrawal);
    m_store.isHistoryPruned = true;
    m_store.isDown = false;
    EXPECT_TRUE(eventually([&] { return isWithdrawnEverywhere(false); }));
}

// Guards against an entry that loses the configuration when it restarts while the platform is down.
TEST_F(ControlServicesFixture, config_restartWithPlatformDown_copiedFromPeer)
{
    add("entry-1", 1);
    m_store.put(Withdrawal, R"({"reason":"power"})");
    ASSERT_TRUE(eventually([&] { return isWithdrawnEverywhere(true); }));
    m_store.isDown = true;
    const EntryUnderTest &restarted = add("entry-2", 2);
    EXPECT_TRUE(eventually([&] { return isWithdrawn(restarted); }));
    EXPECT_TRUE(isWithdrawnEverywhere(true));
}

// Guards against requests to a leaving endpoint from other entries after more than 2 s.
TEST_F(ControlServicesFixture, members_leavingEndpoint_leavingInAllEntries)
{
    EntryUnderTest &first = add("entry-1", 1);
    const EntryUnderTest &second = add("entry-2", 2);
    ASSERT_TRUE(eventually([&] { return isMembershipComplete(); }));
    const auto hasState = [&](protocol::EndpointState state) {
        const auto snapshot = second.members.snapshot();
        return snapshot->endpoints.size() == 1 && snapshot->endpoints.front().state == state;
    };
    heartbeat(first, 1, protocol::ENDPOINT_STATE_SERVING);
    EXPECT_TRUE(eventually([&] { return hasState(protocol::ENDPOINT_STATE_SERVING); }));
    heartbeat(first, 2, protocol::ENDPOINT_STATE_LEAVING);
    EXPECT_TRUE(eventually([&] { return hasState(protocol::ENDPOINT_STATE_LEAVING); }, 1s));
}

// Guards against an agent that does not receive the withdrawal of its data centre.
TEST_F(ControlServicesFixture, heartbeat_withdrawnDataCentre_inReply)
{
    EntryUnderTest &entry = add("entry-1", 1);
    m_store.put(Withdrawal, R"({"reason":"power"})");
    m_store.put("config/withdrawal/west-a", R"({"reason":"power"})");
    ASSERT_TRUE(eventually([&] { return entry.config.snapshot()->withdrawals.size() == 2; }));
    const auto reply = heartbeat(entry, 1, protocol::ENDPOINT_STATE_SERVING);
    ASSERT_EQ(reply.config().items_size(), 1);
    EXPECT_EQ(reply.config().items(0).name(), "central-a");
    EXPECT_EQ(reply.entries_size(), 1);
}

// Guards against data centres that never receive each other's summaries, or that treat a stale
// summary as fresh.
TEST_F(ControlServicesFixture, members_otherDataCentreCutOff_summaryNotFresh)
{
    m_store.vms = {{domain::VmId("west-1"), domain::DataCentreId("west-a"),
            domain::RegionId("west"), "entry", "127.0.0.1:1", "", false}};
    add("west-1", 1, "west-a");
    EntryUnderTest &entry = add("entry-2", 2);
    const auto isFresh = [&] {
        const auto snapshot = entry.members.snapshot();
        const auto found = snapshot->summaries.find(domain::DataCentreId("west-a"));
        return found != snapshot->summaries.end() && found->second.isFresh;
    };
    ASSERT_TRUE(eventually(isFresh, 5s));
    m_entries.front()->members.stop();
    m_network.disconnect({"127.0.0.1", 1});
    EXPECT_TRUE(eventually([&] { return !isFresh(); }, 8s));
}

} // namespace oriolerill::entry
