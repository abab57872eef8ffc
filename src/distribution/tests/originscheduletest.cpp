#include "distribution/originschedule.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <list>
#include <map>
#include <set>

namespace oriolerill::distribution {

using namespace std::chrono_literals;
using domain::TimePoint;

/// The schedules of thirty VMs in three data centres, in steps of 10 ms. Each VM learns at once
/// what the fleet holds; the origin answers a read after a fixed time.
class OriginScheduleFixture : public testing::Test
{
protected:
    static constexpr std::size_t Pieces = 96;
    static constexpr OriginCapacity Capacity{4.38e6 / 8, 48, 24576};

    struct Vm
    {
        PushMember member;
        FleetHoldings holdings;
        OriginSchedule schedule;
        bool isDown = false;
        /// Its requests to the origin get no answer.
        bool isCutOff = false;
        std::map<std::uint64_t, HaveMap> inFlight;
    };
    struct Read
    {
        std::size_t vm = 0;
        OriginRead read;
        TimePoint begunAt;
    };

    void SetUp() override
    {
        std::vector<PushMember> members;
        for (std::size_t i = 0; i < 30; ++i) {
            members.push_back({"10.0.0." + std::to_string(i),
                    domain::DataCentreId("dc" + std::to_string(i % 3)), 1});
        }
        m_plan = std::make_shared<OriginPlan>("m", members, Capacity);
        for (const PushMember &member : members) {
            m_vms.push_back({member, FleetHoldings(member.host),
                    OriginSchedule(member.host, member.dataCentre), false, false, {}});
            m_vms.back().holdings.expectReports(m_now);
            m_vms.back().schedule.setPlan(m_plan, m_now);
        }
        m_held[2] = HaveMap(Pieces);
    }

    void run(domain::Duration duration)
    {
        const TimePoint until = m_now + duration;
        while (m_now < until) {
            m_now += 10ms;
            for (auto read = m_reads.begin(); read != m_reads.end();) {
                const auto end = result(*read);
                const Read ended = *read;
                read = end ? m_reads.erase(read) : std::next(read);
                if (end)
                    finish(ended, *end);
            }
            for (std::size_t i = 0; i < m_vms.size(); ++i)
                begin(i);
        }
    }

    std::optional<FetchEnd> result(const Read &read) const
    {
        const bool isSilent = m_vms[read.vm].isCutOff || m_isSilent;
        if (m_isRefusing)
            return FetchEnd::Failed;
        if (!isSilent && m_now - read.begunAt >= timeOf(read.vm))
            return FetchEnd::Stored;
        return m_now >= read.read.deadline ? std::optional(FetchEnd::TimedOut) : std::nullopt;
    }

    domain::Duration timeOf(std::size_t vm) const
    {
        return m_plan->expectedTime() * (vm == m_slowVm ? 10 : m_slowness);
    }

    void finish(const Read &read, FetchEnd end)
    {
        Vm &vm = m_vms[read.vm];
        if (vm.isDown)
            return;
        vm.inFlight[read.read.version].reset(read.read.piece);
        if (end == FetchEnd::Stored)
            m_held[read.read.version].set(read.read.piece);
        m_timeouts += end == FetchEnd::TimedOut ? 1 : 0;
        vm.schedule.onEnd(read.read, end, m_now);
    }

    void begin(std::size_t number)
    {
        Vm &vm = m_vms[number];
        if (vm.isDown)
            return;
        for (Vm &other : m_vms) {
            if (other.member.dataCentre != vm.member.dataCentre)
                vm.holdings.onRemote(2, {other.member.dataCentre, m_held[2], m_now});
            else if (!other.isDown)
                vm.holdings.onHost(other.member.host, other.schedule.isUnreachable(), m_now);
        }
        std::vector<OriginTarget> targets;
        for (const auto &[version, held] : m_held) {
            HaveMap &inFlight = vm.inFlight.try_emplace(version, Pieces).first->second;
            targets.push_back({version, held, inFlight});
        }
        while (const auto read = vm.schedule.next(targets, vm.holdings, m_now)) {
            vm.inFlight[read->version].set(read->piece);
            for (OriginTarget &target : targets)
                target.inFlight = vm.inFlight[target.version];
            const auto sameLane = std::count_if(m_reads.begin(), m_reads.end(),
                    [&](const Read &other) { return other.read.usedLane == read->usedLane; });
            m_maxPerLane = std::max(m_maxPerLane, static_cast<std::size_t>(sameLane) + 1);
            m_log.push_back({number, *read, m_now});
            m_reads.push_back(m_log.back());
        }
    }

