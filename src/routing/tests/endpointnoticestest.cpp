#include "routing/endpointnotices.h"

#include <gtest/gtest.h>

#include <limits>

namespace oriolerill::routing {

using namespace std::chrono_literals;
using domain::EndpointId;
using domain::TimePoint;

class EndpointNoticesFixture : public testing::Test
{
protected:
    static ListedEndpoint listed(const std::string &id, std::uint64_t startedAtMs)
    {
        ListedEndpoint endpoint;
        endpoint.id = EndpointId(id);
        endpoint.startedAtMs = startedAtMs;
        return endpoint;
    }

    TimePoint m_now{1h};
    EndpointNotices m_notices;
};

// Guards against a notice that outlives its instance when a new one starts under the same id, and
// against one of the old instance, come late, that strikes the new one.
TEST_F(EndpointNoticesFixture, onLeaving_restartUnderSameId_onlyTheOldInstanceLeaves)
{
    EXPECT_TRUE(m_notices.onLeaving({EndpointId("e"), 5}, m_now));
    EXPECT_FALSE(m_notices.onLeaving({EndpointId("e"), 5}, m_now));
    EXPECT_TRUE(m_notices.isLeaving(listed("e", 5)));
    EXPECT_FALSE(m_notices.isLeaving(listed("e", 9)));
    EXPECT_FALSE(m_notices.isLeaving(listed("f", 5)));
    m_notices.onBackoff({EndpointId("e"), 9}, 1, m_now);
    EXPECT_FALSE(m_notices.onLeaving({EndpointId("e"), 5}, m_now));
    EXPECT_FALSE(m_notices.isLeaving(listed("e", 9)));
}

// Guards against times that are no time: they are bounded or left out, and never end in the past
// what was asked for before.
TEST_F(EndpointNoticesFixture, onQuiet_timesOutOfBounds_boundedOrIgnored)
{
    const EndpointInstance instance{EndpointId("e"), 5};
    constexpr double Year = 31.5e6;
    EXPECT_EQ(m_notices.onBackoff(instance, std::numeric_limits<double>::quiet_NaN(), m_now),
            BackoffVerdict::Ignored);
    EXPECT_EQ(m_notices.onBackoff(instance, -1, m_now), BackoffVerdict::Ignored);
    EXPECT_FALSE(m_notices.backoffUntil(listed("e", 5), m_now));
    EXPECT_EQ(m_notices.onBackoff(instance, 0.4, m_now), BackoffVerdict::Applied);
    EXPECT_EQ(m_notices.backoffUntil(listed("e", 5), m_now), m_now + 400ms);
    EXPECT_EQ(m_notices.onBackoff(instance, 0.1, m_now), BackoffVerdict::Applied);
    EXPECT_EQ(m_notices.backoffUntil(listed("e", 5), m_now), m_now + 400ms);
    EXPECT_FALSE(m_notices.backoffUntil(listed("e", 5), m_now + 400ms));
    EXPECT_EQ(m_notices.onBackoff(instance, Year, m_now), BackoffVerdict::Shortened);
    EXPECT_EQ(m_notices.backoffUntil(listed("e", 5), m_now), m_now + 5min);
}

// Guards against notices that grow with all endpoints that ever left, and against a datagram that
// does not hold what is told to others.
TEST_F(EndpointNoticesFixture, told_manyLeave_newestAndFew)
{
    for (int i = 0; i < 10000; ++i) {
        m_now += 1ms;
        m_notices.onLeaving({EndpointId("e" + std::to_string(i)), 1}, m_now);
    }
    const auto recentlyLeaving = m_notices.recentlyLeaving(m_now);
    ASSERT_EQ(recentlyLeaving.size(), 16U);
    EXPECT_EQ(recentlyLeaving.front().id, EndpointId("e9999"));
    EXPECT_TRUE(m_notices.isLeaving(listed("e9000", 1)));
    EXPECT_FALSE(m_notices.isLeaving(listed("e100", 1)));
    EXPECT_TRUE(m_notices.recentlyLeaving(m_now + 11s).empty());
}

} // namespace oriolerill::routing
