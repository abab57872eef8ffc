#pragma once

#include "domain/timepoint.h"

#include <optional>

namespace oriolerill::objectstore::internal {

/// Token bucket that bounds the calls of one process.
///
/// The store's rate is shared by a fleet of unknown size: each refusal halves the own rate, which
/// then grows back slowly, so that the fleet settles near what the store takes.
class RateBudget
{
public:
    /// Calls per second in the long run, and calls that may go out at once.
    RateBudget(double callsPerSecond, double burst);

    /// Takes one call; yields when it may go out, or nothing (and takes none) if that is after the
    /// latest time.
    std::optional<domain::TimePoint> reserve(domain::TimePoint now, domain::TimePoint latest);
    /// The store has refused a call for its rate: spends the burst and halves the rate.
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
