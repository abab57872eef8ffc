#include "entry/internal/trackerservice.h"

#include <boost/asio/thread_pool.hpp>

#include <gtest/gtest.h>

#include <chrono>
#include <thread>

namespace oriolerill::entry {

using namespace std::chrono_literals;

class FixedMembership : public membership::IMembershipView
{
public:
    std::shared_ptr<const membership::MembershipSnapshot> snapshot() const override
    {
        return std::make_shared<membership::MembershipSnapshot>(members);
    }
    membership::MembershipSnapshot members;
};

class FixedConfig : public config::IConfigView
{
public:
    std::shared_ptr<const config::ConfigSnapshot> snapshot() const override
    {
        return std::make_shared<config::ConfigSnapshot>(items);
    }
    config::ConfigSnapshot items;
};

/// Delivers control messages to the tracker with the address.
class TrackerNetwork : public transport::IControlClient
{
public:
    void request(const domain::SocketAddress &peer, const protocol::ControlRequest &message,
            domain::TimePoint, Callback callback) override
    {
        trackers.at(peer)->handle(
                message, [&callback](const protocol::ControlReply &reply) { callback(reply); });
    }
    std::map<domain::SocketAddress, TrackerService *> trackers;
};

class TrackerServiceFixture : public testing::Test
{
protected:
    void SetUp() override
    {
        const domain::ServiceId service("chat");
        m_manifest = domain::Digest::of("v1");
        config::Rollout rollout;
        rollout.id = domain::RolloutId("r");
        rollout.service = service;
        rollout.manifest = m_manifest;
        m_config.items.rollouts[rollout.id] = rollout;
        for (const std::string region : {"a", "b"}) {
            const domain::DataCentreId dataCentre(region + "-1");
            membership::DataCentreSummary summary;
            summary.dataCentre = dataCentre;
            summary.region = domain::RegionId(region);
            summary.services[service] = {};
            m_membership.members.summaries[dataCentre] = summary;
            addEntry(region + "1", dataCentre, region);
        }
    }
    void TearDown() override
    {
        for (const auto &tracker : m_trackers)
            tracker->stop();
        m_pool.join();
    }

    TrackerService &addEntry(const std::string &id, const domain::DataCentreId &dataCentre,
            const std::string &region)
    {
        membership::EntryRecord entry;
        entry.id = domain::EntryId(id);
        entry.dataCentre = dataCentre;
        const auto port = static_cast<std::uint16_t>(100 + m_trackers.size());
        entry.controlAddress = {"127.0.0.1", port};
        m_membership.members.entries.push_back(entry);
        TrackerServiceOptions options;
        options.entry = entry.id;
        options.dataCentre = dataCentre;
        options.region = domain::RegionId(region);
        options.originRegion = domain::RegionId("a");
        m_trackers.push_back(std::make_unique<TrackerService>(
                m_pool.get_executor(), m_network, m_membership, m_config, options));
        m_network.trackers[entry.controlAddress] = m_trackers.back().get();
        return *m_trackers.back();
    }

    protocol::ControlReply report(
            TrackerService &tracker, const std::string &dataCentre, const std::string &have)
    {
        protocol::ControlRequest request;
        protocol::SwarmReport &report = *request.mutable_swarm_report();
        report.set_manifest_digest(m_manifest.bytes());
        report.set_chunk_count(8 * ChunkBytes);
        report.set_have(have);
        report.mutable_endpoint()->set_id("vm-" + dataCentre);
        report.mutable_endpoint()->set_data_centre(dataCentre);
        report.mutable_endpoint()->set_service("chat");
        report.mutable_endpoint()->set_request_address("vm-" + dataCentre);
        protocol::ControlReply result;
        tracker.handle(request, [&result](const protocol::ControlReply &reply) { result = reply; });
        return result;
    }

    static constexpr std::uint32_t ChunkBytes = 8;
    boost::asio::thread_pool m_pool{2};
    FixedMembership m_membership;
    FixedConfig m_config;
    TrackerNetwork m_network;
    std::vector<std::unique_ptr<TrackerService>> m_trackers;
    domain::Digest m_manifest;
};

// Guards against two trackers that plan the same links and grant switches independently.
TEST_F(TrackerServiceFixture, report_toEntryWithLowerRank_redirected)
{
    TrackerService &other = addEntry("a2", domain::DataCentreId("a-1"), "a");
    const std::string fromFirst = report(*m_trackers[0], "a-1", "").swarm_plan().redirect();
    const std::string fromOther = report(other, "a-1", "").swarm_plan().redirect();
    EXPECT_NE(fromFirst.empty(), fromOther.empty());
    EXPECT_EQ(fromFirst + fromOther, fromFirst.empty() ? "127.0.0.1:100" : "127.0.0.1:102");
    EXPECT_TRUE(report(*m_trackers[0], "b-1", "").has_error());
}

// Guards against regions that fetch all chunks from the origin instead of from each other.
TEST_F(TrackerServiceFixture, report_otherDataCentreHasAll_fetchedFromThere)
{
    report(*m_trackers[0], "a-1", std::string(ChunkBytes, '\xff'));
    report(*m_trackers[1], "b-1", "");
    m_trackers[1]->start();
    std::this_thread::sleep_for(300ms);
    const protocol::ControlReply reply = report(*m_trackers[1], "b-1", "");
    ASSERT_GT(reply.swarm_plan().fetches_size(), 0);
    for (const protocol::FetchAssignment &fetch : reply.swarm_plan().fetches())
        EXPECT_EQ(fetch.source(), "vm-a-1");
}

} // namespace oriolerill::entry
