#include "distribution/internal/ratewindow.h"

#include <algorithm>
#include <chrono>
#include <cmath>

namespace oriolerill::distribution::internal {

namespace {

constexpr double AveragingSeconds = 1.0;
// Two to three report intervals: a completed fetch is reported and replaced within this time.
constexpr double HorizonSeconds = 0.6;
constexpr std::size_t MaxOutstanding = 256;

} // namespace

double RateWindow::decayed(domain::TimePoint now) const
{
    const double age = std::chrono::duration<double>(now - m_updatedAt).count();
    return m_ratePerSecond * std::exp(-std::max(age, 0.0) / AveragingSeconds);
}

std::size_t RateWindow::limit(domain::TimePoint now) const
{
    const auto wanted = static_cast<std::size_t>(std::ceil(decayed(now) * HorizonSeconds));
    return std::clamp(wanted, m_minimum, std::max(m_minimum, MaxOutstanding));
}

void RateWindow::completed(domain::TimePoint now)
{
    m_ratePerSecond = decayed(now) + 1.0 / AveragingSeconds;
    m_updatedAt = now;
    dropped();
}

void RateWindow::dropped()
{
    if (m_outstanding > 0)
        --m_outstanding;
}

} // namespace oriolerill::distribution::internal
