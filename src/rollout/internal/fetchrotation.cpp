#include "rollout/fetchrotation.h"

#include <algorithm>

namespace oriolerill::rollout {

FetchRotation::FetchRotation(FetchRotationOptions options)
    : m_options(options)
{}

void FetchRotation::onFetch(std::optional<std::uint64_t> version, domain::TimePoint now)
{
    if (m_fetched == version)
        return;
    m_fetched = version;
    m_fetchedSince = now;
}

bool FetchRotation::isStalled(
        std::uint64_t version, domain::TimePoint progressAt, domain::TimePoint now)
{
    Stall &stall = m_stalls[version];
    if (progressAt > stall.at) {
        stall.count = 0;
        stall.until = {};
    }
    if (now < stall.until)
        return true;
    const bool isFailing = m_fetched == version
            && now - std::max(progressAt, m_fetchedSince) > m_options.stallTimeout;
    if (!isFailing)
        return false;
    stall.at = now;
    stall.until
            = now + m_options.retryDelay * (1U << std::min(stall.count, m_options.maxDoublings));
    ++stall.count;
    return true;
}

} // namespace oriolerill::rollout
