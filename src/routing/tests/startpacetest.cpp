#include "routing/startpace.h"

#include "routing/coldallowance.h"
#include "routing/dispatcher.h"

#include <gtest/gtest.h>

#include <random>

namespace oriolerill::routing {

using namespace std::chrono_literals;
using domain::Duration;
using domain::EndpointId;
using domain::TimePoint;

/// An engine of 12 slots beside an older one, as seen by one entry of 40.
class StartPaceFixture : public testing::Test
{
protected:
    StartPaceFixture()
    {
        m_service.id = domain::ServiceId("models");
        m_service.coldPerSecond = 15;
        m_service.engine = EngineSpeed{12, 8.87, 0.02, 19.1, 900, 60};
        m_config = ServingConfig(1, {}, {m_service}, CallerLimits());
        addListed("old", 1, m_now);
    }

    void addListed(const std::string &id, std::uint64_t startedAtMs, TimePoint coldUntil)
    {
        ListedEndpoint endpoint;
        endpoint.id = EndpointId(id);
        endpoint.service = m_service.id;
        endpoint.startedAtMs = startedAtMs;
        endpoint.coldUntil = coldUntil;
        m_list.apply({{endpoint.id, endpoint}}, m_now);
        m_pace.onList(m_list, m_config, m_now);
    }

    void report(std::uint32_t running, double pace = 1)
    {
        EngineReport report;
        report.sequence = ++m_sequence;
        report.running = running;
        report.pace = pace;
        m_load.onReport(report, m_now);
        m_pace.update(m_new, m_load, m_now);
    }

    /// Maximum number of requests to a cold endpoint in any second, and their number, when all
    /// entries have requests only outside of the idle time.
    static std::pair<std::size_t, std::size_t> coldRequests(
            Duration seenWithin, Duration idle, bool isLate, std::uint64_t seed)
    {
        constexpr std::size_t Entries = 40;
        const TimePoint start = TimePoint() + 1h;
        const TimePoint until = start + 10s;
        std::mt19937_64 random(seed);
        std::vector<std::pair<StartPace, ColdAllowance>> entries(Entries);
        std::vector<TimePoint> seenAt(Entries);
        ListedEndpoint endpoint;
        endpoint.id = EndpointId("new");
        endpoint.coldUntil = until;
        EndpointList list;
        list.replaceAll({endpoint}, start);
        ServiceSpec service;
        service.coldPerSecond = 15;
        const ServingConfig config(1, {}, {service}, CallerLimits());
        std::vector<TimePoint> sent;
        for (std::size_t i = 0; i < Entries; ++i) {
            seenAt[i] = start + Duration(random() % (seenWithin.count() + 1))
                    + (i >= Entries - 2 ? 3s : 0s);
            entries[i].first.onList(list, config, start);
        }
        for (TimePoint now = start; now < until; now += 5ms) {
            for (std::size_t i = 0; i < Entries; ++i) {
                auto &[pace, allowance] = entries[i];
                // The last two entries start meanwhile and are counted a second later.
                const bool hasJoined = i >= Entries - 2;
                const std::size_t before = hasJoined ? 256 : Entries - 2;
                const EntryShare share{now < start + 4s ? before : Entries, i};
                const double bound = pace.coldBound(endpoint.id, Bound, share, until, now);
                const bool isAllowed = now >= seenAt[i]
                        && allowance.hasRoom(endpoint.id, until, bound, share, now)
                        && pace.hasTurn(endpoint.id, Bound, share, until, now);
                if (!isAllowed || (now > start + 100ms && now < start + 100ms + idle))
                    continue;
                allowance.onSent(endpoint.id, now);
                pace.onColdSent(endpoint.id);
                sent.push_back(now);
                // Late in the first half; then all entries return to the full share at once.
                const bool isLateNow = isLate && now < start + 5s;
                pace.onAnswerBegun(endpoint.id, isLateNow ? 0 : 1e4, now - 500ms, now);
            }
        }
        std::size_t highest = 0;
        for (std::size_t first = 0, i = 0; i < sent.size(); ++i) {
            while (sent[i] - sent[first] >= 1s)
                ++first;
            highest = std::max(highest, i - first + 1);
        }
        return {highest, sent.size()};
    }

