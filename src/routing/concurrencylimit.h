#pragma once

#include "domain/timepoint.h"

#include <cstdint>

namespace oriolerill::routing {

struct ConcurrencyLimitOptions
{
    /// Limit of an endpoint that has just started or has turned cold.
    std::uint32_t start = 1;
    std::uint32_t max = 8;
    /// Share of the limit that batch requests may use, in percent.
    std::uint32_t batchPercent = 75;
    /// A recent latency of this many times the usual one means that the endpoint has turned cold.
    double latencyJump = 3.0;
};

/// Concurrency that the endpoint of this VM may take: starts small, grows by one with every
/// round of good answers at the limit, and falls back to the start value on errors or a jump of
/// the latency. Not safe for concurrent use.
class ConcurrencyLimit
{
public:
    explicit ConcurrencyLimit(ConcurrencyLimitOptions options);

    /// Takes changed bounds into use; the learned limit is kept within them.
    void configure(std::uint32_t start, std::uint32_t max);
    bool hasRoom(bool isBatch) const;
    /// Counts a request in; false when the limit is reached.
    bool tryEnter(bool isBatch);
    /// Counts a request out without judging the endpoint.
    void leave();
    /// Counts a request out that the endpoint answered well; latency is the time to its first byte.
    void leaveAnswered(domain::Duration latency);
    /// Counts a request out that the endpoint failed or refused.
    void leaveFailed();

    std::uint32_t inFlight() const { return m_inFlight; }
    std::uint32_t limit() const { return m_limit; }
    /// Usual time to the first byte.
    domain::Duration latency() const;

private:
    void reset();

    ConcurrencyLimitOptions m_options;
    std::uint32_t m_limit;
    std::uint32_t m_inFlight = 0;
    /// Good answers since the last growth.
    std::uint32_t m_successes = 0;
    bool m_wasFull = false;
    std::uint32_t m_samples = 0;
    double m_usualSeconds = 0;
    double m_recentSeconds = 0;
};

} // namespace oriolerill::routing
