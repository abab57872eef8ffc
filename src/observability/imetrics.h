#pragma once

#include <cstdint>
#include <initializer_list>
#include <string_view>

namespace oriolerill::observability {

struct MetricLabel
{
    std::string_view name;
    std::string_view value;
};

using MetricLabels = std::initializer_list<MetricLabel>;

/// Collects counters, gauges and distributions; safe to use from all workers.
class IMetrics
{
public:
    virtual ~IMetrics() = default;

    virtual void increment(std::string_view name, MetricLabels labels = {}, std::uint64_t by = 1)
            = 0;
    virtual void set(std::string_view name, double value, MetricLabels labels = {}) = 0;
    /// Adds a sample to a distribution, in the unit that the name ends with ("_seconds", "_bytes").
    virtual void observe(std::string_view name, double value, MetricLabels labels = {}) = 0;
};

} // namespace oriolerill::observability
