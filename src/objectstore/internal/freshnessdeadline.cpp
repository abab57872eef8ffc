#include "objectstore/freshnessdeadline.h"

#include <algorithm>

namespace oriolerill::objectstore {

using domain::Duration;
using domain::TimePoint;

FreshnessDeadline::FreshnessDeadline(Duration budget)
    : m_budget(budget)
{}

void FreshnessDeadline::onConfirmed()
{
    m_askBy = TimePoint::max();
}

void FreshnessDeadline::onDoubt(TimePoint since)
{
    m_askBy = std::min(m_askBy, since + m_budget);
}

void FreshnessDeadline::onUnanswered(TimePoint sentAt)
{
    m_askBy = sentAt + m_budget;
}

Duration FreshnessDeadline::cut(Duration wait, TimePoint now) const
{
    if (!isInDoubt())
        return wait;
    return std::clamp(m_askBy - now, Duration::zero(), std::max(wait, Duration::zero()));
}

} // namespace oriolerill::objectstore
