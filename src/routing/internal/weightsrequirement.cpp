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
    // This read found the naming later than the agents that published it, so its time is no
    // observation of the naming.
    if (!isAtStart)
        naming.interval = intervalWithoutTime(model, version);
    if (!isAtStart && !naming.interval) {
        naming.readAt = now;
        if (mayBeFromPause(now))
            naming.pausedAt = m_lastPause->pausedAt;
        else
            naming.namedAt = std::min(naming.namedAt.value_or(now), now);
    }
    keepReplaced(model, version);
    Versions &versions = m_versions[model];
    while (versions.size() > m_options.maxVersions
            && versions.begin()->first < newestNamed(versions))
        versions.erase(versions.begin());
}

void WeightsRequirement::keepReplaced(const domain::ModelId &model, std::uint64_t version)
{
    const auto published = m_published.find(model);
    if (published == m_published.end())
        return;
    for (const auto &[replaced, statements] : published->second) {
        if (replaced >= version || !isInForce(statements) || namedAt(statements))
            continue;
        Naming *naming = namingOf(model, replaced);
        if (naming != nullptr && !naming->isNamed)
            naming->interval = intervalOf(statements);
    }
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

void WeightsRequirement::onCopyProven(domain::TimePoint provenAt)
{
    // After a suspension the copy states the same proof again, unaware of the suspension.
    if (!m_copyProof || provenAt > m_copyProof->statedAt)
        m_copyProof = {provenAt, provenAt};
}

WeightsRequirement::NamingInterval WeightsRequirement::intervalUntil(domain::TimePoint now) const
{
    if (m_copyProof)
        return {std::min(m_copyProof->at, now), now};
    // Without a read of its own, this process requires the version when it would require one that
    // it had found at its start.
    return {m_options.startedAt + m_options.graceAtStart - m_options.bound + m_options.margin, now};
}

bool WeightsRequirement::onPublished(const NamedVersion &version,
        domain::ConfigVersion storeVersion, const domain::SocketAddress &agent,
        domain::TimePoint now)
{
    // The own read of this or a newer version applies.
    if (!version.namedAt && version.version <= newestRead(version.model))
        return false;
    Published *published = publishedOf(version.model, version.version);
    if (published == nullptr)
        return false;
    if (published->isRefuted && published->storeVersion != storeVersion)
        *published = {};
    if (published->isRefuted)
        return false;
    const bool wasInForce = isInForce(*published);
    published->storeVersion = std::max(published->storeVersion, storeVersion);
    const bool hasRoom = published->agents.size() < m_options.maxAgents;
    if (hasRoom || published->agents.count(agent) > 0) {
        const Statement received{std::nullopt, intervalUntil(now)};
        std::optional<domain::TimePoint> &stated
                = published->agents.try_emplace(agent, received).first->second.namedAt;
        if (version.namedAt)
            stated = std::min(stated.value_or(*version.namedAt), *version.namedAt);
    }
    return !wasInForce && isInForce(*published);
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

bool WeightsRequirement::isInForce(const Published &published) const
{
    return published.agents.size() >= m_options.minAgents;
}

domain::TimePoint WeightsRequirement::decisive(std::vector<domain::TimePoint> times) const
{
    // minAgents agents have this time or an earlier one.
    const auto decisive = times.begin() + static_cast<std::ptrdiff_t>(m_options.minAgents - 1);
    std::nth_element(times.begin(), decisive, times.end());
    return *decisive;
}

WeightsRequirement::NamingInterval WeightsRequirement::intervalOf(const Published &published) const
{
    std::vector<domain::TimePoint> earliest;
    std::vector<domain::TimePoint> latest;
    for (const auto &[agent, statement] : published.agents) {
        earliest.push_back(statement.interval.earliestAt);
        latest.push_back(statement.interval.latestAt);
    }
    return {decisive(std::move(earliest)), decisive(std::move(latest))};
}

std::optional<domain::TimePoint> WeightsRequirement::namedAt(const Published &published) const
{
    std::vector<domain::TimePoint> stated;
    for (const auto &[agent, statement] : published.agents) {
        if (statement.namedAt)
            stated.push_back(*statement.namedAt);
    }
    if (stated.size() < m_options.minAgents)
        return std::nullopt;
    const domain::TimePoint at = decisive(std::move(stated));
    // A later time comes from a process that received the naming late.
    if (at > intervalOf(published).latestAt)
        return std::nullopt;
    return at;
}

std::optional<WeightsRequirement::NamingInterval> WeightsRequirement::intervalWithoutTime(
        const domain::ModelId &model, std::uint64_t version) const
{
    const auto published = m_published.find(model);
    if (published == m_published.end())
        return std::nullopt;
    // A version is named before the newer ones.
    const auto inForce
            = std::find_if(published->second.lower_bound(version), published->second.end(),
                    [this](const auto &naming) { return isInForce(naming.second); });
    if (inForce == published->second.end() || namedAt(inForce->second))
        return std::nullopt;
    return intervalOf(inForce->second);
}

domain::TimePoint WeightsRequirement::assumedAt(
        const NamingInterval &interval, const std::optional<domain::TimePoint> &stated) const
{
    // A process without a read of its own cannot check the time of a single process, and a time
    // after the interval comes from a process that received the naming late.
    if (!m_copyProof || !stated || *stated > interval.latestAt)
        return interval.earliestAt;
    return std::max(*stated, interval.earliestAt);
}

void WeightsRequirement::onSuspended(domain::Duration time)
{
    const auto advance = [time](NamingInterval &interval) {
        interval.earliestAt -= time;
        interval.latestAt -= time;
    };
    m_options.startedAt -= time;
    if (m_copyProof)
        m_copyProof->at -= time;
    if (m_lastPause)
        m_lastPause = {m_lastPause->pausedAt - time, m_lastPause->resumedAt - time};
    for (auto &[model, versions] : m_versions) {
        for (auto &[version, naming] : versions) {
            if (naming.namedAt)
                *naming.namedAt -= time;
            if (naming.readAt)
                *naming.readAt -= time;
            if (naming.pausedAt)
                *naming.pausedAt -= time;
            if (naming.interval)
                advance(*naming.interval);
        }
    }
    for (auto &[model, versions] : m_published) {
        for (auto &[version, published] : versions) {
            for (auto &[agent, statement] : published.agents) {
                if (statement.namedAt)
                    *statement.namedAt -= time;
                advance(statement.interval);
            }
        }
    }
}

bool WeightsRequirement::mayBeFromPause(domain::TimePoint receivedAt) const
{
    return m_lastPause && receivedAt >= m_lastPause->pausedAt
            && receivedAt - m_lastPause->resumedAt <= m_options.receptionTime;
}

void WeightsRequirement::onPaused(domain::TimePoint pausedAt, domain::TimePoint resumedAt)
{
    // What was sent in a pause may arrive after another one that follows soon.
    const bool isContinued
            = m_lastPause && pausedAt - m_lastPause->resumedAt <= m_options.receptionTime;
    m_lastPause = {isContinued ? std::min(pausedAt, m_lastPause->pausedAt) : pausedAt, resumedAt};
    // Namings that were read after the pause, before it was noticed.
    for (auto &[model, versions] : m_versions) {
        for (auto &[version, naming] : versions) {
            const bool isOwnObservation = naming.readAt && naming.namedAt == naming.readAt;
            if (!isOwnObservation || !mayBeFromPause(*naming.readAt))
                continue;
            naming.pausedAt = m_lastPause->pausedAt;
            naming.namedAt.reset();
        }
    }
}

domain::TimePoint WeightsRequirement::deadlineFor(domain::TimePoint namedAt) const
{
    return namedAt + m_options.bound - m_options.margin;
}

domain::TimePoint WeightsRequirement::requiredAt(const Naming &naming) const
{
    if (naming.interval)
        return deadlineFor(assumedAt(*naming.interval, naming.namedAt));
    if (naming.pausedAt)
        return deadlineFor(std::min(naming.namedAt.value_or(*naming.pausedAt), *naming.readAt));
    // The time may come from a process that received the naming late; the grace limits the delay.
    const domain::TimePoint afterStart = m_options.startedAt + m_options.graceAtStart;
    if (!naming.namedAt)
        return afterStart;
    const domain::TimePoint byAge = deadlineFor(*naming.namedAt);
    return naming.isFoundAtStart ? std::min(byAge, afterStart) : byAge;
}

std::uint64_t WeightsRequirement::newestNamed(const Versions &versions)
{
    const auto newestVersion = std::find_if(versions.rbegin(), versions.rend(),
            [](const auto &version) { return version.second.isNamed; });
    return newestVersion == versions.rend() ? 0 : newestVersion->first;
}

std::uint64_t WeightsRequirement::newestRead(const domain::ModelId &model) const
{
    const auto versions = m_versions.find(model);
    return versions == m_versions.end() ? 0 : newestNamed(versions->second);
}

WeightsRequirement::Deadlines WeightsRequirement::deadlines(const domain::ModelId &model) const
{
    Deadlines required;
    const std::uint64_t newestKnown = newestVersion(model);
    const std::uint64_t read = newestRead(model);
    if (const auto versions = m_versions.find(model); versions != m_versions.end()) {
        for (const auto &[version, naming] : versions->second) {
            if (version > newestKnown)
                continue;
            // A time that a single process has stated.
            const auto interval
                    = version > read ? intervalWithoutTime(model, version) : std::nullopt;
            required[version] = interval ? deadlineFor(assumedAt(*interval, naming.namedAt))
                                         : requiredAt(naming);
        }
    }
    if (const auto published = m_published.find(model); published != m_published.end()) {
        for (const auto &[version, naming] : published->second) {
            if (!isInForce(naming))
                continue;
            if (const auto at = namedAt(naming)) {
                const auto deadline = deadlineFor(*at);
                const auto [known, isNew] = required.emplace(version, deadline);
                known->second = std::min(known->second, deadline);
            } else {
                required.emplace(version, deadlineFor(intervalOf(naming).earliestAt));
            }
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
    std::uint64_t newestKnown = newestRead(model);
    if (const auto published = m_published.find(model); published != m_published.end()) {
        for (const auto &[version, naming] : published->second) {
            if (isInForce(naming))
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
            const bool isStated = version->second.isNamed || version->second.namedAt;
            if (version->first > newestVersion || count == MaxPublishedVersions || !isStated)
                continue;
            ++count;
            named.push_back({model, version->first, version->second.namedAt});
        }
    }
    return named;
}

} // namespace oriolerill::routing
