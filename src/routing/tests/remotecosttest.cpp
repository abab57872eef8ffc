#include "routing/dispatcher.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <array>
#include <map>

namespace oriolerill::routing {

using namespace std::chrono_literals;
using domain::DataCentreId;
using domain::Duration;
using domain::EndpointId;
using domain::ModelId;
using domain::ServiceId;
using domain::TimePoint;

/// An entry in data centre a, with engines there and in data centre b.
class RemoteCostFixture : public testing::Test
{
protected:
    RemoteCostFixture()
    {
        m_service.id = ServiceId("models");
        m_service.models = {ModelId("m")};
        m_service.engine = EngineSpeed{12, 9.27, 0.02, 20.7, 900, 60};
        m_route.kind = RequestKind::Stream;
        m_route.services = {{m_service.id, 1}};
        m_route.objective = 400ms;
        m_request.model = ModelId("m");
        m_request.promptTokens = 900;
        m_query.route = &m_route;
        m_query.request = &m_request;
        m_query.service = m_service.id;
    }

    /// Engine i is in data centre b if it is one of the last `remote`.
    Dispatcher dispatcher(int local, int remote)
    {
        DispatcherOptions options;
        options.dataCentre = m_own;
        options.assumedEntries = 1;
        Dispatcher created(options);
        created.setConfig(std::make_shared<ServingConfig>(
                1, std::vector{m_route}, std::vector{m_service}, CallerLimits()));
        std::vector<ListedEndpoint> listed(local + remote);
        for (int i = 0; i < local + remote; ++i) {
            listed[i].id = EndpointId(std::to_string(i));
            listed[i].service = m_service.id;
            listed[i].address = address(i);
            listed[i].dataCentre = i < local ? m_own : m_other;
            listed[i].slots = 12;
            listed[i].weights[ModelId("m")] = 1;
        }
        created.endpoints().replaceAll(listed, m_now);
        return created;
    }

    static domain::SocketAddress address(int engine)
    {
        return {"10.0.0." + std::to_string(engine + 1), 80};
    }

    void report(Dispatcher &dispatcher, int engine, std::uint32_t held, double pace = 1)
    {
        EngineReport report{.sequence = ++m_sequence};
        report.running = std::min(held, 12U);
        report.waiting = held - report.running;
        report.weightsVersion = 1;
        report.pace = pace;
        report.grant = 12;
        dispatcher.onReport(address(engine), 0, report, m_now);
    }

    /// Sends a request each 100 ms whose answer begins this much later than expected.
    void answer(RemoteCost &cost, const DataCentreId &dataCentre, int count, Duration late)
    {
        for (int i = 0; i < count; ++i, m_now += 100ms) {
            cost.onSent(dataCentre, m_now, 50);
            cost.onAnswerBegun(dataCentre, m_now, 50, m_now + 50ms + late);
        }
    }

