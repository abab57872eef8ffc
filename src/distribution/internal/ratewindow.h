#pragma once

#include "domain/timepoint.h"

#include <cstddef>

namespace oriolerill::distribution::internal {

/// Bounds what may be outstanding on a link to what it completes within a short horizon.
///
/// The bound is never below a minimum, so that a link of unknown or lost rate can show its rate.
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
