#pragma once

#include "domain/timepoint.h"

#include <optional>

namespace oriolerill::objectstore::internal {

/// Token bucket that limits the rate of one process's calls.
///
/// A fleet of unknown size shares the store's capacity: each refusal halves the rate of a process,
/// which then recovers slowly, so that the rate of the fleet converges to the store's capacity.
class RateBudget
{
public:
    /// Sustained rate, and number of calls that may be sent at once.
    RateBudget(double callsPerSecond, double burst);

    /// Reserves one call and returns when it may be sent; reserves and returns nothing if that
    /// would be after the latest time.
    std::optional<domain::TimePoint> reserve(domain::TimePoint now, domain::TimePoint latest);
    /// The store refused a call with 429: empties the bucket and halves the rate.
    void onRefused(domain::TimePoint now);

private:
    void refill(domain::TimePoint now);

    double m_maxCallsPerSecond;
    double m_callsPerSecond;
    double m_burst;
    double m_tokens;
    domain::TimePoint m_refilledAt;
    domain::TimePoint m_nextHalvingAt;
};

} // namespace oriolerill::objectstore::internal
