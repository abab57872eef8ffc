#include "settings/settingsloader.h"

#include <gtest/gtest.h>

#include <algorithm>

namespace oriolerill::settings {

using namespace std::chrono_literals;

namespace {

constexpr std::string_view GoodEntry = R"([entry]
id = entry-1
data_centre = salto-a
region = litoral

[listen]
caller = 127.0.0.1:8000
peer = 127.0.0.1:8001
control = 127.0.0.1:8002
admin = 127.0.0.1:8003

# a comment
[advertise]
peer = 10.0.0.1:8001

[platform]
address = 127.0.0.1:9000
[seeds]
entries = 127.0.0.1:8002, 127.0.0.2:8002
[requests]
max_deadline_ms = 60000
[log]
level = warning
)";

std::string textOf(const std::vector<SettingsProblem> &problems)
{
    std::ostringstream stream;
    for (const SettingsProblem &problem : problems)
        stream << problem << '\n';
    return stream.str();
}

} // namespace

class SettingsFixture : public testing::Test
{
protected:
    static std::string withLine(std::string_view line)
    {
        return std::string(GoodEntry) + std::string(line) + '\n';
    }
};

// Guards against keys that are accepted but set nothing, and lost defaults.
TEST_F(SettingsFixture, parse_goodEntry_valuesAndDefaults)
{
    const auto loaded = parseEntrySettings("entry.ini", GoodEntry);
    EXPECT_EQ(textOf(loaded.problems), "");
    EXPECT_EQ(loaded.settings.id.value(), "entry-1");
    EXPECT_EQ(loaded.settings.advertisePeer.toString(), "10.0.0.1:8001");
    EXPECT_EQ(loaded.settings.advertiseControl.toString(), "127.0.0.1:8002");
    EXPECT_EQ(loaded.settings.seedEntries.size(), 2U);
    EXPECT_EQ(loaded.settings.maxDeadline, 60s);
    EXPECT_EQ(loaded.settings.workers, 2U);
    EXPECT_EQ(loaded.settings.logLevel, LogLevel::Warning);
}

// Guards against a report that stops at the first problem, so that an operator needs a new start
// for each problem.
TEST_F(SettingsFixture, parse_manyProblems_allReportedWithLineAndRemedy)
{
    const auto loaded = parseEntrySettings("entry.ini",
            "[entry]\n"
            "id = Entry 1\n"
            "workers = 0\n"
            "workers = 3\n"
            "colour = red\n"
            "[lisen]\n"
            "admin = 127.0.0.1:8003\n"
            "[listen]\n"
            "caller = localhost:80\n"
            "nonsense\n"
            "[entry]\n");
    const std::string text = textOf(loaded.problems);
    EXPECT_NE(text.find("entry.ini:2: [entry] id has the bad value \"Entry 1\"; give a name"),
            std::string::npos)
            << text;
    EXPECT_NE(text.find("entry.ini:3: [entry] workers has the bad value \"0\""), std::string::npos);
    EXPECT_NE(text.find("entry.ini:4: [entry] workers is set twice; first at line 3"),
            std::string::npos);
    EXPECT_NE(text.find("entry.ini:5: [entry] colour is unknown; use one of: id,"),
            std::string::npos);
    EXPECT_NE(text.find("entry.ini:6: section [lisen] is unknown"), std::string::npos);
    EXPECT_NE(text.find("entry.ini:9: [listen] caller has the bad value"), std::string::npos);
    EXPECT_NE(text.find("entry.ini:10: the line is neither"), std::string::npos);
    EXPECT_NE(text.find("entry.ini:11: section [entry] is repeated"), std::string::npos);
    EXPECT_NE(text.find("entry.ini: [platform] address is missing; add it"), std::string::npos);
    // The eight above and data_centre, region, peer, control, admin and platform address.
    EXPECT_EQ(loaded.problems.size(), 14U) << text;
}

// Guards against numbers outside the range, with trailing text or with a sign.
TEST_F(SettingsFixture, parse_badNumbers_refused)
{
    for (const char *value : {"1.0", "0", "nan", "-0.5", "0.9x", ""}) {
        const auto text = withLine("[objectives]\navailability = " + std::string(value));
        EXPECT_EQ(parseEntrySettings("entry.ini", text).problems.size(), 1U) << value;
    }
    for (const char *value : {"-1", "99999999999999999999", "10 ms", "0x10"}) {
        const auto text = withLine("[shutdown]\ndrain_ms = " + std::string(value));
        EXPECT_EQ(parseEntrySettings("entry.ini", text).problems.size(), 1U) << value;
    }
}

