#include "routing/weightsrequirement.h"

#include <algorithm>

namespace oriolerill::routing {

namespace {

/// Bounds of two versions may be ahead at the same time; one more covers a third that is named
/// before they are over.
constexpr std::size_t PublishedVersions = 3;

} // namespace

WeightsRequirement::WeightsRequirement(WeightsRequirementOptions options)
    : m_options(options)
{}

void WeightsRequirement::onNamed(
        const domain::ModelId &model, std::uint64_t version, bool isAtStart, domain::TimePoint now)
{
    Versions &versions = m_versions[model];
    Naming &naming = versions[version];
    // Seen again, for example in a list after a lost watch, a version keeps its first time.
    if (!naming.isNamed && !isAtStart)
        naming.namedAt = std::min(naming.namedAt.value_or(now), now);
    naming.isNamed = true;
    while (versions.size() > m_options.maxVersions)
        versions.erase(versions.begin());
}

void WeightsRequirement::onNamingTime(
        const domain::ModelId &model, std::uint64_t version, domain::TimePoint namedAt)
{
    Versions &versions = m_versions[model];
    if (versions.size() >= m_options.maxVersions && versions.count(version) == 0)
        return;
    Naming &naming = versions[version];
    naming.namedAt = std::min(naming.namedAt.value_or(namedAt), namedAt);
}

void WeightsRequirement::onSuspended(domain::Duration time)
{
    m_options.startedAt -= time;
    for (auto &[model, versions] : m_versions) {
        for (auto &[version, naming] : versions) {
            if (naming.namedAt)
                *naming.namedAt -= time;
        }
    }
}

domain::TimePoint WeightsRequirement::requiredAt(const Naming &naming) const
{
    return naming.namedAt ? *naming.namedAt + m_options.bound - m_options.margin
                          : m_options.startedAt + m_options.graceAtStart;
}

std::uint64_t WeightsRequirement::lowest(const domain::ModelId &model, domain::TimePoint now) const
{
    const auto versions = m_versions.find(model);
    if (versions == m_versions.end())
        return 0;
    std::uint64_t required = 0;
    for (const auto &[version, naming] : versions->second) {
        if (naming.isNamed && now >= requiredAt(naming))
            required = std::max(required, version);
    }
    return required;
}

std::uint64_t WeightsRequirement::newest(const domain::ModelId &model) const
{
    const auto versions = m_versions.find(model);
    if (versions == m_versions.end())
        return 0;
    const auto newest = std::find_if(versions->second.rbegin(), versions->second.rend(),
            [](const auto &version) { return version.second.isNamed; });
    return newest == versions->second.rend() ? 0 : newest->first;
}

domain::TimePoint WeightsRequirement::beginBy(
        const domain::ModelId &model, std::uint64_t served, domain::TimePoint now) const
{
    // A version may still be named while the request waits; its whole bound is ahead then.
    domain::TimePoint deadline = now + m_options.bound - m_options.withdrawalMargin;
    const auto versions = m_versions.find(model);
    if (versions == m_versions.end())
        return deadline;
    const domain::Duration left = m_options.margin - m_options.withdrawalMargin;
    for (auto newer = versions->second.upper_bound(served); newer != versions->second.end();
            ++newer) {
        if (newer->second.isNamed)
            deadline = std::min(deadline, requiredAt(newer->second) + left);
    }
    return deadline;
}

std::vector<NamedVersion> WeightsRequirement::newestVersions() const
{
    std::vector<NamedVersion> named;
    for (const auto &[model, versions] : m_versions) {
        std::size_t count = 0;
        for (auto newest = versions.rbegin(); newest != versions.rend(); ++newest) {
            if (!newest->second.isNamed || count == PublishedVersions)
                continue;
            ++count;
            named.push_back({model, newest->first, newest->second.namedAt});
        }
    }
    return named;
}

} // namespace oriolerill::routing
