#include "routing/endpointlimits.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <limits>
#include <random>

namespace oriolerill::routing {

using namespace std::chrono_literals;
using domain::Duration;
using domain::EndpointId;
using domain::TimePoint;

class EndpointLimitsFixture : public testing::Test
{
protected:
    static ListedEndpoint listed(std::uint64_t startedAtMs)
    {
        ListedEndpoint endpoint;
        endpoint.id = EndpointId("e");
        endpoint.startedAtMs = startedAtMs;
        return endpoint;
    }

    bool maySend(EndpointLimits &limits)
    {
        const auto slot = limits.nextSlot(m_endpoint, m_alone, m_now);
        return !slot || *slot <= m_now;
    }

    const ListedEndpoint m_endpoint = listed(5);
    const EndpointInstance m_instance{EndpointId("e"), 5};
    const EntryShare m_alone{1, 0};
    TimePoint m_now{1h};
    EndpointLimits m_limits;
};

/// Many entries with the rate limit of one endpoint; their steady clocks started at different
/// times.
class LimitedFleet
{
public:
    LimitedFleet(std::size_t entries, double perSecond, std::uint64_t seed)
        : m_random(seed)
        , m_entries(entries)
    {
        std::uniform_int_distribution<int> offset(0, 1000000);
        for (EndpointLimits &entry : m_entries) {
            m_offsets.push_back(std::chrono::milliseconds(offset(m_random)));
            entry.setTimeOfDayOffset(-m_offsets.back());
            entry.onAnswer(m_instance, perSecond, local(m_offsets.size() - 1),
                    local(m_offsets.size() - 1));
        }
    }

    /// Requests arrive at random entries at this rate, and are sent as far as the entries' slots
    /// allow.
    void run(Duration time, double demandPerSecond)
    {
        constexpr auto Step = 10ms;
        for (const TimePoint end = m_now + time; m_now < end; m_now += Step) {
            const double mean = demandPerSecond * std::chrono::duration<double>(Step).count();
            for (int i = std::poisson_distribution<int>(mean)(m_random); i > 0; --i)
                send(std::uniform_int_distribution<std::size_t>(0, m_entries.size() - 1)(m_random));
        }
    }

    /// Each entry sends all requests that it may send at once.
    void sendAll()
    {
        for (std::size_t entry = 0; entry < m_entries.size(); ++entry) {
            while (send(entry)) {
            }
        }
    }

    std::size_t maxIn4s() const
    {
        std::size_t maxCount = 0;
        std::size_t first = 0;
        for (std::size_t last = 0; last < m_sent.size(); ++last) {
            while (m_sent[last] - m_sent[first] >= 4s)
                ++first;
            maxCount = std::max(maxCount, last - first + 1);
        }
        return maxCount;
    }

    std::size_t sent() const { return m_sent.size(); }
    EndpointLimits &entry(std::size_t index) { return m_entries[index]; }
    Duration offset(std::size_t index) const { return m_offsets[index]; }

private:
    TimePoint local(std::size_t entry) const { return m_now + m_offsets[entry]; }

    bool send(std::size_t entry)
    {
        const EntryShare share{m_entries.size(), entry};
        const auto slot = m_entries[entry].nextSlot(m_endpoint, share, local(entry));
        if (*slot > local(entry))
            return false;
        m_entries[entry].onChosen(m_endpoint, share, local(entry));
        m_sent.push_back(m_now);
        return true;
    }

