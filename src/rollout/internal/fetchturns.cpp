#include "rollout/fetchturns.h"

#include <algorithm>

namespace oriolerill::rollout {

FetchTurns::FetchTurns(FetchTurnsOptions options)
    : m_options(options)
{}

void FetchTurns::onFetch(std::optional<std::uint64_t> version, domain::TimePoint now)
{
    if (m_fetched == version)
        return;
    m_fetched = version;
    m_fetchedSince = now;
}

bool FetchTurns::isStalled(
        std::uint64_t version, domain::TimePoint progressAt, domain::TimePoint now)
{
    std::erase_if(m_stalledUntil, [now](const auto &entry) { return now >= entry.second; });
    const auto known = m_stalledUntil.find(version);
    const bool hasProgressed
            = known != m_stalledUntil.end() && progressAt > known->second - m_options.retryAfter;
    if (hasProgressed)
        m_stalledUntil.erase(known);
    const bool isFailing = m_fetched == version
            && now - std::max(progressAt, m_fetchedSince) > m_options.stallTime;
    if (isFailing)
        m_stalledUntil[version] = now + m_options.retryAfter;
    return m_stalledUntil.count(version) > 0;
}

} // namespace oriolerill::rollout
