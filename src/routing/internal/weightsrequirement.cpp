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
    // A version that is read again, for example in a list after a lost watch, keeps its first time.
    if (naming.isNamed)
        return;
    naming.isNamed = true;
    naming.isFoundAtStart = isAtStart;
    if (!isAtStart)
        naming.namedAt = std::min(naming.namedAt.value_or(now), now);
    Versions &versions = m_versions[model];
    while (versions.size() > m_options.maxVersions
            && versions.begin()->first < newestNamed(versions))
        versions.erase(versions.begin());
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
    if (versions.size() >= m_options.maxVersions && versions.count(version) == 0) {
        // The bounds of versions that were replaced long ago have passed.
        if (versions.begin()->first >= newestNamed(versions))
            return nullptr;
        versions.erase(versions.begin());
    }
    return &versions[version];
}

WeightsRequirement::Published *WeightsRequirement::publishedOf(
        const domain::ModelId &model, std::uint64_t version)
{
    if (m_published.size() >= m_options.maxModels && m_published.count(model) == 0)
        return nullptr;
    PublishedVersions &versions = m_published[model];
    if (versions.size() >= m_options.maxVersions && versions.count(version) == 0) {
        // Versions that a single agent publishes wrongly must not fill the table.
        const auto fewestAgents = std::min_element(
                versions.begin(), versions.end(), [](const auto &naming, const auto &other) {
                    return naming.second.agents.size() < other.second.agents.size();
                });
        if (fewestAgents->second.agents.size() >= m_options.minAgents)
            return nullptr;
        versions.erase(fewestAgents);
    }
    return &versions[version];
}

bool WeightsRequirement::onPublished(const NamedVersion &version,
        domain::ConfigVersion storeVersion, const domain::SocketAddress &agent)
{
    Published *published = version.namedAt ? publishedOf(version.model, version.version) : nullptr;
    if (published == nullptr)
        return false;
    if (published->isRefuted && published->storeVersion != storeVersion)
        *published = {};
    if (published->isRefuted)
        return false;
    const bool wasInForce = namedAt(*published).has_value();
    published->storeVersion = std::max(published->storeVersion, storeVersion);
    const bool hasRoom = published->agents.size() < m_options.maxAgents;
    if (hasRoom || published->agents.count(agent) > 0) {
        domain::TimePoint &stated
                = published->agents.try_emplace(agent, *version.namedAt).first->second;
        stated = std::min(stated, *version.namedAt);
    }
    return !wasInForce && namedAt(*published).has_value();
}

void WeightsRequirement::onCovered(domain::ConfigVersion storeVersion)
{
    for (auto &[model, versions] : m_published) {
        std::erase_if(versions, [storeVersion](const auto &entry) {
            return entry.second.storeVersion <= storeVersion;
        });
    }
}

void WeightsRequirement::onStoreRead()
{
    for (auto &[model, versions] : m_published) {
        for (auto &[version, published] : versions) {
            if (++published.readsSince < m_options.readsToRefute)
                continue;
            published.isRefuted = true;
            published.agents.clear();
        }
    }
}

std::optional<domain::TimePoint> WeightsRequirement::namedAt(const Published &published) const
{
    if (published.agents.size() < m_options.minAgents)
        return std::nullopt;
    std::vector<domain::TimePoint> stated;
    for (const auto &[agent, at] : published.agents)
        stated.push_back(at);
    // minAgents agents state this time or an earlier one.
    const auto decisive = stated.begin() + static_cast<std::ptrdiff_t>(m_options.minAgents - 1);
    std::nth_element(stated.begin(), decisive, stated.end());
    return *decisive;
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
    for (auto &[model, versions] : m_published) {
        for (auto &[version, published] : versions) {
            for (auto &[agent, at] : published.agents)
                at -= time;
        }
    }
}

domain::TimePoint WeightsRequirement::requiredAt(const Naming &naming) const
{
    // The time may come from a process that received the naming late; the grace limits the delay.
    const domain::TimePoint afterStart = m_options.startedAt + m_options.graceAtStart;
    if (!naming.namedAt)
        return afterStart;
    const domain::TimePoint byAge = *naming.namedAt + m_options.bound - m_options.margin;
    return naming.isFoundAtStart ? std::min(byAge, afterStart) : byAge;
}

std::uint64_t WeightsRequirement::newestNamed(const Versions &versions)
{
    const auto newestVersion = std::find_if(versions.rbegin(), versions.rend(),
            [](const auto &version) { return version.second.isNamed; });
    return newestVersion == versions.rend() ? 0 : newestVersion->first;
}

WeightsRequirement::Deadlines WeightsRequirement::deadlines(const domain::ModelId &model) const
{
    Deadlines required;
    const std::uint64_t newestKnown = newestVersion(model);
    if (const auto versions = m_versions.find(model); versions != m_versions.end()) {
        for (const auto &[version, naming] : versions->second) {
            if (version <= newestKnown)
                required[version] = requiredAt(naming);
        }
    }
    if (const auto published = m_published.find(model); published != m_published.end()) {
        for (const auto &[version, naming] : published->second) {
            const auto at = namedAt(naming);
            if (!at)
                continue;
            const auto deadline = *at + m_options.bound - m_options.margin;
            const auto [known, isNew] = required.emplace(version, deadline);
            known->second = std::min(known->second, deadline);
        }
    }
    return required;
}

std::uint64_t WeightsRequirement::requiredVersion(
        const domain::ModelId &model, domain::TimePoint now) const
{
    std::uint64_t required = 0;
    for (const auto &[version, at] : deadlines(model)) {
        if (now >= at)
            required = std::max(required, version);
    }
    return required;
}

std::uint64_t WeightsRequirement::newestVersion(const domain::ModelId &model) const
{
    std::uint64_t newestKnown = 0;
    if (const auto versions = m_versions.find(model); versions != m_versions.end())
        newestKnown = newestNamed(versions->second);
    if (const auto published = m_published.find(model); published != m_published.end()) {
        for (const auto &[version, naming] : published->second) {
            if (namedAt(naming))
                newestKnown = std::max(newestKnown, version);
        }
    }
    return newestKnown;
}

std::optional<domain::TimePoint> WeightsRequirement::beginDeadline(
        const domain::ModelId &model, std::uint64_t served) const
{
    // Evaluated for each engine of each request; most of the time all serve the newest version.
    if (newestVersion(model) <= served)
        return std::nullopt;
    const domain::Duration left = m_options.margin - m_options.withdrawalMargin;
    std::optional<domain::TimePoint> deadline;
    for (const auto &[version, at] : deadlines(model)) {
        if (version > served)
            deadline = std::min(deadline.value_or(domain::TimePoint::max()), at + left);
    }
    return deadline;
}

std::vector<NamedVersion> WeightsRequirement::newestVersions() const
{
    std::vector<NamedVersion> named;
    for (const auto &[model, versions] : m_versions) {
        const std::uint64_t newestVersion = newestNamed(versions);
        std::size_t count = 0;
        for (auto version = versions.rbegin(); version != versions.rend(); ++version) {
            if (version->first > newestVersion || count == MaxPublishedVersions)
                continue;
            ++count;
            named.push_back({model, version->first, version->second.namedAt});
        }
    }
    return named;
}

} // namespace oriolerill::routing
