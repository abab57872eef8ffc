#include "routing/remotecost.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace oriolerill::routing {

using domain::DataCentreId;
using domain::Duration;
using domain::TimePoint;

namespace {

double toMs(Duration duration)
{
    return std::chrono::duration<double, std::milli>(duration).count();
}

} // namespace

RemoteCost::RemoteCost(DataCentreId own, RemoteCostOptions options)
    : m_own(std::move(own))
    , m_options(options)
{}

void RemoteCost::countSent(const DataCentreId &dataCentre)
{
    // Endpoints may be listed without a data centre.
    if (!dataCentre.value().empty())
        ++m_paths.try_emplace(dataCentre, m_options).first->second.sent;
}

void RemoteCost::onSent(const DataCentreId &dataCentre, TimePoint sentAt, double expectedStartMs)
{
    const std::chrono::duration<double, std::milli> expected(expectedStartMs);
    Path &path = m_paths.try_emplace(dataCentre, m_options).first->second;
    path.unanswered.onSent(sentAt, sentAt + std::chrono::duration_cast<Duration>(expected));
}

void RemoteCost::onAnswerBegun(
        const DataCentreId &dataCentre, TimePoint sentAt, double expectedStartMs, TimePoint now)
{
    const auto found = m_paths.find(dataCentre);
    if (found == m_paths.end())
        return;
    Path &path = found->second;
    path.unanswered.onAnswered(sentAt);
    const double before = decayedMs(path, now);
    // An answer that is earlier than expected shows no capacity of the link.
    const double sample
            = std::clamp(toMs(now - sentAt) - expectedStartMs, 0.0, m_options.maxExcessMs);
    const double limited = std::min(sample, 2 * before + m_options.maxStepMs);
    const double weight = limited > before ? m_options.riseWeight : m_options.fallWeight;
    path.excessMs = before + (limited - before) * weight;
    path.answeredAt = now;
    if (sample - delayMs(m_own, now) < m_options.delayedMs) {
        path.maxUnanswered
                = std::min(path.maxUnanswered + 1 / path.maxUnanswered, m_options.maxUnanswered);
    } else if (sentAt > path.halvedAt) {
        // Once for the requests that were sent under one bound.
        path.maxUnanswered = std::max(path.maxUnanswered / 2, m_options.minUnanswered);
        path.halvedAt = now;
    }
}

void RemoteCost::onEnded(const DataCentreId &dataCentre, TimePoint sentAt, TimePoint now)
{
    if (const auto found = m_paths.find(dataCentre); found != m_paths.end())
        found->second.unanswered.onEnded(sentAt, now);
}

void RemoteCost::onPaused(Duration time)
{
    for (auto &[dataCentre, path] : m_paths)
        path.unanswered.onPaused(time);
}

double RemoteCost::decayedMs(const Path &path, TimePoint now) const
{
    const Duration silence = now - path.answeredAt - m_options.sampleLifetime;
    if (path.answeredAt == TimePoint() || silence <= Duration::zero())
        return path.excessMs;
    return path.excessMs * std::exp2(-toMs(silence) / toMs(m_options.halfLife));
}

double RemoteCost::delayMs(const DataCentreId &dataCentre, TimePoint now) const
{
    const auto path = m_paths.find(dataCentre);
    if (path == m_paths.end())
        return 0;
    const Duration overdue = path->second.unanswered.overdue(now);
    // A later answer clears an overdue one, so that a request lost by one engine ends by itself.
    const bool isLate = overdue > m_options.path.lateAfter;
    return std::max(decayedMs(path->second, now), isLate ? toMs(overdue) : 0.0);
}

double RemoteCost::excessMs(const DataCentreId &dataCentre, TimePoint now) const
{
    if (dataCentre == m_own || m_paths.count(dataCentre) == 0)
        return 0;
    const double excess = delayMs(dataCentre, now) - delayMs(m_own, now);
    return excess < m_options.toleranceMs ? 0 : std::min(excess, m_options.maxExcessMs);
}

double RemoteCost::costMs(const DataCentreId &dataCentre, TimePoint now) const
{
    const auto path = m_paths.find(dataCentre);
    if (dataCentre == m_own || path == m_paths.end())
        return 0;
    const bool isFull = static_cast<double>(path->second.unanswered.unansweredCount(now))
            >= path->second.maxUnanswered;
    return isFull ? m_options.maxExcessMs : excessMs(dataCentre, now);
}

void RemoteCost::removeDelayed(
        std::vector<PlacementCandidate> &candidates, Duration objective, std::mt19937_64 &random)
{
    const auto isDelayed
            = [](const PlacementCandidate &candidate) { return candidate.excessMs > 0; };
    const bool hasLocal = std::any_of(candidates.begin(), candidates.end(),
            [](const PlacementCandidate &candidate) { return candidate.isLocal; });
    if (!hasLocal || std::none_of(candidates.begin(), candidates.end(), isDelayed))
        return;
    // Below half of the objective the cost alone decides: such an answer is in time, and the local
    // endpoints may be full. One draw for each request, so that its chance does not depend on the
    // number of endpoints.
    const double boundMs = std::uniform_real_distribution<double>(0.5, 1)(random) * toMs(objective);
    std::erase_if(candidates, [&](const PlacementCandidate &candidate) {
        return isDelayed(candidate) && candidate.excessMs >= boundMs;
    });
}

std::vector<RemoteCost::Change> RemoteCost::takeChanges(TimePoint now)
{
    std::vector<Change> changes;
    for (auto &[dataCentre, path] : m_paths) {
        const double excess = excessMs(dataCentre, now);
        const bool isChanged = path.isLoggedDelayed ? excess == 0 : excess >= m_options.delayedMs;
        if (!isChanged || now < path.loggedAt + m_options.logInterval)
            continue;
        path.isLoggedDelayed = !path.isLoggedDelayed;
        path.loggedAt = now;
        changes.push_back({dataCentre, path.isLoggedDelayed, excess});
    }
    return changes;
}

std::map<DataCentreId, std::uint64_t> RemoteCost::sentCounts() const
{
    std::map<DataCentreId, std::uint64_t> counts;
    for (const auto &[dataCentre, path] : m_paths) {
        if (dataCentre != m_own)
            counts.emplace(dataCentre, path.sent);
    }
    return counts;
}

} // namespace oriolerill::routing
