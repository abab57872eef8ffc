#pragma once

#include "domain/quantity.h"
#include "domain/timepoint.h"

#include <array>
#include <cstddef>
#include <limits>

namespace oriolerill::distribution {

struct BulkPacerOptions
{
    /// Queueing delay that bulk traffic may add to a link.
    domain::Duration targetDelay = std::chrono::milliseconds(10);
    domain::BytesPerSecond startRate = domain::BytesPerSecond(8U << 20U);
    /// Keeps bulk traffic moving while other traffic causes the queueing delay.
    domain::BytesPerSecond minRate = domain::BytesPerSecond(1U << 20U);
    domain::BytesPerSecond maxRate = domain::BytesPerSecond(2U << 30U);
};

/// Delay-based rate controller for the bulk data from one source, similar to LEDBAT.
///
/// The receiver paces its reads at the rate. The rate grows while the queueing delay (the delay of
/// small messages above its recent minimum) is below the target, and falls while it is above.
class BulkPacer
{
public:
    BulkPacer(BulkPacerOptions options, domain::TimePoint now);

    /// Records the time from a request to the first byte of its answer.
    void addDelaySample(domain::Duration delay, domain::TimePoint now);
    /// Reserves the next read; returns the time at which it may start.
    domain::TimePoint reserve(domain::Bytes bytes, domain::TimePoint now);
    domain::BytesPerSecond rate() const;
    domain::Duration queueingDelay() const;

private:
    static constexpr std::size_t BaseWindows = 6;
    static constexpr std::size_t FilterSize = 2;

    void updateBaseDelay(domain::Duration delay, domain::TimePoint now);
    domain::Duration baseDelay() const;
    void adjust(domain::TimePoint now);

    BulkPacerOptions m_options;
    double m_bytesPerSecond;
    bool m_isStarting = true;
    domain::TimePoint m_freeAt;
    domain::TimePoint m_loweredAt;
    domain::TimePoint m_windowEnd;
    std::size_t m_window = 0;
    std::array<domain::Duration, BaseWindows> m_base = {};
    std::array<domain::Duration, FilterSize> m_recent = {};
    std::size_t m_samples = 0;
    double m_readSinceChange = 0;
    domain::TimePoint m_changedAt;
};

} // namespace oriolerill::distribution
