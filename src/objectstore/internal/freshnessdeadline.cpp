#include "objectstore/freshnessdeadline.h"

#include <algorithm>

namespace oriolerill::objectstore {

using domain::Duration;
using domain::TimePoint;

namespace {

/// An unlimited budget has no end.
TimePoint endOf(Duration budget, TimePoint begin)
{
    return budget == Duration::max() ? TimePoint::max() : begin + budget;
}

} // namespace

FreshnessDeadline::FreshnessDeadline(Duration budget)
    : m_budget(budget)
{}

void FreshnessDeadline::onConfirmed()
{
    m_askBy = TimePoint::max();
}

void FreshnessDeadline::onDoubt(TimePoint since)
{
    m_askBy = std::min(m_askBy, endOf(m_budget, since));
}

void FreshnessDeadline::onUnanswered(TimePoint sentAt)
{
    m_askBy = endOf(m_budget, sentAt);
}

TimePoint FreshnessDeadline::doubtSince() const
{
    return isInDoubt() ? m_askBy - m_budget : TimePoint::max();
}

Duration FreshnessDeadline::cut(Duration wait, TimePoint now) const
{
    if (!isInDoubt())
        return wait;
    return std::clamp(m_askBy - now, Duration::zero(), std::max(wait, Duration::zero()));
}

} // namespace oriolerill::objectstore