// Guards against a default deadline above the maximum that callers may request.
TEST_F(SettingsFixture, parse_defaultAboveMaximum_refused)
{
    std::string text(GoodEntry);
    text.replace(text.find("60000"), 5, "1000");
    EXPECT_NE(textOf(parseEntrySettings("entry.ini", text).problems).find("above max_deadline_ms"),
            std::string::npos);
}

// Guards against an engine's agent that starts without a source of weights.
TEST_F(SettingsFixture, parse_engineWithoutOrigin_refused)
{
    const std::string text = "[agent]\nid = vm-1\ndata_centre = salto-a\nregion = litoral\n"
                             "service = chat\n[listen]\nrequest = 127.0.0.1:1\n"
                             "control = 127.0.0.1:2\n[endpoint]\naddress = 127.0.0.1:3\n"
                             "kind = engine\n[platform]\naddress = 127.0.0.1:4\n";
    EXPECT_EQ(parseAgentSettings("agent.ini", text).problems.size(), 1U);
    const auto loaded = parseAgentSettings("agent.ini", text + "[origin]\naddress = 127.0.0.1:5\n");
    EXPECT_EQ(textOf(loaded.problems), "");
    EXPECT_EQ(loaded.settings.advertiseRequest.port, 1);
}

// Guards against keys that are missing from the help or described twice.
TEST_F(SettingsFixture, keys_everyKey_describedOnce)
{
    for (const auto &keys : {entrySettingsKeys(), agentSettingsKeys(), relaySettingsKeys(),
                 relayAgentSettingsKeys()}) {
        const std::string help = settingsHelp(keys);
        for (const KeyDescription &key : keys) {
            EXPECT_FALSE(key.description.empty()) << key.name;
            EXPECT_FALSE(key.range.empty()) << key.name;
            EXPECT_NE(help.find(key.description), std::string::npos) << key.name;
            EXPECT_EQ(std::count_if(keys.begin(), keys.end(),
                              [&](const KeyDescription &other) {
                                  return other.section == key.section && other.name == key.name;
                              }),
                    1)
                    << key.name;
        }
    }
}

// Guards against an entry that starts without the region of its data centre, or with malformed
// pairs.
TEST_F(SettingsFixture, parse_relayRegions_checkedAgainstDataCentre)
{
    const auto text = [](const std::string &regions) {
        return "[entry]\nid = e1\ndata_centre = a\n[fleet]\nregions = " + regions
                + "\n[listen]\ncaller = 127.0.0.1:1\nstatus = 127.0.0.1:2\n"
                  "metrics = 127.0.0.1:3\nload = 127.0.0.1:4\n[store]\naddress = 127.0.0.1:5\n";
    };
    const auto good = parseRelaySettings("relay.ini", text("a=north,b=south"));
    EXPECT_TRUE(good.problems.empty());
    EXPECT_EQ(good.settings.regions.at("b"), "south");
    EXPECT_EQ(parseRelaySettings("relay.ini", text("b=south")).problems.size(), 1U);
    EXPECT_FALSE(parseRelaySettings("relay.ini", text("a:north")).problems.empty());
}

// Guards against a number beyond the range of a time point as one of the operators' bounds.
TEST_F(SettingsFixture, parse_relayNumberOutOfRange_refused)
{
    const auto stopAfter = [](const std::string &seconds) {
        return "[entry]\nid = e1\ndata_centre = a\n[fleet]\nregions = a=north\n"
               "[listen]\ncaller = 127.0.0.1:1\nstatus = 127.0.0.1:2\n"
               "metrics = 127.0.0.1:3\nload = 127.0.0.1:4\n[store]\naddress = 127.0.0.1:5\n"
               "[shutdown]\nstop_s = "
                + seconds + '\n';
    };
    const auto good = parseRelaySettings("relay.ini", stopAfter("4.5"));
    EXPECT_TRUE(good.problems.empty());
    EXPECT_EQ(good.settings.stopSeconds, 4.5);
    for (const char *value : {"inf", "nan", "-1", "1e300", "soon"})
        EXPECT_EQ(parseRelaySettings("relay.ini", stopAfter(value)).problems.size(), 1U) << value;
}

} // namespace oriolerill::settings
