#pragma once

#include "domain/configversion.h"
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
    /// Operator's bound: time from the acknowledgement of a version until requests must not begin
    /// on an older one.
    domain::Duration bound = std::chrono::milliseconds(8000);
    /// Endpoints with an older version get no new requests from this long before the bound: most
    /// requests begin within this time after they were sent.
    domain::Duration margin = std::chrono::milliseconds(1700);
    /// Requests that have not begun at an endpoint with an older version are withdrawn this long
    /// before the bound. Covers the delay until this process receives the naming, at most one
    /// interval of 400 ms between updates of its publisher, and the transmission of the close to
    /// the endpoint.
    domain::Duration withdrawalMargin = std::chrono::milliseconds(500);
    /// A version found at the start of this process was named at an unknown time before. It is
    /// required this long after the start, when the operator's rules begin to apply to a process
    /// that has just started; the grace does not start at the read that found it, which may take
    /// seconds.
    domain::Duration graceAtStart = std::chrono::milliseconds(2500);
    domain::TimePoint startedAt;
    /// A naming that is received within this time after a pause of this process may have been made
    /// during the pause: publishers send updates each 400 ms.
    domain::Duration receptionTime = std::chrono::milliseconds(500);
    /// Maximum numbers of models, and of versions of each, that are kept for naming times received
    /// in datagrams.
    std::size_t maxModels = 16;
    std::size_t maxVersions = 16;
    /// Number of agents that must publish a naming before it applies without the store: one agent
    /// may be wrong.
    std::size_t minAgents = 2;
    /// A naming published by agents is dropped after this many complete reads of the store without
    /// it. The first of these reads may have been sent before the version was named.
    std::uint32_t readsToRefute = 2;
    /// Maximum number of agents whose naming times are kept for one version.
    std::size_t maxAgents = 8;
};

/// Oldest version of a model's weights that a request may begin on.
///
/// The store holds the named versions. Other processes publish when each one was named: a process
/// that receives a naming late counts the operator's bound from the earliest of these times. The
/// bound also applies to a process that cannot reach the store, so namings that several agents
/// publish apply until the process has read the store itself. After a restart of all processes
/// agents publish a naming without its time; the bound then counts from the earliest possible time.
class WeightsRequirement
{
public:
    explicit WeightsRequirement(WeightsRequirementOptions options = {});

    /// A version was named. With isAtStart it was found at the start, and its naming was not
    /// observed.
    void onNamed(const domain::ModelId &model, std::uint64_t version, bool isAtStart,
            domain::TimePoint now);
    /// Naming time published by another process. Has no effect until the store names this or a
    /// later version: the store keeps the newest version only, but the bounds of earlier ones still
    /// apply.
    void onNamingTime(
            const domain::ModelId &model, std::uint64_t version, domain::TimePoint namedAt);
    /// The store had no naming at this time that this process has not read.
    void onCopyProven(domain::TimePoint provenAt);
    /// A naming published by an agent, from a later version of the store than this process has
    /// read. Ignored after reads of the store have refuted it. True when it brings the version into
    /// force.
    bool onPublished(const NamedVersion &version, domain::ConfigVersion storeVersion,
            const domain::SocketAddress &agent, domain::TimePoint now);
    /// The local copy covers the store up to this version: drops the namings published up to it.
    void onCovered(domain::ConfigVersion storeVersion);
    /// This process has read all named versions from the store.
    void onStoreRead();
    /// All named versions are required earlier by this time, for which this VM was suspended.
    void onSuspended(domain::Duration time);
    /// This process received nothing between these times.
    void onPaused(domain::TimePoint pausedAt, domain::TimePoint resumedAt);
    /// Zero when any version is allowed.
    std::uint64_t requiredVersion(const domain::ModelId &model, domain::TimePoint now) const;
    std::uint64_t newestVersion(const domain::ModelId &model) const;
    /// Deadline by which a request must have begun at an endpoint with this version; none while no
    /// newer version is named.
    std::optional<domain::TimePoint> beginDeadline(
            const domain::ModelId &model, std::uint64_t served) const;
    /// The newest few named versions of each model.
    std::vector<NamedVersion> newestVersions() const;

private:
    /// When a version was named whose naming no process is known to have observed.
    struct NamingInterval
    {
        domain::TimePoint earliestAt;
        /// Agents had published the naming by then.
        domain::TimePoint latestAt;
    };
    struct Naming
    {
        /// This process has read it from the store.
        bool isNamed = false;
        bool isFoundAtStart = false;
        /// Earliest known time at which a process observed the naming.
        std::optional<domain::TimePoint> namedAt;
        /// When this process read it, unless it found it at its start.
        std::optional<domain::TimePoint> readAt;
        /// Begin of a pause of this process in which it may have been made. Applies to this process
        /// alone, until another process states a time: it is no observation of the naming.
        std::optional<domain::TimePoint> pausedAt;
        /// Agents published it without a time before this process read it.
        std::optional<NamingInterval> interval;
    };
    using Versions = std::map<std::uint64_t, Naming>;