    const DataCentreId m_own{"a"};
    const DataCentreId m_other{"b"};
    TimePoint m_now{1h};
    ServiceSpec m_service;
    Route m_route;
    CallerRequest m_request;
    DispatchQuery m_query;
    std::uint64_t m_sequence = 0;
};

// Guards against a full link that is not noticed or never tried again, and against engines that are
// slower than stated being taken for one.
TEST_F(RemoteCostFixture, excessMs_answersLate_countsOnlyBeyondOwnAndDecays)
{
    RemoteCost cost(m_own);
    answer(cost, m_other, 8, 300ms);
    EXPECT_NEAR(cost.excessMs(m_other, m_now), 300, 30);
    EXPECT_EQ(cost.takeChanges(m_now).size(), 1U);
    EXPECT_TRUE(cost.takeChanges(m_now).empty());
    EXPECT_EQ(cost.excessMs(m_own, m_now), 0);
    EXPECT_EQ(cost.excessMs(m_other, m_now + 5s), 0);
    answer(cost, m_own, 8, 300ms);
    answer(cost, m_other, 1, 300ms);
    EXPECT_EQ(cost.excessMs(m_other, m_now), 0);
}

// Guards against one slow engine that closes a link, and against a link that lets nothing through
// and so produces no late answers.
TEST_F(RemoteCostFixture, excessMs_oneLateOrNoAnswer_boundedOrOverdue)
{
    RemoteCost cost(m_own);
    answer(cost, m_other, 3, 0ms);
    answer(cost, m_other, 1, 1900ms);
    EXPECT_LE(cost.excessMs(m_other, m_now), 40);
    answer(cost, m_other, 2, 0ms);
    EXPECT_EQ(cost.excessMs(m_other, m_now), 0);
    answer(cost, m_other, 120, 1900ms);
    m_now += 5s;
    cost.onSent(m_other, m_now, 50);
    EXPECT_GE(cost.costMs(m_other, m_now), 400);
    EXPECT_GE(cost.excessMs(m_other, m_now + 500ms), 400);
    EXPECT_EQ(cost.costMs(m_other, m_now + 4s), 0);
}

// Guards against entries that queue at their own engines while others are idle, and against a link
// between regions that is filled beyond the objective.
TEST_F(RemoteCostFixture, choose_demandMovesToOneDataCentre_linkUsedUpToItsCapacity)
{
    Dispatcher entry = dispatcher(2, 2);
    constexpr Duration LinkTime = 33ms;
    std::multimap<TimePoint, std::pair<Dispatch, TimePoint>> pending;
    TimePoint linkFreeAt = m_now;
    Duration longest{};
    int sent = 0;
    const TimePoint start = m_now;
    for (int i = 0; i < 2000; ++i, m_now += 10ms) {
        // The own engines have a queue of 100 ms, the others are idle.
        for (int engine = 0; engine < 4 && i % 10 == 0; ++engine)
            report(entry, engine, engine < 2 ? 12 : 0);
        while (!pending.empty() && pending.begin()->first <= m_now) {
            const auto [dispatch, sentAt] = pending.begin()->second;
            entry.onAnswerBegun(dispatch, sentAt, pending.begin()->first);
            entry.onEnded(dispatch, sentAt, pending.begin()->first);
            pending.erase(pending.begin());
        }
        const DispatchDecision decision = entry.choose(m_query, m_now);
        const auto *dispatch = std::get_if<Dispatch>(&decision);
        if (dispatch == nullptr)
            continue;
        entry.onSent(*dispatch, m_now);
        auto answerAt = m_now + 1us * static_cast<int>(dispatch->expectedStartMs * 1000);
        if (dispatch->dataCentre == m_other) {
            ++sent;
            linkFreeAt = std::max(linkFreeAt, m_now) + LinkTime;
            // The first answers are awaited at first.
            if (m_now > start + 1s)
                longest = std::max<Duration>(longest, linkFreeAt - m_now);
            answerAt += linkFreeAt - m_now;
        }
        pending.emplace(answerAt, std::pair(*dispatch, m_now));
    }
    const double capacity = (m_now - start) / LinkTime;
    RecordProperty("remote", sent);
    RecordProperty("capacity", std::to_string(capacity));
    RecordProperty("longest_ms", std::to_string(longest / 1ms));
    EXPECT_EQ(entry.remoteCost().sentCounts().at(m_other), sent);
    EXPECT_GT(sent, 0.8 * capacity);
    EXPECT_LT(longest, m_route.objective);
}

// Guards against choices that differ from those of earlier versions where nothing is uneven.
TEST_F(RemoteCostFixture, choose_answersAsExpected_sameChoicesAsWithoutAnswers)
{
    Dispatcher with = dispatcher(3, 3);
    Dispatcher without = dispatcher(3, 3);
    for (int i = 0; i < 300; ++i, m_now += 100ms) {
        for (int engine = 0; engine < 6; ++engine) {
            const std::uint32_t held = (i * 7 + engine * 5) % 14;
            report(with, engine, held);
            report(without, engine, held);
        }
        const auto first = std::get<Dispatch>(with.choose(m_query, m_now));
        const auto second = std::get<Dispatch>(without.choose(m_query, m_now));
        ASSERT_EQ(first.endpoint, second.endpoint);
        with.onSent(first, m_now);
        without.load(first.endpoint).onSent(m_now);
        with.onAnswerBegun(
                first, m_now, m_now + 1us * static_cast<int>(first.expectedStartMs * 1000));
        with.onEnded(first, m_now, m_now + 90ms);
        without.load(first.endpoint).onAnswerBegun(m_now);
        without.load(first.endpoint).onEnded();
    }
}

// Guards against an engine that takes 2.5 times as long and gets as much as the others.
TEST_F(RemoteCostFixture, choose_oneEngineSlow_getsWorkByItsPace)
{
    constexpr int Engines = 4;
    Dispatcher entry = dispatcher(Engines, 0);
    // Shares at a part of the capacity of all engines, which is 3.4 times that of a usual one.
    for (const double load : {0.5, 1.5}) {
        std::array<std::vector<TimePoint>, Engines> held;
        std::array<int, Engines> begun{};
        const double intervalMs = m_service.engine->completionIntervalMs();
        const Duration step = 1us * static_cast<int>(intervalMs * 1000 / 3.4 / load);
        TimePoint reportAt = m_now;
        for (const TimePoint end = m_now + 60s; m_now < end; m_now += step) {
            for (int i = 0; i < Engines; ++i) {
                std::erase_if(held[i], [&](TimePoint at) { return at <= m_now; });
                if (m_now >= reportAt)
                    report(entry, i, held[i].size(), i == 0 ? 2.5 : 1);
            }
            if (m_now >= reportAt)
                reportAt = m_now + 100ms;
            const DispatchDecision decision = entry.choose(m_query, m_now);
            const auto *dispatch = std::get_if<Dispatch>(&decision);
            if (dispatch == nullptr)
                continue;
            const int i = std::stoi(dispatch->endpoint.value());
            entry.onSent(*dispatch, m_now);
            entry.load(dispatch->endpoint).onEnded();
            ++begun[i];
            // Requests complete in order, one each interval on a full engine.
            const double pace = i == 0 ? 2.5 : 1;
            const Duration run = 1us * static_cast<int>(intervalMs * 12 * pace * 1000);
            const TimePoint slotAt = held[i].size() < 12 ? m_now : *(held[i].end() - 12);
            held[i].push_back(slotAt + run);
        }
        const double share = 3.0 * begun[0] / (begun[1] + begun[2] + begun[3]);
        RecordProperty("share_at_" + std::to_string(load), std::to_string(share));
        EXPECT_LT(share, 0.5) << load;
        EXPECT_GT(share, load > 1 ? 0.3 : -1) << load;
    }
}

} // namespace oriolerill::routing
