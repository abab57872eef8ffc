#pragma once

#include "domain/timepoint.h"

#include <cstdint>
#include <memory>

namespace oriolerill::observability {

struct DistributionSummary
{
    /// Since the start of the process.
    std::uint64_t count = 0;
    double sum = 0.0;
    /// Over the last one to two minutes.
    double mean = 0.0;
    double p50 = 0.0;
    double p95 = 0.0;
    double p99 = 0.0;
    double max = 0.0;
};

/// Samples of one quantity in constant memory. Quantiles are exact for few samples and estimates of
/// the P-square algorithm for many.
class Distribution
{
public:
    explicit Distribution(domain::TimePoint now);
    ~Distribution();
    Distribution(Distribution &&) noexcept;
    Distribution &operator=(Distribution &&) noexcept;

    void add(double value, domain::TimePoint now);
    DistributionSummary summary(domain::TimePoint now) const;

private:
    class Window;

    /// Starts a new window when the current one has ended. Quantiles since the start of the process
    /// would hide recent changes, so they cover two windows.
    void rotate(domain::TimePoint now);

    std::uint64_t m_count = 0;
    double m_sum = 0.0;
    domain::TimePoint m_windowStart;
    std::unique_ptr<Window> m_current;
    std::unique_ptr<Window> m_previous;
};

} // namespace oriolerill::observability
