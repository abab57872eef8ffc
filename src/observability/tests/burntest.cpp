#include "observability/burnrecorder.h"
#include "observability/burnreport.h"

#include <gtest/gtest.h>

#include <algorithm>

namespace oriolerill::observability {

using namespace std::chrono_literals;

class BurnFixture : public testing::Test
{
protected:
    void add(const char *account, RequestOutcome outcome, int count, domain::Duration age,
            domain::Duration firstByte = 100ms)
    {
        RequestRecord record;
        record.account = domain::AccountId(account);
        record.service = domain::ServiceId("chat");
        record.dataCentre = domain::DataCentreId("salto-a");
        record.outcome = outcome;
        record.firstByte = firstByte;
        record.finishedAt = m_now - std::chrono::duration_cast<std::chrono::seconds>(age);
        for (int i = 0; i < count; ++i)
            m_recorder.record(record);
    }
    BurnLine line(const char *account) const
    {
        const BurnReport report(m_recorder.sums(m_now), m_objectives);
        for (const BurnLine &line : report.lines()) {
            if (line.scope.account.value() == account && line.scope.service.isEmpty())
                return line;
        }
        return {};
    }

    // The first second of a minute and of a quarter of an hour.
    domain::WallTime m_now{std::chrono::hours(500000)};
    BurnRecorder m_recorder{{800ms, 100}};
    Objectives m_objectives = {0.99, 800ms, 0.9};
};

// Guards against burn rates that differ from the definition. Budget: 1 % failed, 10 % late.
TEST_F(BurnFixture, report_recordedCounts_ratesMatchDefinition)
{
    add("shop", RequestOutcome::Answered, 70, 1min);
    add("shop", RequestOutcome::Answered, 20, 1min, 900ms);
    add("shop", RequestOutcome::NotRun, 5, 1min);
    add("shop", RequestOutcome::Cut, 3, 1min);
    add("shop", RequestOutcome::Unknown, 2, 1min);
    add("shop", RequestOutcome::Answered, 300, 30min);
    const BurnLine shop = line("shop");
    // 5 minutes: 10 of 100 failed = 10 % against 1 %; 20 of 90 late = 22.2 % against 10 %.
    EXPECT_EQ(shop.counts[0], (BurnCounts{90, 20, 5, 3, 2}));
    EXPECT_NEAR(shop.rates[0].availability, 10.0, 1e-9);
    EXPECT_NEAR(shop.rates[0].firstByte, 20.0 / 9.0, 1e-9);
    // 1 hour: 10 of 400 failed = 2.5 %; 20 of 390 late = 5.13 %.
    EXPECT_NEAR(shop.rates[1].availability, 2.5, 1e-9);
    EXPECT_NEAR(shop.rates[1].firstByte, 20.0 / 39.0, 1e-9);
    EXPECT_EQ(shop.counts[3], shop.counts[1]);
}

// Guards against requests that are counted in a window that no longer covers them, or are not
// counted at all.
TEST_F(BurnFixture, sums_recordsAtWindowEdges_countedInMatchingWindows)
{
    add("shop", RequestOutcome::Answered, 1, 0min);
    add("shop", RequestOutcome::Answered, 10, 4min);
    add("shop", RequestOutcome::Answered, 100, 5min);
    add("shop", RequestOutcome::Answered, 1000, 60min);
    add("shop", RequestOutcome::Answered, 10000, 6h);
    add("shop", RequestOutcome::Answered, 20000, 72h);
    const BurnLine shop = line("shop");
    EXPECT_EQ(shop.counts[0].total(), 11U);
    EXPECT_EQ(shop.counts[1].total(), 111U);
    EXPECT_EQ(shop.counts[2].total(), 1111U);
    EXPECT_EQ(shop.counts[3].total(), 11111U);
}

// Guards against records lost when the wall clock steps back.
TEST_F(BurnFixture, sums_recordsOutOfOrder_allCounted)
{
    add("shop", RequestOutcome::Answered, 1, 3min);
    add("shop", RequestOutcome::Answered, 1, 1min);
    add("shop", RequestOutcome::Answered, 1, 2min);
    add("shop", RequestOutcome::Answered, 1, 3min);
    EXPECT_EQ(line("shop").counts[0].total(), 4U);
}

// Guards against alerts for a short spike and missing alerts for a lasting burn.
TEST_F(BurnFixture, alert_spikeAndLastingBurn_bothWindowsRequired)
{
    add("spike", RequestOutcome::Answered, 1000, 30min);
    add("spike", RequestOutcome::NotRun, 20, 1min);
    add("fast", RequestOutcome::Answered, 50, 30min);
    add("fast", RequestOutcome::NotRun, 50, 1min);
    add("slow", RequestOutcome::Answered, 97, 2h);
    add("slow", RequestOutcome::Unknown, 3, 2h);
    // 20 of 1020 failed in 3 days: a rate of 1.96 over 6 hours and 3 days is slow, not fast.
    EXPECT_EQ(line("spike").alert, BurnAlert::Slow);
    EXPECT_EQ(line("fast").alert, BurnAlert::Fast);
    EXPECT_EQ(line("slow").alert, BurnAlert::Slow);
    add("spike", RequestOutcome::Answered, 2000, 30min);
    EXPECT_EQ(line("spike").alert, BurnAlert::None);
}

// Guards against entries that are counted twice or not at all in the sum of several entries.
TEST_F(BurnFixture, merge_twoEntries_addsTheCounts)
{
    add("shop", RequestOutcome::Answered, 6, 1min);
    add("shop", RequestOutcome::NotRun, 1, 1min);
    BurnSums sums = m_recorder.sums(m_now);
    const auto other = BurnSums::fromJson(sums.toJson());
    ASSERT_TRUE(other);
    sums.merge(*other);
    const BurnReport report(sums, m_objectives, {{"withdrawal", "salto-a", "in force"}}, 2,
            {{"entry-3", "timeout"}});
    EXPECT_EQ(report.lines().front().counts[0], (BurnCounts{12, 0, 2, 0, 0}));
    EXPECT_NEAR(report.lines().front().rates[0].availability, 100.0 / 7.0, 1e-9);
    const std::string text = report.toText();
    EXPECT_NE(text.find("counted by 2 of 3 entries\nnot counted: entry-3: timeout"),
            std::string::npos)
            << text;
    EXPECT_NE(text.find("withdrawal salto-a: in force"), std::string::npos);
    EXPECT_NE(
            text.find("  5m             14        14.29         0.00         2"), std::string::npos)
            << text;
    EXPECT_NE(report.toJson().find("\"refused\":2"), std::string::npos);
}

// Guards against a series for each combination of account, data centre and service.
TEST_F(BurnFixture, toMetrics_oneKey_singleScopesOnly)
{
    add("shop", RequestOutcome::Answered, 3, 1min);
    add("shop", RequestOutcome::Cut, 1, 1min);
    const std::string text = BurnReport(m_recorder.sums(m_now), m_objectives).toMetrics();
    // 1 of 4 failed against 1 %.
    EXPECT_NE(text.find("oriolerill_burn_rate{account=\"shop\",data_centre=\"\",service=\"\","
                        "window=\"5m\",objective=\"availability\"} 25\n"),
            std::string::npos)
            << text;
    EXPECT_NE(text.find("oriolerill_requests_in_window{account=\"\",data_centre=\"\","
                        "service=\"chat\",window=\"3d\",outcome=\"cut\"} 1\n"),
            std::string::npos)
            << text;
    // Two types and the scopes all, account, data centre and service with 4 windows of 7 values.
    EXPECT_EQ(std::count(text.begin(), text.end(), '\n'), 2 + 4 * 4 * 7);
}

TEST_F(BurnFixture, fromJson_otherText_refused)
{
    for (const char *text : {"", "[]", "{}", "{\"keys\":[{}]}", "{\"keys\":[{\"account\":1}]}"})
        EXPECT_FALSE(BurnSums::fromJson(text)) << text;
}

// Guards against unbounded memory when requests have ever more accounts.
TEST_F(BurnFixture, record_tooManyKeys_countedAsOther)
{
    for (int i = 0; i < 150; ++i)
        add(("account-" + std::to_string(i)).c_str(), RequestOutcome::Answered, 1, 1min);
    EXPECT_EQ(m_recorder.sums(m_now).counts().size(), 101U);
    EXPECT_EQ(line("other").counts[0].total(), 50U);
}

} // namespace oriolerill::observability
