#include "routing/dispatcher.h"

#include <gtest/gtest.h>

#include <array>
#include <map>
#include <random>

namespace oriolerill::routing {

using namespace std::chrono_literals;
using domain::Duration;
using domain::EndpointId;
using domain::ServiceId;
using domain::TimePoint;

/// Four endpoints of a plain service on VMs that they share with others: each VM is several times
/// as slow as usual for some seconds, and its figure varies many times a second.
class SlownessFixture : public testing::Test
{
protected:
    static constexpr int Endpoints = 4;
    static constexpr auto Interval = 6ms;
    static constexpr auto Length = 60s;
    static constexpr auto UsualRun = 30ms;

    SlownessFixture()
    {
        m_route.host = "h.example";
        m_route.pathPrefix = "/p/";
        m_route.kind = RequestKind::Idempotent;
        m_route.services = {{ServiceId("plain"), 1}};
        m_route.objective = 150ms;
        m_route.timeout = 2500ms;
        m_service.id = ServiceId("plain");
        m_query.route = &m_route;
        m_query.request = &m_request;
        m_query.service = m_service.id;
    }

    double slownessOf(int endpoint, TimePoint at)
    {
        // Slow for two of each eight seconds, one endpoint after the other.
        const auto second = (at - m_start) / 1s;
        const bool isSlow = (second / 2) % Endpoints == endpoint;
        std::uniform_real_distribution<double> noise(1 - m_spread, 1 + m_spread);
        return (isSlow ? m_slow : 1.0) * noise(m_random);
    }

    /// Mean time of a request, in milliseconds.
    double run(EndpointLoadOptions load, bool isStated)
    {
        DispatcherOptions options;
        options.load = load;
        Dispatcher dispatcher(options);
        dispatcher.setConfig(std::make_shared<ServingConfig>(
                1, std::vector{m_route}, std::vector{m_service}, CallerLimits()));
        std::vector<ListedEndpoint> listed;
        for (int i = 0; i < Endpoints; ++i) {
            ListedEndpoint endpoint;
            endpoint.id = EndpointId(std::to_string(i));
            endpoint.service = m_service.id;
            endpoint.address = {"10.0.0." + std::to_string(i + 1), 80};
            endpoint.slots = 6;
            listed.push_back(endpoint);
        }
        dispatcher.endpoints().replaceAll(listed, m_start);
        m_random.seed(7);
        std::multimap<TimePoint, int> running;
        std::array<std::uint32_t, Endpoints> busy{};
        Duration total{};
        std::uint64_t count = 0;
        for (TimePoint now = m_start; now < m_start + Length; now += Interval) {
            while (!running.empty() && running.begin()->first <= now) {
                const auto [endedAt, endpoint] = *running.begin();
                running.erase(running.begin());
                AnswerLoad answered{--busy[endpoint], 0, 6};
                if (isStated)
                    answered.slowness = slownessOf(endpoint, endedAt);
                EndpointLoad &known = dispatcher.load(EndpointId(std::to_string(endpoint)));
                known.onAnswerLoad(answered, endedAt);
                known.onEnded();
                known.onSuccess();
            }
            const auto decision = dispatcher.choose(m_query, now);
            const auto *dispatch = std::get_if<Dispatch>(&decision);
            if (dispatch == nullptr)
                continue;
            dispatcher.onSent(*dispatch, now);
            const int endpoint = std::stoi(dispatch->endpoint.value());
            const auto time = std::chrono::duration_cast<Duration>(
                    UsualRun * slownessOf(endpoint, now) * (busy[endpoint] < 6 ? 1.0 : 2.0));
            ++busy[endpoint];
            running.emplace(now + time, endpoint);
            total += time;
            ++count;
        }
        return std::chrono::duration<double, std::milli>(total).count()
                / static_cast<double>(count);
    }

    const TimePoint m_start{1h};
    Route m_route;
    ServiceSpec m_service;
    CallerRequest m_request;
    DispatchQuery m_query;
    std::mt19937 m_random;
    /// The figure varies by this share of itself.
    double m_spread = 0.5;
    double m_slow = 4;
};

// Guards against requests that go to an endpoint whose VM is slow at present although it says so.
TEST_F(SlownessFixture, choose_oneEndpointSlowForSeconds_othersPreferred)
{
    const double without = run({}, false);
    const double with = run({}, true);
    RecordProperty("mean_ms_without", std::to_string(without));
    RecordProperty("mean_ms_with", std::to_string(with));
    EXPECT_LT(with, 0.85 * without) << without;
}

// Guards against a choice by the newest figure alone, which changes many times a second.
TEST_F(SlownessFixture, choose_figureChangesManyTimesASecond_averageNoWorseThanNewest)
{
    EndpointLoadOptions newest;
    newest.slownessWeight = 1;
    m_spread = 0.9;
    for (const double slow : {2.0, 4.0}) {
        m_slow = slow;
        EXPECT_LT(run({}, true), run(newest, true)) << slow;
    }
}

// Guards against a wrong or old figure that shuts an endpoint out for good.
TEST_F(SlownessFixture, slowness_figureOutOfRangeOrOld_boundedAndForgotten)
{
    EndpointLoad load;
    for (int i = 0; i < 100; ++i)
        load.onAnswerLoad({0, 0, 6, 4e7}, m_start);
    EXPECT_LE(load.slowness(m_start), EndpointLoadOptions().mostSlowness);
    EXPECT_DOUBLE_EQ(load.slowness(m_start + 4s), 1);
}

} // namespace oriolerill::routing
