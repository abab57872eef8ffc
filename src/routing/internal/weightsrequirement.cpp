#include "routing/weightsrequirement.h"

#include <algorithm>

namespace oriolerill::routing {

WeightsRequirement::WeightsRequirement(WeightsRequirementOptions options)
    : m_options(options)
{}

void WeightsRequirement::onNamed(
        const domain::ModelId &model, std::uint64_t version, bool isAtStart, domain::TimePoint now)
{
    Naming &naming = m_versions[model][version];
    // Seen again, for example in a list after a lost watch, a version keeps its first time.
    if (naming.isNamed)
        return;
    naming.isNamed = true;
    naming.isFoundAtStart = isAtStart;
    if (!isAtStart)
        naming.namedAt = std::min(naming.namedAt.value_or(now), now);
}

void WeightsRequirement::onNamingTime(
        const domain::ModelId &model, std::uint64_t version, domain::TimePoint namedAt)
{
    if (Naming *naming = namingOf(model, version))
        naming->namedAt = std::min(naming->namedAt.value_or(namedAt), namedAt);
}

WeightsRequirement::Naming *WeightsRequirement::namingOf(
        const domain::ModelId &model, std::uint64_t version)
{
    if (m_versions.size() >= m_options.maxModels && m_versions.count(model) == 0)
        return nullptr;
    Versions &versions = m_versions[model];
    if (versions.size() >= m_options.maxVersions && versions.count(version) == 0)
        return nullptr;
    return &versions[version];
}

bool WeightsRequirement::onPublished(const domain::ModelId &model, std::uint64_t version,
        domain::TimePoint namedAt, const domain::SocketAddress &agent)
{
    Naming *naming = namingOf(model, version);
    if (naming == nullptr || naming->readsWithout >= m_options.readsToRefute)
        return false;
    const bool wasInForce = isInForce(*naming);
    naming->namedAt = std::min(naming->namedAt.value_or(namedAt), namedAt);
    if (naming->publishers.size() < m_options.minPublishers)
        naming->publishers.insert(agent);
    return isInForce(*naming) && !wasInForce;
}

void WeightsRequirement::onStoreRead()
{
    for (auto &[model, versions] : m_versions) {
        for (auto &[version, naming] : versions) {
            if (!naming.isNamed && !naming.publishers.empty())
                ++naming.readsWithout;
        }
    }
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
    // The time may come from a process that learned of the version late; the grace limits it.
    const domain::TimePoint afterStart = m_options.startedAt + m_options.graceAtStart;
    if (!naming.namedAt)
        return afterStart;
    const domain::TimePoint byAge = *naming.namedAt + m_options.bound - m_options.margin;
    return naming.isFoundAtStart ? std::min(byAge, afterStart) : byAge;
}

std::uint64_t WeightsRequirement::newestNamed(const Versions &versions)
{
    const auto newest = std::find_if(versions.rbegin(), versions.rend(),
            [](const auto &version) { return version.second.isNamed; });
    return newest == versions.rend() ? 0 : newest->first;
}

bool WeightsRequirement::isInForce(const Naming &naming) const
{
    const bool isPublished = naming.publishers.size() >= m_options.minPublishers
            && naming.readsWithout < m_options.readsToRefute;
    return naming.isNamed || isPublished;
}

std::uint64_t WeightsRequirement::newestInForce(const Versions &versions) const
{
    const auto newest = std::find_if(versions.rbegin(), versions.rend(),
            [this](const auto &version) { return isInForce(version.second); });
    return newest == versions.rend() ? 0 : newest->first;
}

std::uint64_t WeightsRequirement::lowest(const domain::ModelId &model, domain::TimePoint now) const
{
    const auto versions = m_versions.find(model);
    if (versions == m_versions.end())
        return 0;
    const std::uint64_t newest = newestInForce(versions->second);
    std::uint64_t required = 0;
    for (const auto &[version, naming] : versions->second) {
        if (version <= newest && now >= requiredAt(naming))
            required = std::max(required, version);
    }
    return required;
}

std::uint64_t WeightsRequirement::newest(const domain::ModelId &model) const
{
    const auto versions = m_versions.find(model);
    return versions == m_versions.end() ? 0 : newestNamed(versions->second);
}

std::optional<domain::TimePoint> WeightsRequirement::beginBy(
        const domain::ModelId &model, std::uint64_t served) const
{
    const auto versions = m_versions.find(model);
    if (versions == m_versions.end())
        return std::nullopt;
    const std::uint64_t newest = newestInForce(versions->second);
    const domain::Duration left = m_options.margin - m_options.withdrawalMargin;
    std::optional<domain::TimePoint> deadline;
    for (const auto &[version, naming] : versions->second) {
        const bool isNewer = version > served && version <= newest;
        if (isNewer)
            deadline = std::min(
                    deadline.value_or(domain::TimePoint::max()), requiredAt(naming) + left);
    }
    return deadline;
}

std::vector<NamedVersion> WeightsRequirement::newestVersions() const
{
    std::vector<NamedVersion> named;
    for (const auto &[model, versions] : m_versions) {
        const std::uint64_t newest = newestNamed(versions);
        std::size_t count = 0;
        for (auto version = versions.rbegin(); version != versions.rend(); ++version) {
            if (version->first > newest || count == MaxPublishedVersions)
                continue;
            ++count;
            named.push_back({model, version->first, version->second.namedAt});
        }
    }
    return named;
}

} // namespace oriolerill::routing
