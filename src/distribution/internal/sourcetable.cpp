#include "distribution/internal/sourcetable.h"

#include <algorithm>
#include <chrono>

namespace oriolerill::distribution::internal {

using namespace std::chrono_literals;

namespace {

constexpr domain::Duration PeerAvoidance = 10s;
// The origin has no substitute until one copy is distributed, so it is retried sooner.
constexpr domain::Duration OriginAvoidance = 500ms;
constexpr std::uint32_t MaxDoublings = 4;

void average(double &mean, double sample, double share)
{
    mean = mean == 0 ? sample : mean + (sample - mean) * share;
}

} // namespace

SourceTable::SourceTable(std::size_t minSlots)
    : m_minSlots(minSlots)
{
    find("");
}

SourceTable::Index SourceTable::find(const std::string &address)
{
    const auto [entry, isNew]
            = m_indexes.try_emplace(address, static_cast<Index>(m_sources.size()));
    if (isNew)
        m_sources.push_back({address, RateWindow(m_minSlots), 0, 0, {}});
    return entry->second;
}

bool SourceTable::isAvoided(Index source, domain::TimePoint now) const
{
    return now < m_sources[source].avoidedUntil;
}

bool SourceTable::isUsable(Index source, domain::TimePoint now) const
{
    return !isAvoided(source, now) && m_sources[source].window.hasCapacity(now);
}

double SourceTable::slowness(Index source) const
{
    const double mean = m_sources[source].meanSeconds;
    return mean == 0 || m_meanSeconds == 0 ? 1 : mean / m_meanSeconds;
}

void SourceTable::completed(Index source, domain::Duration took, domain::TimePoint now)
{
    constexpr double SourceShare = 0.2;
    constexpr double TableShare = 0.02;
    Source &entry = m_sources[source];
    const double seconds = std::chrono::duration<double>(took).count();
    average(entry.meanSeconds, seconds, SourceShare);
    average(m_meanSeconds, seconds, TableShare);
    entry.window.completed(now);
    entry.faultCount = 0;
}

void SourceTable::recordFault(Index source, domain::TimePoint now)
{
    Source &entry = m_sources[source];
    // Reports of several agents about one fault count once.
    if (now < entry.avoidedUntil)
        return;
    const domain::Duration base = source == Origin ? OriginAvoidance : PeerAvoidance;
    entry.avoidedUntil = now + base * (1U << std::min(entry.faultCount, MaxDoublings));
    ++entry.faultCount;
}

} // namespace oriolerill::distribution::internal
