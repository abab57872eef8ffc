#pragma once

#include "observability/distribution.h"
#include "observability/imetrics.h"

#include <cstdint>
#include <functional>
#include <map>
#include <mutex>
#include <string>

namespace oriolerill::observability {

/// Metrics in memory with a text exposition for Prometheus. Safe to use from all workers.
///
/// The number of series is bounded; updates of further series are counted as dropped.
class Metrics : public IMetrics
{
public:
    using Clock = std::function<domain::TimePoint()>;

    explicit Metrics(Clock clock = domain::TimePoint::clock::now, std::size_t maxSeries = 10000);

    void increment(std::string_view name, MetricLabels labels = {}, std::uint64_t by = 1) override;
    void set(std::string_view name, double value, MetricLabels labels = {}) override;
    void observe(std::string_view name, double value, MetricLabels labels = {}) override;

    /// All series in the Prometheus text format, version 0.0.4.
    std::string exposition() const;
    /// Value of a counter; 0 when it has never been incremented.
    std::uint64_t counter(std::string_view name, MetricLabels labels = {}) const;

private:
    struct SeriesKey
    {
        std::string name;
        /// The labels in the exposition's form, without the braces.
        std::string labels;
        friend auto operator<=>(const SeriesKey &, const SeriesKey &) = default;
    };

    static SeriesKey keyOf(std::string_view name, MetricLabels labels);
    /// Whether a series may be updated; called with the lock held.
    template<class Series>
    bool accepts(const Series &series, const SeriesKey &key);
    void writeDistributions(std::string &text, domain::TimePoint now) const;

    Clock m_clock;
    std::size_t m_maxSeries;
    mutable std::mutex m_mutex;
    std::map<SeriesKey, std::uint64_t> m_counters;
    std::map<SeriesKey, double> m_gauges;
    std::map<SeriesKey, Distribution> m_distributions;
    std::uint64_t m_dropped = 0;
};

} // namespace oriolerill::observability
