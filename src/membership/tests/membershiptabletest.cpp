#include "membership/membershiptable.h"
#include "membership/homeentries.h"
#include "membership/memberinfo.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <chrono>
#include <map>

namespace oriolerill::membership {

using namespace std::chrono_literals;
using domain::TimePoint;

namespace {

EntryRecord entryRecord(int number, const std::string &dataCentre = "central-a")
{
    EntryRecord record;
    record.id = domain::EntryId(dataCentre + "-entry-" + std::to_string(number));
    record.dataCentre = domain::DataCentreId(dataCentre);
    record.region = domain::RegionId("central");
    record.incarnation = domain::Incarnation(1'764'800'000'000'000'000 + number);
    record.controlAddress = {"10.12.34." + std::to_string(number), 7400};
    record.requestAddress = {"10.12.34." + std::to_string(number), 7300};
    return record;
}

protocol::Heartbeat heartbeat(std::uint64_t incarnation, std::uint64_t sequence,
        protocol::EndpointState state = protocol::ENDPOINT_STATE_SERVING, int number = 1)
{
    EndpointRecord record;
    record.id = domain::EndpointId("books-" + std::to_string(number));
    record.dataCentre = domain::DataCentreId("central-a");
    record.service = domain::ServiceId("books");
    record.incarnation = domain::Incarnation(incarnation);
    record.sequence = sequence;
    record.state = state;
    record.requestAddress = {"10.12.35.101", 7300};
    record.controlAddress = {"10.12.35.101", 7400};
    record.limit = 4;
    protocol::Heartbeat message;
    *message.mutable_endpoint() = infoFromEndpoint(record);
    return message;
}

ListedMember listed(const std::string &id, bool isEntry, bool isLeaving)
{
    ListedMember member;
    member.id = domain::VmId(id);
    member.dataCentre = domain::DataCentreId("central-a");
    member.isEntry = isEntry;
    member.controlAddress = {"10.12.34.2", 7400};
    member.isLeaving = isLeaving;
    return member;
}

} // namespace

class MembershipTableFixture : public testing::Test
{
protected:
    protocol::EndpointState stateOf(const MembershipTable &table) const
    {
        const MembershipSnapshot snapshot = table.snapshot(m_now);
        return snapshot.endpoints.empty() ? protocol::ENDPOINT_STATE_DEAD
                                          : snapshot.endpoints.front().state;
    }
    void advance(domain::Duration duration)
    {
        for (const TimePoint end = m_now + duration; m_now < end;) {
            m_now += 100ms;
            m_table.expire(m_now);
        }
    }

