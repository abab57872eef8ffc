#pragma once

#include "domain/timepoint.h"
#include "observability/burnsums.h"

#include <optional>
#include <string>
#include <vector>

namespace oriolerill::observability {

struct Objectives
{
    /// Share of requests that are to be answered whole.
    double availability = 0.999;
    domain::Duration firstByteTarget = std::chrono::milliseconds(800);
    /// Share of answers whose first byte is to come within the target.
    double firstByteShare = 0.95;
};

/// How fast one window uses up the error budget: 1 uses it up exactly.
struct BurnRate
{
    double availability = 0.0;
    double firstByte = 0.0;
};

enum class BurnAlert {
    None,
    /// Above 1 over 6 hours and 3 days: the objective will be missed.
    Slow,
    /// At least 14.4 over 5 minutes and 1 hour: a tenth of a 30-day budget goes in 5 hours.
    Fast,
};

/// What a line counts; an empty part stands for all.
struct BurnScope
{
    domain::AccountId account;
    domain::DataCentreId dataCentre;
    domain::ServiceId service;

    friend auto operator<=>(const BurnScope &, const BurnScope &) = default;
};

struct BurnLine
{
    BurnScope scope;
    WindowCounts counts;
    std::array<BurnRate, BurnWindows.size()> rates;
    BurnAlert alert = BurnAlert::None;
};

/// A rollout or withdrawal in progress, shown next to the burn that it may explain.
struct ProgressNote
{
    std::string kind;
    std::string name;
    std::string state;
};

/// An entry whose counters are missing in the report.
struct MissingEntry
{
    std::string name;
    std::string reason;
};

/// Service-level burn of all requests, of each account, data centre and service, and of each of
/// their combinations.
class BurnReport
{
public:
    BurnReport(const BurnSums &sums, Objectives objectives, std::vector<ProgressNote> progress = {},
            std::size_t entries = 1, std::vector<MissingEntry> missing = {});

    /// The line of all requests first; then alerts first, then by scope.
    const std::vector<BurnLine> &lines() const { return m_lines; }

    std::string toText() const;
    std::string toJson() const;
    /// Burn rates and requests of the windows as gauges in the Prometheus text format. The lines of
    /// combinations are left out, because their number grows with the product of the labels.
    std::string toMetrics() const;

private:
    void addLine(const BurnScope &scope, const WindowCounts &counts);

    Objectives m_objectives;
    std::vector<ProgressNote> m_progress;
    std::size_t m_entries;
    std::vector<MissingEntry> m_missing;
    std::vector<BurnLine> m_lines;
};

} // namespace oriolerill::observability
