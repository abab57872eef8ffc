#include "routing/weightsrequirement.h"

#include <algorithm>

namespace oriolerill::routing {

WeightsRequirement::WeightsRequirement(WeightsRequirementOptions options)
    : m_options(options)
{}

void WeightsRequirement::onNamed(
        const domain::ModelId &model, std::uint64_t version, bool isAtStart, domain::TimePoint now)
{
    const domain::TimePoint requiredAt = isAtStart ? m_options.startedAt + m_options.graceAtStart
                                                   : now + m_options.bound - m_options.margin;
    // Seen again, for example in a list after a lost watch, a version keeps its first time.
    m_requiredAt[model].emplace(version, requiredAt);
}

void WeightsRequirement::onSuspended(domain::Duration time)
{
    for (auto &[model, versions] : m_requiredAt) {
        for (auto &[version, at] : versions)
            at -= time;
    }
}

std::uint64_t WeightsRequirement::lowest(const domain::ModelId &model, domain::TimePoint now) const
{
    const auto versions = m_requiredAt.find(model);
    if (versions == m_requiredAt.end())
        return 0;
    std::uint64_t required = 0;
    for (const auto &[version, at] : versions->second) {
        if (now >= at)
            required = std::max(required, version);
    }
    return required;
}

std::uint64_t WeightsRequirement::newest(const domain::ModelId &model) const
{
    const auto versions = m_requiredAt.find(model);
    return versions == m_requiredAt.end() || versions->second.empty()
            ? 0
            : versions->second.rbegin()->first;
}

domain::TimePoint WeightsRequirement::beginBy(
        const domain::ModelId &model, std::uint64_t served, domain::TimePoint now) const
{
    // A version may still be named while the request waits; its whole bound is ahead then.
    domain::TimePoint deadline = now + m_options.bound - m_options.withdrawalMargin;
    const auto versions = m_requiredAt.find(model);
    if (versions == m_requiredAt.end())
        return deadline;
    for (auto newer = versions->second.upper_bound(served); newer != versions->second.end();
            ++newer) {
        deadline
                = std::min(deadline, newer->second + m_options.margin - m_options.withdrawalMargin);
    }
    return deadline;
}

} // namespace oriolerill::routing
