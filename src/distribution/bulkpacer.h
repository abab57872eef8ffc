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
    /// Bulk traffic never stops altogether, whatever delay other traffic causes.
    domain::BytesPerSecond minRate = domain::BytesPerSecond(1U << 20U);
    domain::BytesPerSecond maxRate = domain::BytesPerSecond(2U << 30U);
};

/// Delay-based rate controller of the bulk data from one source, after the manner of LEDBAT.
///
/// The receiver spaces its reads by the rate. The rate grows while the delay of small messages on
/// the link stays under the target above its recent minimum, and falls when it exceeds it.
class BulkPacer
{
public:
    BulkPacer(BulkPacerOptions options, domain::TimePoint now);

    /// Takes the time from a request to the first byte of its answer.
    void delaySample(domain::Duration delay, domain::TimePoint now);
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
