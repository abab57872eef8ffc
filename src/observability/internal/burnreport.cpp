#include "observability/burnreport.h"

#include <boost/json/array.hpp>
#include <boost/json/object.hpp>
#include <boost/json/serialize.hpp>

#include <algorithm>
#include <cstdio>
#include <map>
#include <set>
#include <sstream>
#include <utility>

namespace oriolerill::observability {

namespace json = boost::json;

namespace {

constexpr double FastBurn = 14.4;
constexpr double SlowBurn = 1.0;
constexpr std::size_t FiveMinutes = 0;
constexpr std::size_t OneHour = 1;
constexpr std::size_t SixHours = 2;
constexpr std::size_t ThreeDays = 3;

double shareOf(std::uint64_t part, std::uint64_t total)
{
    return total == 0 ? 0.0 : static_cast<double>(part) / static_cast<double>(total);
}

BurnRate rateOf(const BurnCounts &counts, const Objectives &objectives)
{
    BurnRate rate;
    rate.availability = shareOf(counts.failed(), counts.total()) / (1.0 - objectives.availability);
    rate.firstByte = shareOf(counts.late, counts.answered) / (1.0 - objectives.firstByteShare);
    return rate;
}

BurnAlert alertOf(const std::array<BurnRate, BurnWindows.size()> &rates)
{
    // The short window ends the alert soon after the burn has stopped.
    const auto exceedsLimit = [&](std::size_t shortWindow, std::size_t longWindow, double limit) {
        const BurnRate &shortRate = rates[shortWindow];
        const BurnRate &longRate = rates[longWindow];
        return (shortRate.availability >= limit && longRate.availability >= limit)
                || (shortRate.firstByte >= limit && longRate.firstByte >= limit);
    };
    if (exceedsLimit(FiveMinutes, OneHour, FastBurn))
        return BurnAlert::Fast;
    return exceedsLimit(SixHours, ThreeDays, SlowBurn) ? BurnAlert::Slow : BurnAlert::None;
}

/// The scopes in which a key is counted, without duplicates.
std::set<BurnScope> scopesOf(const BurnKey &key)
{
    return {{}, {key.account, {}, {}}, {{}, key.dataCentre, {}}, {{}, {}, key.service},
            {key.account, key.dataCentre, key.service}};
}

std::string_view nameOf(BurnAlert alert)
{
    switch (alert) {
    case BurnAlert::None:
        return "none";
    case BurnAlert::Slow:
        return "slow";
    case BurnAlert::Fast:
        return "fast";
    }
    return "none";
}

std::string nameOf(const BurnScope &scope)
{
    std::string name;
    const auto append = [&name](const char *label, const std::string &value) {
        if (!value.empty())
            name += (name.empty() ? "" : " ") + std::string(label) + '=' + value;
    };
    append("account", scope.account.value());
    append("data_centre", scope.dataCentre.value());
    append("service", scope.service.value());
    return name.empty() ? "all requests" : name;
}

std::string fixed(double value)
{
    char text[32] = {};
    std::snprintf(text, sizeof text, "%.2f", value);
    return text;
}

std::string percent(double share)
{
    std::ostringstream text;
    text << share * 100 << '%';
    return text.str();
}

std::int64_t millisecondsOf(domain::Duration duration)
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(duration).count();
}

void appendWindow(
        std::ostream &text, std::string_view name, const BurnCounts &counts, const BurnRate &rate)
{
    char line[200] = {};
    std::snprintf(line, sizeof line, "  %-6.*s %10llu %12s %12s %9llu %9llu %9llu %9llu\n",
            static_cast<int>(name.size()), name.data(),
            static_cast<unsigned long long>(counts.total()), fixed(rate.availability).c_str(),
            fixed(rate.firstByte).c_str(), static_cast<unsigned long long>(counts.refused),
            static_cast<unsigned long long>(counts.late),
            static_cast<unsigned long long>(counts.cut),
            static_cast<unsigned long long>(counts.unknown));
    text << line;
}

void appendLine(std::ostream &text, const BurnLine &line)
{
    text << '\n' << nameOf(line.scope);
    if (line.alert != BurnAlert::None)
        text << "  ALERT: " << nameOf(line.alert) << " burn";
    text << "\n  window   requests   avail.burn  1stbyte.burn   refused      late       cut   "
            "unknown\n";
    for (std::size_t i = 0; i < BurnWindows.size(); ++i)
        appendWindow(text, BurnWindows[i].name, line.counts[i], line.rates[i]);
}

bool isCombination(const BurnScope &scope)
{
    const int parts = (scope.account.isEmpty() ? 0 : 1) + (scope.dataCentre.isEmpty() ? 0 : 1)
            + (scope.service.isEmpty() ? 0 : 1);
    return parts > 1;
}

/// The values need no escaping: they are names of configuration items.
std::string labelsOf(const BurnScope &scope, std::string_view window)
{
    return "{account=\"" + scope.account.value() + "\",data_centre=\"" + scope.dataCentre.value()
            + "\",service=\"" + scope.service.value() + "\",window=\"" + std::string(window) + '"';
}

void appendRates(std::ostream &text, const BurnLine &line, std::size_t window)
{
    const std::string labels = labelsOf(line.scope, BurnWindows[window].name);
    text << "oriolerill_burn_rate" << labels << ",objective=\"availability\"} "
         << line.rates[window].availability << "\noriolerill_burn_rate" << labels
         << ",objective=\"first_byte\"} " << line.rates[window].firstByte << '\n';
}

void appendRequests(std::ostream &text, const BurnLine &line, std::size_t window)
{
    const std::string labels = labelsOf(line.scope, BurnWindows[window].name);
    const BurnCounts &counts = line.counts[window];
    const auto append = [&](const char *outcome, std::uint64_t count) {
        text << "oriolerill_requests_in_window" << labels << ",outcome=\"" << outcome << "\"} "
             << count << '\n';
    };
    append("answered", counts.answered);
    append("late", counts.late);
    append("refused", counts.refused);
    append("cut", counts.cut);
    append("unknown", counts.unknown);
}

json::object toObject(const BurnLine &line)
{
    json::object windows;
    for (std::size_t i = 0; i < BurnWindows.size(); ++i) {
        const BurnCounts &counts = line.counts[i];
        windows[BurnWindows[i].name] = json::object{{"requests", counts.total()},
                {"availabilityBurn", line.rates[i].availability},
                {"firstByteBurn", line.rates[i].firstByte},
                {"burnedBy",
                        {{"refused", counts.refused}, {"late", counts.late}, {"cut", counts.cut},
                                {"unknown", counts.unknown}}}};
    }
    return {{"account", line.scope.account.value()}, {"dataCentre", line.scope.dataCentre.value()},
            {"service", line.scope.service.value()}, {"alert", std::string(nameOf(line.alert))},
            {"windows", std::move(windows)}};
}

} // namespace

