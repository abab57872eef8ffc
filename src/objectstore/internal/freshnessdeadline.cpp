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
    m_readDeadline = TimePoint::max();
    m_isReturned = false;
}

void FreshnessDeadline::onPossiblyStale(TimePoint since)
{
    m_readDeadline = std::min(m_readDeadline, endOf(m_budget, since));
}

void FreshnessDeadline::onUnanswered(TimePoint sentAt)
{
    if (m_isReturned && sentAt < m_readDeadline)
        return;
    m_isReturned = false;
    m_readDeadline = endOf(m_budget, sentAt);
}

void FreshnessDeadline::onReturned()
{
    m_isReturned = isPossiblyStale();
}

void FreshnessDeadline::onProven(TimePoint provenAt)
{
    if (isPossiblyStale())
        m_readDeadline = std::max(m_readDeadline, endOf(m_budget, provenAt));
}

TimePoint FreshnessDeadline::possiblyStaleSince() const
{
    return isPossiblyStale() ? m_readDeadline - m_budget : TimePoint::max();
}

Duration FreshnessDeadline::limitWait(Duration wait, TimePoint now) const
{
    if (!isPossiblyStale())
        return wait;
    return std::clamp(m_readDeadline - now, Duration::zero(), std::max(wait, Duration::zero()));
}

} // namespace oriolerill::objectstore
