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

/// Limit on the concurrency of the endpoint on this VM: starts small, grows by one with every round
/// of successful answers at the limit, and falls back to the start value on errors or a jump of the
/// latency. Not safe for concurrent use.
class ConcurrencyLimit
{
public:
    explicit ConcurrencyLimit(ConcurrencyLimitOptions options);

    /// Applies changed bounds and clamps the present limit to them.
    void configure(std::uint32_t start, std::uint32_t max);
    bool hasRoom(bool isBatch) const;
    /// Counts a request as in flight; false when the limit is reached.
    bool tryEnter(bool isBatch);
    /// Ends a request without effect on the limit.
    void leave();
    /// Ends a request that the endpoint answered successfully; latency is the time to its first
    /// byte.
    void leaveAnswered(domain::Duration latency);
    /// Ends a request that the endpoint failed or refused.
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
    /// Successful answers since the last increase of the limit.
    std::uint32_t m_successes = 0;
    bool m_wasFull = false;
    std::uint32_t m_samples = 0;
    double m_usualSeconds = 0;
    double m_recentSeconds = 0;
};

} // namespace oriolerill::routing