    TimePoint m_now = TimePoint(1h);
    MembershipTable m_table{entryRecord(1), m_now};
};

// Guards against new requests to an endpoint that no longer sends heartbeats.
TEST_F(MembershipTableFixture, expire_unresponsiveEndpoint_suspectThenDead)
{
    m_table.onHeartbeat(heartbeat(1, 1), m_now);
    advance(1400ms);
    EXPECT_EQ(stateOf(m_table), protocol::ENDPOINT_STATE_SERVING);
    advance(200ms);
    EXPECT_EQ(stateOf(m_table), protocol::ENDPOINT_STATE_SUSPECT);
    advance(3500ms);
    EXPECT_EQ(stateOf(m_table), protocol::ENDPOINT_STATE_DEAD);
    EXPECT_TRUE(m_table.onHeartbeat(heartbeat(1, 2), m_now));
    EXPECT_EQ(stateOf(m_table), protocol::ENDPOINT_STATE_SERVING);
}

// Guards against an entry that marks every endpoint as dead after its own process was paused.
TEST_F(MembershipTableFixture, expire_afterProcessPause_timeoutsExtended)
{
    m_table.onHeartbeat(heartbeat(1, 1), m_now);
    advance(100ms);
    m_now += 30s;
    m_table.expire(m_now);
    EXPECT_EQ(stateOf(m_table), protocol::ENDPOINT_STATE_SERVING);
    advance(1600ms);
    EXPECT_EQ(stateOf(m_table), protocol::ENDPOINT_STATE_SUSPECT);
}

// Guards against delayed and repeated heartbeats that mark a dead or leaving endpoint as serving.
TEST_F(MembershipTableFixture, onHeartbeat_delayedOrRepeated_dropped)
{
    m_table.onHeartbeat(heartbeat(2, 7, protocol::ENDPOINT_STATE_LEAVING), m_now);
    EXPECT_FALSE(m_table.onHeartbeat(heartbeat(2, 6), m_now));
    EXPECT_FALSE(m_table.onHeartbeat(heartbeat(2, 7), m_now));
    EXPECT_FALSE(m_table.onHeartbeat(heartbeat(1, 900), m_now));
    EXPECT_EQ(stateOf(m_table), protocol::ENDPOINT_STATE_LEAVING);
    advance(10s);
    EXPECT_FALSE(m_table.onHeartbeat(heartbeat(2, 7), m_now));
    EXPECT_EQ(stateOf(m_table), protocol::ENDPOINT_STATE_DEAD);
    EXPECT_TRUE(m_table.onHeartbeat(heartbeat(3, 1), m_now));
    EXPECT_EQ(stateOf(m_table), protocol::ENDPOINT_STATE_SERVING);
}

// Guards against endpoints that enter and leave service while the platform's list of VMs flaps.
TEST_F(MembershipTableFixture, onVmList_flapping_leavingUntilStable)
{
    m_table.onHeartbeat(heartbeat(1, 1), m_now);
    m_table.onVmList({listed("books-1", false, true)});
    for (int i = 0; i < 6; ++i) {
        m_table.onVmList({listed("books-1", false, i % 2 == 0)});
        EXPECT_EQ(stateOf(m_table), protocol::ENDPOINT_STATE_LEAVING);
        m_table.onHeartbeat(heartbeat(1, 2 + i), m_now);
    }
    for (int i = 0; i < 3; ++i)
        m_table.onVmList({listed("books-1", false, false)});
    EXPECT_EQ(stateOf(m_table), protocol::ENDPOINT_STATE_SERVING);
}

// Guards against the platform's lagging list reviving an unresponsive VM, or marking as alive one
// from which no message was received.
TEST_F(MembershipTableFixture, onVmList_unresponsiveMembers_notRevived)
{
    m_table.onHeartbeat(heartbeat(1, 1), m_now);
    advance(10s);
    m_table.onVmList({listed("books-1", false, false), listed("entry-2", true, false)});
    EXPECT_EQ(stateOf(m_table), protocol::ENDPOINT_STATE_DEAD);
    const MembershipSnapshot snapshot = m_table.snapshot(m_now);
    ASSERT_EQ(snapshot.entries.size(), 2U);
    EXPECT_FALSE(snapshot.entries.back().isAlive);
}

// Guards against one disconnected home that permanently takes an endpoint out of service at the
// other entries.
TEST_F(MembershipTableFixture, onExchange_suspicionOfReachableEndpoint_refuted)
{
    MembershipTable other(entryRecord(2), m_now);
    const auto exchange = [&](MembershipTable &from, MembershipTable &to) {
        for (const PlannedExchange &planned : from.planExchanges(m_now)) {
            to.onExchange(planned.message, m_now);
            from.onAnswered(planned);
            from.onExchange(to.answer(planned.message), m_now);
        }
    };
    other.onExchange(m_table.introduction(), m_now);
    m_table.onExchange(other.introduction(), m_now);
    m_table.onHeartbeat(heartbeat(1, 1), m_now);
    other.onHeartbeat(heartbeat(1, 1), m_now);
    int suspicions = 0;
    for (std::uint64_t sequence = 2; sequence < 60; ++sequence) {
        m_now += 500ms;
        m_table.onHeartbeat(heartbeat(1, sequence), m_now);
        m_table.expire(m_now);
        other.expire(m_now);
        suspicions += stateOf(other) != protocol::ENDPOINT_STATE_SERVING ? 1 : 0;
        exchange(other, m_table);
        exchange(m_table, other);
        EXPECT_EQ(stateOf(other), protocol::ENDPOINT_STATE_SERVING);
        EXPECT_EQ(stateOf(m_table), protocol::ENDPOINT_STATE_SERVING);
    }
    EXPECT_LE(suspicions, 1);
}

// Guards against summaries that are rejected because the sender died and its successor had started
// earlier.
TEST_F(MembershipTableFixture, onExchange_summaryFromEarlierStartedEntry_takenOver)
{
    const auto summary = [&](int number, std::uint64_t sequence) {
        protocol::MembershipExchange message;
        const EntryRecord sender = entryRecord(number, "west-a");
        *message.mutable_sender() = infoFromEntry(sender);
        DataCentreSummary content;
        content.dataCentre = sender.dataCentre;
        content.incarnation = sender.incarnation;
        content.sequence = sequence;
        content.services[domain::ServiceId("books")].serving = static_cast<std::uint32_t>(number);
        *message.add_summaries() = messageFromSummary(content);
        return message;
    };
    const auto serving = [&] {
        return m_table.snapshot(m_now)
                .summaries.at(domain::DataCentreId("west-a"))
                .services.at(domain::ServiceId("books"))
                .serving;
    };
    m_table.onExchange(summary(9, 5), m_now);
    m_table.onExchange(summary(9, 4), m_now);
    m_table.onExchange(summary(3, 8), m_now);
    EXPECT_EQ(serving(), 9U);
    m_now += 3s;
    m_table.onExchange(summary(3, 9), m_now);
    EXPECT_EQ(serving(), 3U);
}

// Guards against homes that differ between processes or change when an unrelated entry is removed.
TEST(HomeEntries, rankHomes_entryRemoved_onlyItsEndpointsMove)
{
    std::vector<domain::EntryId> entries;
    entries.reserve(8);
    for (int i = 0; i < 8; ++i)
        entries.push_back(entryRecord(i).id);
    std::vector<domain::EntryId> remaining(entries.begin(), entries.end() - 1);
    std::reverse(remaining.begin(), remaining.end());
    std::map<domain::EntryId, int> load;
    for (int i = 0; i < 1000; ++i) {
        const domain::EndpointId endpoint("endpoint-" + std::to_string(i));
        const auto before = rankHomes(endpoint, entries);
        const auto after = rankHomes(endpoint, remaining);
        ++load[before[0]];
        ++load[before[1]];
        const bool isUnrelated = before[0] != entries.back() && before[1] != entries.back();
        EXPECT_TRUE(!isUnrelated || (before[0] == after[0] && before[1] == after[1]));
    }
    for (const auto &[id, count] : load)
        EXPECT_NEAR(count, 250, 75) << id;
}

// Guards against control traffic above 2 KB/s per node, of which configuration uses 0.8 KB/s.
TEST(ControlSchedule, planControl_sizeExpectedInTwoYears_withinBudget)
{
    const ControlScale scale{526, 36, 19};
    const ControlSchedule schedule = planControl(scale);
    EXPECT_LE(entryBytesPerSecond(scale, schedule), 1200.0);
    // Agents receive the configuration with heartbeat replies, within 5 s.
    EXPECT_LE(schedule.heartbeatInterval, 4s);
    const double agentBytes = 2.0 * HeartbeatBytes
            / std::chrono::duration<double>(schedule.heartbeatInterval).count();
    EXPECT_LE(agentBytes, 1200.0);
}

// Guards against late detection of unresponsive members in a small deployment: up to 7 endpoints
// and 2 or 3 entries in each of 3 data centres.
TEST(ControlSchedule, planControl_smallFleet_shortIntervals)
{
    EXPECT_EQ(planControl({7, 2, 3}).heartbeatInterval, 500ms);
    EXPECT_EQ(planControl({7, 3, 3}).exchangeCycle(3), 500ms);
    EXPECT_EQ(planControl({7, 3, 3}).summaryInterval, 1s);
}

// Guards against a traffic budget that is computed from sizes below those of real messages.
TEST(ControlSchedule, sizes_realMessages_notAboveAssumed)
{
    constexpr std::size_t Framing = 12;
    const TimePoint now(1h);
    MembershipTable table(entryRecord(1), now);
    protocol::ControlRequest heartbeatRequest;
    *heartbeatRequest.mutable_heartbeat() = heartbeat(1'764'800'000'000'000'000, 100'000);
    heartbeatRequest.mutable_heartbeat()->mutable_endpoint()->set_active_digest(
            std::string(32, 'd'));
    heartbeatRequest.mutable_heartbeat()->mutable_watermark()->set_revision(10'000'000);
    heartbeatRequest.mutable_heartbeat()->set_entries_hash(~0ULL);
    heartbeatRequest.set_sender("books-1");
    heartbeatRequest.set_incarnation(1'764'800'000'000'000'000);
    EXPECT_LE(heartbeatRequest.ByteSizeLong() + Framing, HeartbeatBytes);
    protocol::ControlReply reply;
    reply.mutable_heartbeat()->set_entry_incarnation(1'764'800'000'000'000'000);
    reply.mutable_heartbeat()->set_next_interval_ms(3000);
    reply.mutable_heartbeat()->set_entries_hash(~0ULL);
    reply.mutable_heartbeat()->mutable_config()->mutable_base()->set_revision(10'000'000);
    reply.mutable_heartbeat()->mutable_config()->mutable_watermark()->set_revision(10'000'001);
    EXPECT_LE(reply.ByteSizeLong() + Framing, HeartbeatReplyBytes);
    protocol::ControlRequest exchange;
    *exchange.mutable_membership() = table.introduction();
    exchange.mutable_membership()->set_entries_hash(~0ULL);
    exchange.set_sender("central-a-entry-1");
    exchange.set_incarnation(1'764'800'000'000'000'000);
    EXPECT_LE(exchange.ByteSizeLong() + Framing, ExchangeBytes);
    EXPECT_LE(infoFromEntry(entryRecord(1)).ByteSizeLong(), EntryInfoBytes);
}

} // namespace oriolerill::membership
