#include "routing/dispatcher.h"

#include <gtest/gtest.h>

#include <array>
#include <cmath>
#include <map>

namespace oriolerill::routing {

using namespace std::chrono_literals;
using domain::Duration;
using domain::EndpointId;
using domain::ServiceId;
using domain::TimePoint;

/// Three endpoints of a plain service with 6 slots and a queue of 24 each, as an entry sees them
/// that gets all requests.
class PlainAdmissionFixture : public testing::Test
{
protected:
    static constexpr int Endpoints = 3;
    static constexpr std::uint32_t Slots = 6;
    static constexpr std::uint32_t Queue = 24;
    static constexpr double RunMs = 30;

    PlainAdmissionFixture()
    {
        m_route.host = "h.example";
        m_route.pathPrefix = "/p/";
        m_route.services = {{m_service.id, 1}};
        m_route.objective = 150ms;
        m_query.route = &m_route;
        m_query.request = &m_request;
        m_query.service = m_service.id;
    }

    struct Outcome
    {
        std::array<int, Endpoints> sent{};
        int shed = 0;
        int late = 0;
        int refused = 0;
        double meanMs = 0;
    };

    /// Serves a request each interval in which isDue, at endpoints with the stated slowness.
    template<class Slowness>
    Outcome run(const EndpointLoadOptions &load, Duration interval, Duration length, Slowness slow)
    {
        DispatcherOptions options;
        options.load = load;
        Dispatcher dispatcher(options);
        dispatcher.setConfig(std::make_shared<ServingConfig>(
                1, std::vector{m_route}, std::vector{m_service}, CallerLimits()));
        std::vector<ListedEndpoint> listed(Endpoints);
        for (int i = 0; i < Endpoints; ++i) {
            listed[i].id = EndpointId(std::to_string(i));
            listed[i].service = m_service.id;
            listed[i].address = {"10.0.0." + std::to_string(i + 1), 80};
            listed[i].slots = Slots;
        }
        dispatcher.endpoints().replaceAll(listed, m_start);
        std::array<std::array<TimePoint, Slots>, Endpoints> freeAt{};
        std::array<std::uint32_t, Endpoints> busy{};
        std::multimap<TimePoint, std::pair<Dispatch, TimePoint>> pending;
        Outcome outcome;
        int answered = 0;
        for (TimePoint now = m_start; now < m_start + length; now += interval) {
            while (!pending.empty() && pending.begin()->first <= now) {
                const TimePoint at = pending.begin()->first;
                const auto [dispatch, sentAt] = pending.begin()->second;
                pending.erase(pending.begin());
                const int i = std::stoi(dispatch.endpoint.value());
                --busy[i];
                const AnswerLoad stated{std::min(busy[i], Slots),
                        busy[i] > Slots ? busy[i] - Slots : 0, Slots, slow(i, at - m_start)};
                dispatcher.load(dispatch.endpoint).onAnswerLoad(stated, at);
                dispatcher.onAnswerLoad(dispatch, stated, sentAt, at);
                dispatcher.onEnded(dispatch, sentAt, at);
                outcome.late += at - sentAt > m_timeLeft ? 1 : 0;
                outcome.meanMs += std::chrono::duration<double, std::milli>(at - sentAt).count();
                ++answered;
            }
            m_request.deadline = now + m_timeLeft;
            const DispatchDecision decision = dispatcher.choose(m_query, now);
            if (const auto *refusal = std::get_if<Refusal>(&decision)) {
                EXPECT_EQ(refusal->reason, RefusalReason::PlainFull);
                EXPECT_GE(refusal->retryAfter, options.minRetryAfter);
                ++outcome.refused;
                continue;
            }
            const auto &dispatch = std::get<Dispatch>(decision);
            const int i = std::stoi(dispatch.endpoint.value());
            if (busy[i] >= Slots + Queue) {
                ++outcome.shed;
                continue;
            }
            dispatcher.onSent(dispatch, now);
            ++busy[i];
            ++outcome.sent[i];
            TimePoint &slot = *std::min_element(freeAt[i].begin(), freeAt[i].end());
            const std::chrono::duration<double, std::milli> work(RunMs * slow(i, now - m_start));
            slot = std::max(slot, now) + std::chrono::duration_cast<Duration>(work);
            pending.emplace(slot, std::pair(dispatch, now));
        }
        outcome.meanMs /= std::max(answered, 1);
        return outcome;
    }