    struct Statement
    {
        /// Naming time that the agent states; none when it has no time.
        std::optional<domain::TimePoint> namedAt;
        NamingInterval interval;
    };
    /// A naming that agents publish and that this process's reads of the store do not cover.
    struct Published
    {
        /// Version of the store at which it was published.
        domain::ConfigVersion storeVersion;
        std::map<domain::SocketAddress, Statement> agents;
        std::uint32_t readsSince = 0;
        /// Reads of the store have refuted it at this version.
        bool isRefuted = false;
    };
    using PublishedVersions = std::map<std::uint64_t, Published>;
    using Deadlines = std::map<std::uint64_t, domain::TimePoint>;

    /// The last proof of the local copy.
    struct CopyProof
    {
        /// As the copy states it.
        domain::TimePoint statedAt;
        /// Moved earlier by the suspensions since.
        domain::TimePoint at;
    };

    domain::TimePoint deadlineFor(domain::TimePoint namedAt) const;
    /// A naming that this process received at the given time may have been made in a pause.
    bool mayBeFromPause(domain::TimePoint receivedAt) const;
    domain::TimePoint requiredAt(const Naming &naming) const;
    static std::uint64_t newestNamed(const Versions &versions);
    /// Newest version that this process has read from the store.
    std::uint64_t newestRead(const domain::ModelId &model) const;
    bool isInForce(const Published &published) const;
    /// The minAgents-th earliest of the agents' times.
    domain::TimePoint decisive(std::vector<domain::TimePoint> times) const;
    /// Interval in which a naming was made that is received now.
    NamingInterval intervalUntil(domain::TimePoint now) const;
    /// Interval that minAgents agents support.
    NamingInterval intervalOf(const Published &published) const;
    /// Naming time that minAgents agents state; none when fewer do.
    std::optional<domain::TimePoint> namedAt(const Published &published) const;
    /// Interval of a version that agents alone have named; none when minAgents agents state a time.
    std::optional<NamingInterval> intervalWithoutTime(
            const domain::ModelId &model, std::uint64_t version) const;
    /// Naming time to be assumed, with the time that a single process states.
    domain::TimePoint assumedAt(
            const NamingInterval &interval, const std::optional<domain::TimePoint> &stated) const;
    /// Keeps the bounds of older versions that agents have published without a time: the store has
    /// replaced them by this one.
    void keepReplaced(const domain::ModelId &model, std::uint64_t version);
    /// When each version becomes required: the versions that the store or enough agents have named,
    /// and those that they replaced.
    Deadlines deadlines(const domain::ModelId &model) const;
    /// Found or added; null when there is no room for another model or version.
    Naming *namingOf(const domain::ModelId &model, std::uint64_t version);
    Published *publishedOf(const domain::ModelId &model, std::uint64_t version);

    struct Pause
    {
        domain::TimePoint pausedAt;
        domain::TimePoint resumedAt;
    };

    WeightsRequirementOptions m_options;
    std::optional<Pause> m_lastPause;
    /// None until this process has read the named versions.
    std::optional<CopyProof> m_copyProof;
    std::map<domain::ModelId, Versions> m_versions;
    std::map<domain::ModelId, PublishedVersions> m_published;
};

} // namespace oriolerill::routing