    static constexpr double Bound = 27.5;
    const EndpointId m_new{"new"};
    const EntryShare m_share{40, 7};
    TimePoint m_now{1h};
    ServiceSpec m_service;
    ServingConfig m_config;
    EndpointList m_list;
    EndpointLoad m_load;
    StartPace m_pace;
    std::uint64_t m_sequence = 0;
};

// Guards against unused or reduced parts of the allowance that all entries use at the same time: 40
// entries without turns send 40 requests at once after an idle time.
TEST_F(StartPaceFixture, hasTurn_fortyEntries_boundKeptInEachSecondAndUsed)
{
    for (std::uint64_t seed = 1; seed <= 10; ++seed) {
        const auto [steady, count] = coldRequests(100ms, 0ms, false, seed);
        EXPECT_LE(steady, Bound) << seed;
        EXPECT_GE(count, 0.5 * Bound * 10) << seed;
        EXPECT_LE(coldRequests(100ms, 4s, false, seed).first, Bound) << seed;
        const auto [late, lateCount] = coldRequests(100ms, 0ms, true, seed);
        EXPECT_LE(late, Bound) << seed;
        // Guards against an endpoint that gets the full allowance although it answers late.
        EXPECT_LT(lateCount, 0.85 * static_cast<double>(count)) << seed;
    }
}

// Guards against an endpoint that stays idle after its cold time: reports alone raise the limit.
TEST_F(StartPaceFixture, limit_reportsOfFreeSlots_slotsReachedWithinASecondAfterColdTime)
{
    addListed("new", 2, m_now + 3s);
    EXPECT_EQ(m_pace.limit(m_new), 6);
    EXPECT_EQ(m_pace.slowStarts(m_now), 1U);
    int steps = 0;
    for (; m_pace.limit(m_new) && steps < 100; ++steps) {
        m_now += 100ms;
        report(2);
        EXPECT_GE(m_pace.limit(m_new).value_or(2), 2);
    }
    EXPECT_GT(steps, 30);
    EXPECT_LE(steps, 40);
    ASSERT_EQ(m_pace.takeEvents().back().reason, "slots_reached");
}

// Guards against growth of the load of an endpoint that answers late, refuses or is slow.
TEST_F(StartPaceFixture, limit_lateRefusedOrSlow_smallerOrUnchanged)
{
    addListed("new", 2, m_now + 1s);
    const EntryShare few{4, 0};
    EXPECT_EQ(m_pace.coldBound(m_new, Bound, few, m_now + 1s, m_now), Bound);
    m_pace.onAnswerBegun(m_new, 50, m_now, m_now + 400ms);
    EXPECT_EQ(m_pace.coldBound(m_new, Bound, few, m_now + 1s, m_now), Bound / 2);
    m_pace.onAnswerBegun(m_new, 50, m_now + 400ms, m_now + 450ms);
    EXPECT_EQ(m_pace.coldBound(m_new, Bound, few, m_now + 1s, m_now), Bound);
    m_now += 1s;
    m_pace.onAnswerBegun(m_new, 50, m_now, m_now + 400ms);
    EXPECT_EQ(m_pace.limit(m_new), 3);
    m_now += 900ms;
    m_load.onRefused(m_now);
    report(12);
    EXPECT_EQ(m_pace.limit(m_new), 2);
    m_now += 900ms;
    report(1, 3.0);
    EXPECT_EQ(m_pace.limit(m_new), 2);
    m_now += 200ms;
    report(2);
    EXPECT_GT(*m_pace.limit(m_new), 2);
    m_now += 2s;
    report(12);
    EXPECT_FALSE(m_pace.limit(m_new));
}

// Guards against all entries that fill the same few free slots between two reports.
TEST_F(StartPaceFixture, isAtLimit_fortyEntriesSeeOneReport_noMoreThanTheRoom)
{
    addListed("new", 2, m_now);
    for (std::uint32_t running = 0; running < 8; ++running) {
        m_now += 1ms;
        report(running);
        std::uint32_t sent = 0;
        for (std::size_t rank = 0; rank < 40; ++rank) {
            EndpointLoad load = m_load;
            for (; !m_pace.isAtLimit(m_new, load, {40, rank}, m_now); ++sent)
                load.onSent(m_now);
        }
        EXPECT_EQ(sent, running < 6 ? 6 - running : 0) << running;
    }
}

// Guards against a new process that gets the load which the former one was able to take, and
// against a slow start after a mere return to the list.
TEST_F(StartPaceFixture, onList_restartDuringSlowStart_beginsAgainAndNotOnReturn)
{
    EXPECT_EQ(m_pace.slowStarts(m_now), 0U);
    addListed("new", 2, m_now);
    for (int i = 0; i < 2; ++i) {
        m_now += 100ms;
        report(1);
    }
    EXPECT_GT(*m_pace.limit(m_new), 6);
    addListed("new", 3, m_now + 3s);
    EXPECT_EQ(m_pace.limit(m_new), 6);
    m_list.apply({{EndpointId("old"), std::nullopt}}, m_now);
    m_pace.onList(m_list, m_config, m_now);
    addListed("old", 1, m_now);
    EXPECT_FALSE(m_pace.limit(EndpointId("old")));
}

// Guards against all requests at once after the first success that follows a run of failures.
TEST_F(StartPaceFixture, update_successAfterFailures_slowStart)
{
    addListed("new", 2, m_now);
    m_now += 3s;
    report(12);
    ASSERT_FALSE(m_pace.limit(m_new));
    for (int i = 0; i < 3; ++i)
        m_load.onFailure(m_now);
    report(0);
    ASSERT_FALSE(m_pace.limit(m_new));
    m_load.onSuccess();
    report(0);
    EXPECT_EQ(m_pace.limit(m_new), 6);
}

/// Requests that one dispatcher sends to an idle new engine beside an idle older one.
class PacedDispatcherFixture : public StartPaceFixture
{
protected:
    int sentToNew(bool isEnabled, bool isOldFull)
    {
        DispatcherOptions options;
        options.startPace.isEnabled = isEnabled;
        options.assumedEntries = 1;
        Route route;
        route.services = {{m_service.id, 1}};
        m_service.models = {domain::ModelId("m")};
        Dispatcher dispatcher(options);
        dispatcher.setConfig(std::make_shared<ServingConfig>(
                1, std::vector{route}, std::vector{m_service}, CallerLimits()));
        CallerRequest request;
        request.model = domain::ModelId("m");
        DispatchQuery query;
        query.route = &route;
        query.request = &request;
        query.service = m_service.id;
        const auto list = [&](const std::string &id, int host, std::uint32_t running) {
            ListedEndpoint endpoint;
            endpoint.id = EndpointId(id);
            endpoint.service = m_service.id;
            endpoint.address = {"10.0.0." + std::to_string(host), 80};
            dispatcher.endpoints().apply({{endpoint.id, endpoint}}, m_now);
            EngineReport report;
            report.sequence = 1;
            report.running = running;
            report.weightsVersion = 1;
            report.grant = 99;
            dispatcher.onReport(endpoint.address, 0, report, m_now);
            dispatcher.choose(query, m_now);
        };
        list("old", 1, isOldFull ? 200 : 0);
        list("new", 2, 0);
        int count = 0;
        for (int i = 0; i < 16; ++i) {
            const auto decision = dispatcher.choose(query, m_now);
            const auto *dispatch = std::get_if<Dispatch>(&decision);
            if (dispatch == nullptr)
                continue;
            dispatcher.onSent(*dispatch, m_now);
            count += dispatch->endpoint == m_new ? 1 : 0;
        }
        return count;
    }
};

// Guards against a refusal although the endpoint in slow start can take the request, and against
// an effect of the slow start where the setting disables it.
TEST_F(PacedDispatcherFixture, choose_newEngine_limitedUnlessOthersAreFullOrDisabled)
{
    EXPECT_LE(sentToNew(true, false), 6);
    EXPECT_GT(sentToNew(true, true), 6);
    EXPECT_GT(sentToNew(false, false), 6);
    StartPaceOptions off;
    off.isEnabled = false;
    m_pace = StartPace(off);
    addListed("new", 2, m_now);
    EXPECT_FALSE(m_pace.limit(m_new));
    EXPECT_EQ(m_pace.coldBound(m_new, Bound, m_share, m_now + 3s, m_now), Bound);
    EXPECT_TRUE(m_pace.hasTurn(m_new, Bound, m_share, m_now + 3s, m_now));
}

} // namespace oriolerill::routing
