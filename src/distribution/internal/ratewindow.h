#pragma once

#include "domain/timepoint.h"

#include <cstddef>

namespace oriolerill::distribution::internal {

/// Limits the outstanding fetches on a link to the number that it completes within a short horizon.
///
/// The limit is never below a minimum, so that the rate can be measured while it is unknown or has
/// decayed.
class RateWindow
{
public:
    explicit RateWindow(std::size_t minimum)
        : m_minimum(minimum)
    {}

    std::size_t outstanding() const { return m_outstanding; }
    std::size_t limit(domain::TimePoint now) const;
    bool hasCapacity(domain::TimePoint now) const { return m_outstanding < limit(now); }
    void started() { ++m_outstanding; }
    void completed(domain::TimePoint now);
    void dropped();

private:
    double decayed(domain::TimePoint now) const;

    std::size_t m_minimum;
    std::size_t m_outstanding = 0;
    double m_ratePerSecond = 0;
    domain::TimePoint m_updatedAt;
};

} // namespace oriolerill::distribution::internal
