#pragma once

#include "domain/timepoint.h"

#include <optional>

namespace oriolerill::platform::internal {

/// Token bucket that bounds the calls of one process, so that a fleet stays below the store's rate.
class RateBudget
{
public:
    /// Calls per second in the long run, and calls that may go out at once.
    RateBudget(double callsPerSecond, double burst);

    /// Takes one call; yields when it may go out, or nothing (and takes none) if that is after the
    /// latest time.
    std::optional<domain::TimePoint> reserve(domain::TimePoint now, domain::TimePoint latest);
    /// The store has refused a call for its rate: spends the burst.
    void onRefused(domain::TimePoint now);

private:
    void refill(domain::TimePoint now);

    double m_callsPerSecond;
    double m_burst;
    double m_tokens;
    domain::TimePoint m_refilledAt;
};

} // namespace oriolerill::platform::internal
