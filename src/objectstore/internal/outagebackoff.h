#pragma once

#include "domain/timepoint.h"

#include <chrono>
#include <cstdint>
#include <random>

namespace oriolerill::objectstore::internal {

/// When to try an address of the store again after failures.
///
/// The pause doubles up to a limit, and half of it is random, so that a fleet does not come back
/// at the same moment.
class OutageBackoff
{
public:
    explicit OutageBackoff(std::uint64_t seed);

    void onSuccess();
    void onFailure(domain::TimePoint now);
    /// Calls before this time fail at once.
    domain::TimePoint retryAt() const { return m_retryAt; }

private:
    static constexpr domain::Duration MinDelay = std::chrono::milliseconds(50);
    // Recovery after an outage shall cost less than the 2 s in which configuration is in force.
    static constexpr domain::Duration MaxDelay = std::chrono::milliseconds(1500);

    std::mt19937_64 m_random;
    domain::Duration m_delay = {};
    domain::TimePoint m_retryAt;
};

} // namespace oriolerill::objectstore::internal
