#include "routing/returnforecast.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <vector>

namespace oriolerill::routing {

using namespace std::chrono_literals;
using domain::TimePoint;

class ReturnForecastFixture : public testing::Test
{
protected:
    ReturnForecast m_forecast;
    std::mt19937_64 m_random{5};
    TimePoint m_now{1h};
};

// Guards against Retry-After values that let all callers return at once, when few slots are free.
TEST_F(ReturnForecastFixture, retryAfter_manyRefused_returnsFollowFreeSlots)
{
    std::vector<domain::Duration> times;
    times.reserve(40);
    for (int i = 0; i < 40; ++i)
        times.push_back(m_forecast.retryAfter(1, 0ms, 20, m_random, m_now));
    EXPECT_LE(times.front(), 120ms);
    EXPECT_GE(times[10], 350ms);
    for (const domain::Duration time : times) {
        EXPECT_GE(time, 60ms);
        EXPECT_LE(time, 1500ms);
        // No more callers within 100 ms than a few times the slots that become free in it.
        const auto near = [&](domain::Duration other) { return abs(other - time) <= 50ms; };
        EXPECT_LE(std::count_if(times.begin(), times.end(), near), 9);
    }
    // Callers of a more urgent rank are not behind them, and those who were due are gone.
    EXPECT_LE(m_forecast.retryAfter(0, 0ms, 20, m_random, m_now), 120ms);
    EXPECT_LE(m_forecast.retryAfter(1, 0ms, 20, m_random, m_now + 2s), 120ms);
}

// Guards against taking first attempts for returns, also when the first request that this entry
// sees is a return, and when callers state another time later.
TEST_F(ReturnForecastFixture, isReturn_shorterTimeLeftThanFirstAttempts_recognised)
{
    EXPECT_FALSE(m_forecast.isReturn("r", 5500ms, m_now));
    EXPECT_FALSE(m_forecast.isReturn("r", 6000ms, m_now));
    EXPECT_FALSE(m_forecast.isReturn("r", 5990ms, m_now));
    EXPECT_TRUE(m_forecast.isReturn("r", 5900ms, m_now));
    EXPECT_FALSE(m_forecast.isReturn("other", 2000ms, m_now));
    EXPECT_TRUE(m_forecast.isReturn("r", 4000ms, m_now + 6s));
    EXPECT_FALSE(m_forecast.isReturn("r", 4000ms, m_now + 12s));
}

} // namespace oriolerill::routing
