#pragma once

#include "domain/socketaddress.h"
#include "domain/strongid.h"
#include "domain/timepoint.h"
#include "routing/namedversion.h"

#include <cstdint>
#include <map>
#include <optional>
#include <vector>

namespace oriolerill::routing {

struct WeightsRequirementOptions
{
    /// Operator's bound from the acknowledgement of a version until requests must not begin on an
    /// older one.
    domain::Duration bound = std::chrono::milliseconds(8000);
    /// Older endpoints get no new requests from this long before the bound on: most requests begin
    /// within this time after they were sent.
    domain::Duration margin = std::chrono::milliseconds(1700);
    /// Requests that have not begun on an older endpoint are withdrawn this long before the bound.
    /// Covers the time until this process sees that a version was named, at most one interval of
    /// 400 ms between updates of its publisher, and the way of the close to the endpoint.
    domain::Duration withdrawalMargin = std::chrono::milliseconds(500);
    /// A version found at the start of this process was named at an unknown time before. It is
    /// required this long after the start, when the operator's rules begin to bind a process that
    /// has just started; not after it was found, which may take seconds.
    domain::Duration graceAtStart = std::chrono::milliseconds(2500);
    domain::TimePoint startedAt;
    /// Maximum numbers of models and of versions of each that are kept only for a naming time,
    /// which comes in a datagram.
    std::size_t maxModels = 16;
    std::size_t maxVersions = 16;
    /// Agents that must publish a naming before it counts without the store: one may be wrong.
    std::size_t minPublishers = 2;
    /// Whole reads of the store, since agents published a naming, that must not show it before it
    /// is dropped. The first of them may have been sent before the version was named.
    std::uint32_t readsToRefute = 2;
    /// Maximum number of agents whose naming times are kept for one version.
    std::size_t maxAgents = 8;
};

/// Which version of a model's weights a request must at least begin on.
///
/// The store says which versions are named. Other processes say since when: one that learns of a
/// version late counts the operator's bound from the time at which the first one saw it. A process
/// that the store does not answer is bound as well, so what several agents publish counts until the
/// process has read the store itself.
class WeightsRequirement
{
public:
    explicit WeightsRequirement(WeightsRequirementOptions options = {});

    /// A version was named. isAtStart tells that it was found rather than seen to change.
    void onNamed(const domain::ModelId &model, std::uint64_t version, bool isAtStart,
            domain::TimePoint now);
    /// Naming time published by another process. Has no effect until the store names this or a
    /// later version: the store keeps the newest version only, but the bounds of earlier ones hold.
    void onNamingTime(
            const domain::ModelId &model, std::uint64_t version, domain::TimePoint namedAt);
    /// A naming published by an agent, from a later revision of the store than this process has
    /// read. Ignored after the store's own answers have refuted it. True when the version comes
    /// into force by it.
    bool onPublished(const NamedVersion &version, std::uint64_t revision,
            const domain::SocketAddress &agent);
    /// The own copy covers the store up to this revision: drops the namings published up to it.
    void onCovered(std::uint64_t revision);
    /// This process has read all named versions from the store.
    void onStoreRead();
    /// All named versions are required so much earlier.
    void onSuspended(domain::Duration time);
    /// Zero while every version will do.
    std::uint64_t requiredVersion(const domain::ModelId &model, domain::TimePoint now) const;
    std::uint64_t newest(const domain::ModelId &model) const;
    /// When a request must have begun at an endpoint with this version; none while no newer version
    /// is named.
    std::optional<domain::TimePoint> beginDeadline(
            const domain::ModelId &model, std::uint64_t served) const;
    /// The newest few named versions of each model.
    std::vector<NamedVersion> newestVersions() const;

private:
    struct Naming
    {
        /// This process has read it from the store.
        bool isNamed = false;
        bool isFoundAtStart = false;
        /// Earliest known time at which a process saw it become named.
        std::optional<domain::TimePoint> namedAt;
    };
    using Versions = std::map<std::uint64_t, Naming>;

    /// A naming that agents publish and that the own reads of the store do not cover.
    struct Published
    {
        /// Revision of the store at which it was published.
        std::uint64_t revision = 0;
        /// Naming time that each agent states.
        std::map<domain::SocketAddress, domain::TimePoint> agents;
        std::uint32_t readsWithout = 0;
        /// The store's answers have refuted it at this revision.
        bool isRefuted = false;
    };
    using PublishedVersions = std::map<std::uint64_t, Published>;
    using Deadlines = std::map<std::uint64_t, domain::TimePoint>;

    domain::TimePoint requiredAt(const Naming &naming) const;
    static std::uint64_t newestNamed(const Versions &versions);
    /// Naming time that enough agents state; none when too few publish the version.
    std::optional<domain::TimePoint> namedAt(const Published &published) const;
    /// When each version is required that the store or enough agents have named, and each one that
    /// it replaced.
    Deadlines deadlines(const domain::ModelId &model) const;
    /// Null when there is no room for another model or version.
    Naming *namingOf(const domain::ModelId &model, std::uint64_t version);
    Published *publishedOf(const domain::ModelId &model, std::uint64_t version);

    WeightsRequirementOptions m_options;
    std::map<domain::ModelId, Versions> m_versions;
    std::map<domain::ModelId, PublishedVersions> m_published;
};

} // namespace oriolerill::routing