    const TimePoint m_start{1h};
    const ServiceSpec m_service{.id = ServiceId("plain")};
    Duration m_timeLeft = 1s;
    Route m_route;
    CallerRequest m_request;
    DispatchQuery m_query;
};

// Guards against a burst that queues until endpoints shed it or callers give up, and against a slow
// copy that gets as much as the others.
TEST_F(PlainAdmissionFixture, choose_burstWithOneSlowCopy_refusedBeforeShedOrLate)
{
    const auto slow = [](int i, Duration) { return i == 0 ? 2.5 : 1.0; };
    // 1,000 requests a second; the capacity is 480.
    for (const Duration timeLeft : {200ms, 1000ms}) {
        m_timeLeft = timeLeft;
        const Outcome outcome = run({}, 1ms, 3s, slow);
        const int sent = outcome.sent[0] + outcome.sent[1] + outcome.sent[2];
        const std::string name = "_" + std::to_string(timeLeft / 1ms);
        RecordProperty("sent" + name, sent);
        RecordProperty("late" + name, outcome.late);
        RecordProperty("shed" + name, outcome.shed);
        EXPECT_LT(outcome.shed, 10);
        EXPECT_GT(sent, 0.95 * 480 * 3);
        EXPECT_LT(outcome.late, 0.02 * sent);
        EXPECT_LT(outcome.sent[0], 0.5 * outcome.sent[1]);
    }
    // Below the capacity none is refused.
    EXPECT_EQ(run({}, 4ms, 3s, slow).refused, 0);
}

// Guards against a stated slowness that is used after another set of VMs has become slow.
TEST_F(PlainAdmissionFixture, choose_otherCopySlowEach600Ms_lowerMeanThanWithoutSlowness)
{
    const auto slow = [](int i, Duration at) { return (at / 600ms) % Endpoints == i ? 2.5 : 1.0; };
    const auto mean = [&](Duration interval, Duration lifetime) {
        EndpointLoadOptions load;
        load.slownessLifetime = lifetime;
        const double ms = run(load, interval, 120s, slow).meanMs;
        RecordProperty(
                "mean_ms_" + std::to_string(interval / 1ms) + "_" + std::to_string(lifetime / 1ms),
                std::to_string(ms));
        return ms;
    };
    const Duration used = EndpointLoadOptions().slownessLifetime;
    EXPECT_LT(mean(15ms, used), mean(15ms, 1ms) - 5);
    // An entry that sends a few requests a second.
    EXPECT_LT(mean(200ms, used), mean(200ms, 1ms) - 1);
    EXPECT_LT(mean(200ms, used), mean(200ms, 3s));
}

// Guards against a service time that outliers change, and against one that never recovers.
TEST_F(PlainAdmissionFixture, runMs_outliersOrWrongEstimate_usualTimeLearned)
{
    PlainAdmission admission;
    const auto learn = [&](int count, Duration elapsed, double queued, double slowness) {
        for (int i = 0; i < count; ++i)
            admission.onAnswer(m_service.id, {0, 0, Slots, slowness}, elapsed, queued);
        return admission.runMs(m_service.id);
    };
    EXPECT_DOUBLE_EQ(admission.runMs(m_service.id), 40);
    EXPECT_NEAR(learn(60, 30ms, 0, 1), 30, 0.5);
    EXPECT_NEAR(learn(60, 150ms, 1, 2.5), 30, 0.5);
    EXPECT_LT(learn(1, 9s, 0, 1), 33.1);
    learn(200, 9s, 0, 1);
    EXPECT_NEAR(learn(150, 30ms, 0, 1), 30, 0.5);
}

// Guards against a wrong estimate that keeps all requests away, and so is never corrected; and
// against refusals where a slot is free or the endpoints state no load.
TEST_F(PlainAdmissionFixture, refuse_wrongEstimate_oneAdmittedFromTimeToTime)
{
    PlainAdmission admission;
    const std::vector<PlainLoad> full{{Slots, Slots + 10.0, 0, 1, 0ms}};
    EXPECT_FALSE(admission.refuse(m_service.id, full, 10ms, m_start));
    for (int i = 0; i < 200; ++i)
        admission.onAnswer(m_service.id, {0, 0, Slots}, 9s, 0);
    int admitted = 0;
    for (auto at = 0ms; at < 5s; at += 10ms)
        admitted += admission.refuse(m_service.id, full, 1s, m_start + at) ? 0 : 1;
    EXPECT_EQ(admitted, 5);
    EXPECT_FALSE(admission.refuse(m_service.id, {full[0], {Slots, Slots - 1.0}}, 1ms, m_start));
    // Endpoints have stated a longer queue than was assumed.
    const PlainLoad longQueue{Slots, Slots * 7.0, 0, 1, 0ms};
    EXPECT_TRUE(admission.isShedding(m_service.id, longQueue));
    admission.onAnswer(m_service.id, {Slots, Slots * 7, Slots}, 9s, 0);
    EXPECT_FALSE(admission.isShedding(m_service.id, longQueue));
    // The queue of an old report has been worked off.
    EXPECT_FALSE(admission.refuse(m_service.id, {{Slots, Slots + 10.0, 0, 1, 30s}}, 1ms, m_start));
}

} // namespace oriolerill::routing
