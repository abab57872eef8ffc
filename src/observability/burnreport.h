#pragma once

#include "domain/timepoint.h"
#include "observability/burnsums.h"

#include <optional>
#include <string>
#include <vector>

namespace oriolerill::observability {

struct Objectives
{
    /// Target share of requests with a complete answer.
    double availability = 0.999;
    domain::Duration firstByteTarget = std::chrono::milliseconds(800);
    /// Target share of answers whose first byte is within firstByteTarget.
    double firstByteShare = 0.95;
};

/// Rate at which the error budget is consumed in one window; at 1 it is used up exactly.
struct BurnRate
{
    double availability = 0.0;
    double firstByte = 0.0;
};

enum class BurnAlert {
    None,
    /// At least 1 over 6 hours and 3 days: the objective is missed at this rate.
    Slow,
    /// At least 14.4 over 5 minutes and 1 hour: a tenth of a 30-day budget is consumed in 5 hours.
    Fast,
};

/// The requests that a line counts; an empty field matches all.
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

/// A rollout or withdrawal in progress; the report lists it because it may explain a high burn
/// rate.
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

/// Burn rates of the service-level objectives for all requests, for each account, data centre and
/// service, and for each of their combinations.
class BurnReport
{
public:
    BurnReport(const BurnSums &sums, Objectives objectives, std::vector<ProgressNote> progress = {},
            std::size_t entries = 1, std::vector<MissingEntry> missing = {});

    /// The line of all requests, then the others by alert, most severe first, and by scope.
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
