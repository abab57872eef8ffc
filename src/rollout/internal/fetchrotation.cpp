#include "rollout/fetchrotation.h"

#include <algorithm>

namespace oriolerill::rollout {

FetchRotation::FetchRotation(FetchRotationOptions options)
    : m_options(options)
{}

void FetchRotation::onFetch(std::optional<std::uint64_t> version, domain::TimePoint now)
{
    if (m_fetchedVersion == version)
        return;
    m_fetchedVersion = version;
    m_fetchedSince = now;
}

bool FetchRotation::isStalled(
        std::uint64_t version, domain::TimePoint progressAt, domain::TimePoint now)
{
    Stall &stall = m_stalls[version];
    if (progressAt > stall.detectedAt) {
        stall.count = 0;
        stall.retryAt = {};
    }
    if (now < stall.retryAt)
        return true;
    const bool isFailing = m_fetchedVersion == version
            && now - std::max(progressAt, m_fetchedSince) > m_options.stallTimeout;
    if (!isFailing)
        return false;
    stall.detectedAt = now;
    stall.retryAt
            = now + m_options.retryDelay * (1U << std::min(stall.count, m_options.maxDoublings));
    ++stall.count;
    return true;
}

} // namespace oriolerill::rollout