BurnReport::BurnReport(const BurnSums &sums, Objectives objectives,
        std::vector<ProgressNote> progress, std::size_t entries, std::vector<MissingEntry> missing)
    : m_objectives(objectives)
    , m_progress(std::move(progress))
    , m_entries(entries)
    , m_missing(std::move(missing))
{
    std::map<BurnScope, WindowCounts> scopes = {{BurnScope(), WindowCounts()}};
    for (const auto &[key, counts] : sums.counts()) {
        for (const BurnScope &scope : scopesOf(key)) {
            for (std::size_t i = 0; i < counts.size(); ++i)
                scopes[scope][i] += counts[i];
        }
    }
    for (const auto &[scope, counts] : scopes)
        addLine(scope, counts);
    std::stable_sort(m_lines.begin() + 1, m_lines.end(),
            [](const BurnLine &a, const BurnLine &b) { return a.alert > b.alert; });
}

void BurnReport::addLine(const BurnScope &scope, const WindowCounts &counts)
{
    BurnLine line;
    line.scope = scope;
    line.counts = counts;
    for (std::size_t i = 0; i < counts.size(); ++i)
        line.rates[i] = rateOf(counts[i], m_objectives);
    line.alert = alertOf(line.rates);
    m_lines.push_back(line);
}

std::string BurnReport::toText() const
{
    std::ostringstream text;
    text << "service-level burn, counted by " << m_entries << " of " << m_entries + m_missing.size()
         << " entries\n";
    for (const MissingEntry &entry : m_missing)
        text << "not counted: " << entry.name << ": " << entry.reason << '\n';
    text << "objectives: " << percent(m_objectives.availability)
         << " answered whole; first byte within " << millisecondsOf(m_objectives.firstByteTarget)
         << " ms for " << percent(m_objectives.firstByteShare) << '\n';
    text << "in progress:" << (m_progress.empty() ? " nothing" : "") << '\n';
    for (const ProgressNote &note : m_progress)
        text << "  " << note.kind << ' ' << note.name << ": " << note.state << '\n';
    for (const BurnLine &line : m_lines)
        appendLine(text, line);
    return text.str();
}

std::string BurnReport::toMetrics() const
{
    std::ostringstream text;
    text << "# TYPE oriolerill_burn_rate gauge\n";
    for (const BurnLine &line : m_lines) {
        for (std::size_t i = 0; !isCombination(line.scope) && i < BurnWindows.size(); ++i)
            appendRates(text, line, i);
    }
    text << "# TYPE oriolerill_requests_in_window gauge\n";
    for (const BurnLine &line : m_lines) {
        for (std::size_t i = 0; !isCombination(line.scope) && i < BurnWindows.size(); ++i)
            appendRequests(text, line, i);
    }
    return text.str();
}

std::string BurnReport::toJson() const
{
    json::array progress;
    for (const ProgressNote &note : m_progress)
        progress.push_back({{"kind", note.kind}, {"name", note.name}, {"state", note.state}});
    json::array missing;
    for (const MissingEntry &entry : m_missing)
        missing.push_back({{"name", entry.name}, {"reason", entry.reason}});
    json::array lines;
    for (const BurnLine &line : m_lines)
        lines.push_back(toObject(line));
    return json::serialize(json::object{{"entries", m_entries}, {"missing", std::move(missing)},
            {"objectives",
                    {{"availability", m_objectives.availability},
                            {"firstByteMs", millisecondsOf(m_objectives.firstByteTarget)},
                            {"firstByteShare", m_objectives.firstByteShare}}},
            {"inProgress", std::move(progress)}, {"lines", std::move(lines)}});
}

} // namespace oriolerill::observability
