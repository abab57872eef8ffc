#include "routing/boundedstarts.h"

#include <algorithm>
#include <utility>

namespace oriolerill::routing {

using domain::Duration;
using domain::TimePoint;

BoundedStarts::BoundedStarts(BoundedStartsOptions options)
    : m_options(std::move(options))
{}

bool BoundedStarts::isRemote(const Target &target) const
{
    return target.dataCentre != m_options.dataCentre;
}

void BoundedStarts::onSent(const Target &target, TimePoint sentAt, TimePoint expectedAt)
{
    if (m_engines.size() >= m_options.maxEngines)
        removeUnused(sentAt);
    m_engines.try_emplace(target.engine, m_options.path).first->second.onSent(sentAt, expectedAt);
    if (isRemote(target)) {
        m_dataCentres.try_emplace(target.dataCentre, m_options.path)
                .first->second.onSent(sentAt, expectedAt);
    }
}

void BoundedStarts::onAnswered(const Target &target, TimePoint sentAt)
{
    if (const auto engine = m_engines.find(target.engine); engine != m_engines.end())
        engine->second.onAnswered(sentAt);
    const auto dataCentre = m_dataCentres.find(target.dataCentre);
    if (dataCentre != m_dataCentres.end())
        dataCentre->second.onAnswered(sentAt);
}

void BoundedStarts::onEnded(const Target &target, TimePoint sentAt, TimePoint now)
{
    if (const auto engine = m_engines.find(target.engine); engine != m_engines.end())
        engine->second.onEnded(sentAt, now);
    const auto dataCentre = m_dataCentres.find(target.dataCentre);
    if (dataCentre != m_dataCentres.end())
        dataCentre->second.onEnded(sentAt, now);
}

void BoundedStarts::onPaused(Duration time)
{
    for (auto &[engine, path] : m_engines)
        path.onPaused(time);
    for (auto &[dataCentre, path] : m_dataCentres)
        path.onPaused(time);
}

void BoundedStarts::onSuspended(Duration time)
{
    for (auto &[engine, path] : m_engines)
        path.onSuspended(time);
    for (auto &[dataCentre, path] : m_dataCentres)
        path.onSuspended(time);
}

void BoundedStarts::removeUnused(TimePoint now)
{
    std::erase_if(m_engines, [&](const auto &entry) {
        return now - entry.second.lastSentAt() > m_options.path.evidenceLifetime;
    });
}

bool BoundedStarts::isInTime(
        const Target &target, Duration expectedStart, TimePoint deadline, TimePoint now) const
{
    Duration delay = Duration::zero();
    if (const auto engine = m_engines.find(target.engine); engine != m_engines.end())
        delay = engine->second.overdue(now) * m_options.overdueFactor;
    if (isRemote(target)) {
        const auto path = m_dataCentres.find(target.dataCentre);
        const bool isProven = path != m_dataCentres.end() && path->second.isProven(now);
        delay = std::max(delay, isProven ? m_options.provenDelay : m_options.unprovenDelay);
    }
    return now + expectedStart + delay <= deadline;
}

} // namespace oriolerill::routing
