#include "observability/metrics.h"

#include <gtest/gtest.h>

#include <thread>
#include <vector>

namespace oriolerill::observability {

using namespace std::chrono_literals;

class MetricsFixture : public testing::Test
{
protected:
    domain::TimePoint m_now = domain::TimePoint() + 1h;
    Metrics m_metrics{[this] { return m_now; }, 20};
};

TEST_F(MetricsFixture, exposition_allKinds_prometheusText)
{
    m_metrics.increment("requests_total", {{"outcome", "not-run"}}, 2);
    m_metrics.increment("requests_total", {{"outcome", "an\"swered"}});
    m_metrics.set("open_connections", 3);
    for (int i = 1; i <= 100; ++i)
        m_metrics.observe("first_byte_seconds", i);
    const std::string text = m_metrics.exposition();
    EXPECT_NE(text.find("# TYPE requests_total counter\n"
                        "requests_total{outcome=\"an\\\"swered\"} 1\n"
                        "requests_total{outcome=\"not-run\"} 2\n"),
            std::string::npos)
            << text;
    EXPECT_NE(text.find("# TYPE open_connections gauge\nopen_connections 3\n"), std::string::npos);
    EXPECT_NE(text.find("# TYPE first_byte_seconds summary\n"
                        "first_byte_seconds{quantile=\"0.5\"} 50\n"
                        "first_byte_seconds{quantile=\"0.95\"} 95\n"
                        "first_byte_seconds{quantile=\"0.99\"} 99\n"
                        "first_byte_seconds_sum 5050\n"
                        "first_byte_seconds_count 100\n"),
            std::string::npos)
            << text;
    EXPECT_NE(text.find("first_byte_seconds_recent_max 100\n"), std::string::npos);
}

// Guards against inaccurate quantile estimates for more samples than are stored.
TEST_F(MetricsFixture, summary_manySamples_nearTheTrueQuantiles)
{
    Distribution distribution(m_now);
    // 7919 is prime, so this visits 0..9999 once each in a scattered order.
    for (int i = 0; i < 10000; ++i)
        distribution.add((i * 7919) % 10000, m_now);
    const DistributionSummary summary = distribution.summary(m_now);
    EXPECT_NEAR(summary.p50, 5000, 250);
    EXPECT_NEAR(summary.p95, 9500, 250);
    EXPECT_NEAR(summary.p99, 9900, 100);
    EXPECT_EQ(summary.max, 9999);
    EXPECT_EQ(summary.count, 10000U);
}

// Guards against quantiles that still show an incident long after it has ended.
TEST_F(MetricsFixture, summary_afterTwoWindows_oldSamplesExcluded)
{
    Distribution distribution(m_now);
    for (int i = 0; i < 50; ++i)
        distribution.add(1000, m_now);
    EXPECT_EQ(distribution.summary(m_now + 30s).max, 1000);
    distribution.add(1, m_now + 61s);
    EXPECT_EQ(distribution.summary(m_now + 62s).max, 1000);
    distribution.add(1, m_now + 125s);
    const DistributionSummary summary = distribution.summary(m_now + 125s);
    EXPECT_EQ(summary.max, 1);
    EXPECT_EQ(summary.p99, 1);
    EXPECT_EQ(summary.count, 52U);
}

// Guards against unbounded memory when a label has an unlimited number of values.
TEST_F(MetricsFixture, increment_tooManySeries_countedAsDropped)
{
    for (int i = 0; i < 25; ++i)
        m_metrics.increment("requests_total", {{"account", std::to_string(i)}});
    m_metrics.increment("requests_total", {{"account", "0"}});
    EXPECT_EQ(m_metrics.counter("requests_total", {{"account", "0"}}), 2U);
    EXPECT_NE(
            m_metrics.exposition().find("oriolerill_metrics_dropped_total 5\n"), std::string::npos);
}

// Guards against lost updates from several workers.
TEST_F(MetricsFixture, increment_fromManyThreads_allCounted)
{
    std::vector<std::thread> threads(4);
    for (std::thread &thread : threads) {
        thread = std::thread([this] {
            for (int j = 0; j < 1000; ++j)
                m_metrics.increment("requests_total");
        });
    }
    for (std::thread &thread : threads)
        thread.join();
    EXPECT_EQ(m_metrics.counter("requests_total"), 4000U);
}

} // namespace oriolerill::observability