    const EndpointInstance m_instance{EndpointId("e"), 0};
    const ListedEndpoint m_endpoint{EndpointId("e"), {}, {}, {}};
    std::mt19937_64 m_random;
    std::vector<EndpointLimits> m_entries;
    std::vector<Duration> m_offsets;
    TimePoint m_now{10h};
    std::vector<TimePoint> m_sent;
};

constexpr double allowedIn4s(double perSecond)
{
    return perSecond * 1.5 * 4 + 5;
}

// Guards against parts of a limit that add up to more than the operator's bound, or that leave most
// of the limit unused, at any size of the fleet.
TEST_F(EndpointLimitsFixture, nextSlot_demandAtAllEntries_boundKeptInEachWindowAndShareUsed)
{
    for (const std::size_t entries : {1U, 8U, 42U, 149U, 690U}) {
        for (const double perSecond : {0.0, 0.3, 1.0, 2.4, 17.0, 90.0}) {
            LimitedFleet fleet(entries, perSecond, entries);
            // Each entry has a request each tenth of a second.
            fleet.run(60s, 10.0 * static_cast<double>(entries));
            EXPECT_LE(static_cast<double>(fleet.maxIn4s()), allowedIn4s(perSecond))
                    << entries << " entries at " << perSecond;
            EXPECT_GE(static_cast<double>(fleet.sent()) + 1,
                    std::min(perSecond, 10.0 * entries) * 0.8 * 60)
                    << entries << " entries at " << perSecond;
        }
    }
}

// Guards against entries that save up slots while there are no requests, and use them all at once.
TEST_F(EndpointLimitsFixture, nextSlot_burstAtAllEntriesAfterIdleTime_boundKept)
{
    for (const std::size_t entries : {8U, 42U, 149U, 690U}) {
        for (const double perSecond : {0.0, 1.0, 2.4, 17.0, 90.0}) {
            LimitedFleet fleet(entries, perSecond, entries + 1);
            for (int burst = 0; burst < 20; ++burst) {
                fleet.run(3s, 0);
                fleet.sendAll();
                fleet.run(4s, 10.0 * static_cast<double>(entries));
            }
            EXPECT_LE(static_cast<double>(fleet.maxIn4s()), allowedIn4s(perSecond))
                    << entries << " entries at " << perSecond;
        }
    }
}

// Guards against a step of the time of day at some entries that gives them slots twice, or none for
// as long as the step.
TEST_F(EndpointLimitsFixture, nextSlot_timeOfDayStepsAtSomeEntries_boundKeptAndRateUsed)
{
    for (const Duration step : {Duration(2s), Duration(-2s), Duration(600s), Duration(-600s)}) {
        LimitedFleet fleet(8, 2.4, 3);
        const auto stepAll = [&](Duration by) {
            for (std::size_t entry = 0; entry < 3; ++entry)
                fleet.entry(entry).setTimeOfDayOffset(by - fleet.offset(entry));
        };
        fleet.run(20s, 80);
        stepAll(step);
        fleet.run(10s, 80);
        stepAll(0s);
        fleet.run(30s, 80);
        EXPECT_LE(static_cast<double>(fleet.maxIn4s()), allowedIn4s(2.4)) << step.count();
        EXPECT_GE(static_cast<double>(fleet.sent()), 2.4 * 0.8 * 60) << step.count();
    }
}

// Guards against using a slot twice, because readings of the clocks jitter and a used slot seems to
// start later than it was used.
TEST_F(EndpointLimitsFixture, nextSlot_clockReadingsJitter_eachSlotUsedOnce)
{
    LimitedFleet fleet(8, 1.8, 5);
    std::mt19937_64 random(5);
    std::uniform_int_distribution<int> jitter(-500, 500);
    for (int i = 0; i < 150; ++i) {
        for (std::size_t entry = 0; entry < 8; ++entry) {
            fleet.entry(entry).setTimeOfDayOffset(
                    std::chrono::microseconds(jitter(random)) - fleet.offset(entry));
        }
        fleet.run(400ms, 80);
    }
    EXPECT_LE(static_cast<double>(fleet.maxIn4s()), allowedIn4s(1.8));
    EXPECT_LE(static_cast<double>(fleet.sent()), 1.8 * 60 + 5);
    EXPECT_GE(static_cast<double>(fleet.sent()), 1.8 * 0.8 * 60);
}

// Guards against a limit that outlasts its instance, one that is ended by an answer from before it
// was stated, and an answer of a replaced instance that limits its successor.
TEST_F(EndpointLimitsFixture, onAnswer_otherInstanceOrEarlierAnswer_ignored)
{
    EXPECT_EQ(m_limits.onAnswer(m_instance, std::nullopt, m_now, m_now), LimitVerdict::Unchanged);
    EXPECT_EQ(m_limits.onAnswer(m_instance, 2.4, m_now, m_now + 1s), LimitVerdict::Applied);
    EXPECT_EQ(m_limits.onAnswer(m_instance, 2.4, m_now, m_now + 1s), LimitVerdict::Unchanged);
    EXPECT_EQ(m_limits.onAnswer(m_instance, std::nullopt, m_now, m_now + 2s),
            LimitVerdict::Unchanged);
    EXPECT_EQ(m_limits.perSecond(m_endpoint), 2.4);
    EXPECT_EQ(m_limits.perSecond(listed(9)), std::nullopt);
    EXPECT_EQ(m_limits.onAnswer(m_instance, std::nullopt, m_now + 1s, m_now + 2s),
            LimitVerdict::Ended);
    EXPECT_EQ(m_limits.perSecond(m_endpoint), std::nullopt);
    m_limits.onAnswer({EndpointId("e"), 9}, 3, m_now, m_now);
    EXPECT_EQ(m_limits.onAnswer(m_instance, 1, m_now + 3s, m_now + 4s), LimitVerdict::Unchanged);
    EXPECT_EQ(m_limits.perSecond(listed(9)), 3);
}

// Guards against malformed rates that exclude the endpoint or end the limit in force: they are
// clamped or ignored, and reported once.
TEST_F(EndpointLimitsFixture, onAnswer_malformedValues_clampedOrIgnoredOnce)
{
    constexpr double NotANumber = std::numeric_limits<double>::quiet_NaN();
    constexpr double Infinite = std::numeric_limits<double>::infinity();
    EXPECT_EQ(m_limits.onAnswer(m_instance, NotANumber, m_now, m_now), LimitVerdict::Ignored);
    EXPECT_EQ(m_limits.onAnswer(m_instance, -1, m_now, m_now), LimitVerdict::Unchanged);
    EXPECT_EQ(m_limits.perSecond(m_endpoint), std::nullopt);
    EXPECT_TRUE(maySend(m_limits));
    m_limits.onAnswer(m_instance, 3, m_now, m_now);
    EXPECT_EQ(m_limits.onAnswer(m_instance, Infinite, m_now, m_now), LimitVerdict::Unchanged);
    EXPECT_EQ(m_limits.perSecond(m_endpoint), 3);
    EXPECT_EQ(m_limits.onAnswer(m_instance, 1e300, m_now, m_now), LimitVerdict::Clamped);
    EXPECT_TRUE(maySend(m_limits));
    EXPECT_EQ(m_limits.onAnswer(m_instance, 0, m_now, m_now), LimitVerdict::Clamped);
    // About one request in 20 s is still sent, so that the end of the limit is noticed.
    int sent = 0;
    for (int i = 0; i < 600; ++i, m_now += 100ms) {
        if (maySend(m_limits)) {
            m_limits.onChosen(m_endpoint, m_alone, m_now);
            ++sent;
        }
    }
    EXPECT_GE(sent, 2);
    EXPECT_LE(sent, 5);
}

// Guards against a datagram of any sender that keeps requests from an endpoint: other entries can
// only raise or end a limit, and only that of the same instance.
TEST_F(EndpointLimitsFixture, onRaised_lowerOrUnknownLimit_ignored)
{
    EXPECT_FALSE(m_limits.onRaised(m_instance, 1));
    EXPECT_EQ(m_limits.perSecond(m_endpoint), std::nullopt);
    m_limits.onAnswer(m_instance, 2, m_now, m_now);
    EXPECT_FALSE(m_limits.onRaised(m_instance, 1));
    EXPECT_FALSE(m_limits.onRaised(m_instance, std::numeric_limits<double>::quiet_NaN()));
    EXPECT_FALSE(m_limits.onRaised({EndpointId("e"), 9}, std::nullopt));
    EXPECT_EQ(m_limits.perSecond(m_endpoint), 2);
    EXPECT_TRUE(m_limits.onRaised(m_instance, 4));
    EXPECT_EQ(m_limits.perSecond(m_endpoint), 4);
    EXPECT_TRUE(m_limits.onRaised(m_instance, std::nullopt));
    EXPECT_EQ(m_limits.perSecond(m_endpoint), std::nullopt);
    EXPECT_EQ(m_limits.onAnswer(m_instance, 2, m_now, m_now), LimitVerdict::Applied);
    EXPECT_EQ(m_limits.onAnswer(m_instance, 3, m_now, m_now), LimitVerdict::Raised);
}

// Guards against losing a slot with a request that was never sent, and against two requests in one
// slot.
TEST_F(EndpointLimitsFixture, onNotSent_chosenRequestAbandoned_slotUsedByNext)
{
    m_limits.onAnswer(m_instance, 1, m_now, m_now);
    while (maySend(m_limits))
        m_limits.onChosen(m_endpoint, m_alone, m_now);
    m_limits.onNotSent(m_endpoint.id, m_alone);
    EXPECT_TRUE(maySend(m_limits));
    m_limits.onChosen(m_endpoint, m_alone, m_now);
    EXPECT_FALSE(maySend(m_limits));
}

} // namespace oriolerill::routing