    std::set<std::size_t> readersSince(TimePoint time) const
    {
        std::set<std::size_t> readers;
        for (const Read &read : m_log) {
            if (read.begunAt >= time)
                readers.insert(read.vm);
        }
        return readers;
    }

    std::size_t readerOf(std::size_t lane) const
    {
        const std::string &host = m_plan->readers(lane, m_plan->dataCentres(lane).front()).front();
        const auto found = std::find_if(
                m_vms.begin(), m_vms.end(), [&](const Vm &vm) { return vm.member.host == host; });
        return static_cast<std::size_t>(found - m_vms.begin());
    }

    static constexpr std::size_t None = ~std::size_t(0);
    TimePoint m_now{1h};
    std::shared_ptr<const OriginPlan> m_plan;
    std::vector<Vm> m_vms;
    std::map<std::uint64_t, HaveMap> m_held;
    std::list<Read> m_reads;
    std::vector<Read> m_log;
    int m_slowness = 1;
    std::size_t m_slowVm = None;
    bool m_isRefusing = false;
    bool m_isSilent = false;
    std::size_t m_maxPerLane = 0;
    std::size_t m_timeouts = 0;
};

// Guards against requests of the whole fleet that queue at the origin until they time out.
TEST_F(OriginScheduleFixture, next_healthyFleet_oneRequestALaneAndEachPieceOnce)
{
    run(5s);
    EXPECT_TRUE(m_held[2].isFull());
    EXPECT_EQ(m_maxPerLane, 1U);
    EXPECT_EQ(m_log.size(), Pieces);
    EXPECT_LE(readersSince({}).size(), m_plan->laneCount());
}

// Guards against a lane that waits for a killed reader until a request times out.
TEST_F(OriginScheduleFixture, next_readerKilled_replacedWithinAboutASecond)
{
    run(1s);
    const std::size_t killed = readerOf(0);
    m_vms[killed].isDown = true;
    const TimePoint killedAt = m_now;
    run(5s);
    const auto next = std::find_if(m_log.begin(), m_log.end(), [&](const Read &read) {
        return read.begunAt > killedAt && read.read.usedLane == 0 && read.vm != killed;
    });
    ASSERT_NE(next, m_log.end());
    EXPECT_LE(next->begunAt - killedAt, 1100ms);
    EXPECT_TRUE(m_held[2].isFull());
    EXPECT_LE(m_log.size(), Pieces + 2);
}

// Guards against readers that are added in an outage, and all read the same pieces after it.
TEST_F(OriginScheduleFixture, next_originRefuses_readersNotMoreInOutageAndAfterIt)
{
    run(1s);
    const std::set<std::size_t> before = readersSince({});
    const TimePoint outageAt = m_now;
    m_isRefusing = true;
    run(6s);
    m_isRefusing = false;
    const std::size_t asked = m_log.size();
    const std::size_t missing = Pieces - m_held[2].count();
    run(5s);
    EXPECT_EQ(readersSince(outageAt), before);
    EXPECT_TRUE(m_held[2].isFull());
    EXPECT_LE(m_log.size() - asked, missing + m_plan->laneCount());
}

// Guards against probes of an origin that refuses connections, hundreds a second from the fleet,
// and against a return that is noticed late.
TEST_F(OriginScheduleFixture, next_originRefuses_eachReaderAsksAboutTwiceASecond)
{
    m_isRefusing = true;
    run(1s);
    const std::size_t before = m_log.size();
    run(4s);
    const std::size_t lanes = m_plan->laneCount();
    EXPECT_LE(m_log.size() - before, lanes * 4 * 4);
    m_isRefusing = false;
    const TimePoint returnedAt = m_now;
    run(1s);
    EXPECT_GE(readersSince(returnedAt).size() + 1, lanes);
}

// Guards against an origin that is slower than stated: reads must neither be taken over nor be
// aborted again and again.
TEST_F(OriginScheduleFixture, next_originTenTimesSlower_timeoutsGrowAndNoLaneTakenOver)
{
    m_slowness = 10;
    run(30s);
    std::set<std::size_t> first;
    for (std::size_t lane = 0; lane < m_plan->laneCount(); ++lane)
        first.insert(readerOf(lane));
    EXPECT_EQ(readersSince({}), first);
    // Time-outs of 1.5 and 3 s are shorter than an answer takes; the next one is not.
    EXPECT_LE(m_timeouts, 2 * m_plan->laneCount());
    EXPECT_EQ(m_maxPerLane, 1U);
}

// Guards against a lane that stays behind because its reader alone cannot reach the origin.
TEST_F(OriginScheduleFixture, next_oneReaderCutOffFromOrigin_laneReadByTheNext)
{
    m_vms[readerOf(0)].isCutOff = true;
    run(8s);
    EXPECT_TRUE(m_held[2].isFull());
    // Time-out of the first request, and one of the other data centres' pieces.
    EXPECT_LE(m_log.size(), Pieces + 12);
}

// Guards against a lane of a whole data centre that cannot reach the origin, while others can.
TEST_F(OriginScheduleFixture, next_homeDataCentreCutOffFromOrigin_lanesReadByOthers)
{
    for (Vm &vm : m_vms)
        vm.isCutOff = vm.member.dataCentre.value() == "dc0";
    run(10s);
    EXPECT_TRUE(m_held[2].isFull()) << m_held[2].count();
}

// Guards against two versions that share the link, so that the second delays the first.
TEST_F(OriginScheduleFixture, next_twoVersions_secondFollowsInEachLane)
{
    m_held[3] = HaveMap(Pieces);
    run(10s);
    EXPECT_TRUE(m_held[2].isFull() && m_held[3].isFull());
    std::map<std::size_t, std::uint64_t> last;
    for (const Read &read : m_log) {
        EXPECT_GE(read.read.version, last[read.read.lane]);
        last[read.read.lane] = read.read.version;
    }
    EXPECT_EQ(m_log.size(), 2 * Pieces);
    EXPECT_EQ(m_maxPerLane, 1U);
}

// Guards against a push that ends with one slow reader, while the link is idle.
TEST_F(OriginScheduleFixture, next_oneReaderSlow_othersHelpAtTheEnd)
{
    m_slowVm = readerOf(0);
    run(10s);
    EXPECT_TRUE(m_held[2].isFull()) << m_held[2].count();
    EXPECT_LE(m_log.size(), Pieces * 11 / 10);
}

// Guards against a VM that nobody knows and that reads what others read.
TEST_F(OriginScheduleFixture, next_unlistedVm_readsNothing)
{
    FleetHoldings holdings("10.0.9.9");
    OriginSchedule schedule("10.0.9.9", domain::DataCentreId("dc0"));
    schedule.setPlan(m_plan, m_now);
    holdings.expectReports(m_now);
    for (int i = 0; i < 100; ++i) {
        m_now += 100ms;
        EXPECT_FALSE(schedule.next({{2, m_held[2], HaveMap(Pieces)}}, holdings, m_now));
    }
}

// Guards against manifests that each VM of the fleet asks the origin for.
TEST_F(OriginScheduleFixture, isManifestReader_healthyFleet_oneInEachDataCentre)
{
    run(500ms);
    const auto count = [&] {
        return std::count_if(m_vms.begin(), m_vms.end(), [&](const Vm &vm) {
            return !vm.isDown && vm.schedule.isManifestReader(vm.holdings, m_now);
        });
    };
    EXPECT_EQ(count(), 3);
    m_vms[readerOf(0)].isDown = true;
    run(1100ms);
    EXPECT_EQ(count(), 3);
}

} // namespace oriolerill::distribution
