#pragma once

#include "distribution/havemap.h"
#include "distribution/iweightsprovider.h"
#include "distribution/manifest.h"
#include "domain/digest.h"
#include "domain/quantity.h"
#include "domain/socketaddress.h"
#include "domain/timepoint.h"
#include "protocol/control.pb.h"

#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <unordered_map>
#include <variant>
#include <vector>

namespace oriolerill::distribution {

using FetchId = domain::Quantity<struct FetchIdUnit>;

/// Fetch a chunk, or the manifest if the chunk is ManifestChunk; an empty source is the origin.
struct StartFetch
{
    FetchId id;
    domain::Digest manifest;
    std::uint32_t chunk = 0;
    std::string source;
};

struct CancelFetch
{
    FetchId id;
};

/// Request the have-map of a peer, because the tracker is unresponsive.
struct QueryPeer
{
    domain::Digest manifest;
    std::string controlAddress;
};

using FetchAction = std::variant<StartFetch, CancelFetch, QueryPeer>;
using FetchActions = std::vector<FetchAction>;

enum class FetchOutcome {
    /// Verified and stored.
    Verified,
    /// The data did not match the digest.
    Corrupted,
    /// The connection failed or made no progress.
    Failed,
    /// The source is busy or does not have the chunk.
    Refused,
    /// The manifest matches its digest but is malformed, or the version does not fit into memory.
    Unusable,
};

struct FetchSchedulerOptions
{
    /// Request address of this agent.
    std::string address;
    std::size_t maxParallel = 8;
    std::size_t maxParallelPerSource = 3;
    /// Time without a plan after which the agent plans its own fetches.
    domain::Duration trackerTimeout = std::chrono::seconds(3);
    domain::Duration peerQueryInterval = std::chrono::milliseconds(500);
    domain::Duration sourceAvoidance = std::chrono::seconds(10);
    /// Without a tracker: delay per rendezvous rank after which an agent fetches a chunk from the
    /// origin.
    domain::Duration originDelayPerRank = std::chrono::seconds(5);
};

/// Decides for an agent which fetches run and what is reported, with or without a tracker.
///
/// Not thread-safe.
class FetchScheduler
{
public:
    FetchScheduler(FetchSchedulerOptions options, domain::TimePoint startedAt);

    /// Adds a version to fetch. Chunks already held are passed to onManifestVerified().
    void request(const domain::Digest &manifest, std::uint32_t priority, domain::TimePoint now);
    FetchActions release(const domain::Digest &manifest, domain::TimePoint now);
    FetchActions onManifestVerified(const std::shared_ptr<const Manifest> &manifest,
            const HaveMap &have, domain::TimePoint now);

    FetchActions plan(
            const domain::Digest &manifest, const protocol::SwarmPlan &plan, domain::TimePoint now);
    FetchActions onFetchEnd(FetchId id, FetchOutcome outcome, domain::TimePoint now);
    void onPeerHave(const domain::Digest &manifest, const protocol::HaveReply &reply,
            domain::TimePoint now);
    /// Must be called several times a second.
    FetchActions tick(domain::TimePoint now);

    /// Distribution part of the report. Each bad source is reported once.
    protocol::SwarmReport report(const domain::Digest &manifest);
    /// Whether the next report should be sent before its interval ends.
    bool isReportUrgent(const domain::Digest &manifest) const;
    TransferProgress progress(const domain::Digest &manifest) const;
    std::vector<domain::Digest> versions() const;
    bool hasTracker(domain::TimePoint now) const;
    std::size_t activeFetches() const { return m_active.size(); }

private:
    struct Assignment
    {
        std::uint32_t chunk = 0;
        std::string source;
    };
    struct PeerMap
    {
        HaveMap have;
        domain::TimePoint receivedAt;
    };
    struct Version
    {
        std::uint32_t priority = 0;
        std::shared_ptr<const Manifest> manifest;
        HaveMap have;
        std::size_t held = 0;
        std::deque<Assignment> queue;
        std::vector<std::string> badSources;
        std::map<std::string, PeerMap> peers;
        std::size_t plannedQueueSize = 0;
        bool isReportUrgent = true;
        domain::TimePoint nextPeerQuery;
        domain::TimePoint nextPlanWithoutTracker;
        std::size_t chunkCursor = 0;
        domain::TimePoint manifestRetryAt;
        domain::TimePoint lastProgress;
    };
    struct Active
    {
        domain::Digest manifest;
        /// Digest of the chunk, or of the manifest.
        domain::Digest content;
        std::uint32_t chunk = 0;
        std::string source;
    };

    domain::Digest contentOf(
            const domain::Digest &manifest, const Version &version, std::uint32_t chunk) const;
    std::size_t activeCount(const domain::Digest &content) const;
    bool isPending(
            const domain::Digest &manifest, const Version &version, std::uint32_t chunk) const;
    void startQueued(FetchActions &actions, domain::TimePoint now);
    bool startOne(const domain::Digest &manifest, Version &version, FetchActions &actions,
            domain::TimePoint now);
    bool isRunningForOther(const domain::Digest &manifest, const domain::Digest &content) const;
    bool mayStart(const std::string &source) const;
    void markHeld(const domain::Digest &content, domain::TimePoint now);
    void cancelContent(const domain::Digest &content, FetchActions &actions);
    void recordBadSource(Version &version, const std::string &source, domain::TimePoint now);
    void planWithoutTracker(
            const domain::Digest &manifest, Version &version, domain::TimePoint now);
    void queryPeers(const domain::Digest &manifest, Version &version, FetchActions &actions,
            domain::TimePoint now);
    void queueWithoutTracker(const domain::Digest &manifest, Version &version, std::uint32_t chunk,
            domain::TimePoint now);
    std::optional<std::string> sourceWithoutTracker(const domain::Digest &manifest,
            const Version &version, std::uint32_t chunk, domain::TimePoint now) const;
    bool mayFetchFromOrigin(const domain::Digest &manifest, const Version &version,
            std::uint32_t chunk, domain::TimePoint now) const;
    bool isAvoided(const std::string &source, domain::TimePoint now) const;

    FetchSchedulerOptions m_options;
    std::map<domain::Digest, Version> m_versions;
    std::map<FetchId, Active> m_active;
    std::map<std::string, std::size_t> m_activePerSource;
    std::unordered_map<domain::Digest, std::size_t> m_activePerContent;
    std::map<std::string, domain::TimePoint> m_avoidedUntil;
    /// Control addresses of peers, by request address.
    std::map<std::string, std::string> m_knownPeers;
    domain::TimePoint m_lastPlan;
    std::uint64_t m_lastId = 0;
    std::size_t m_peerCursor = 0;
};

} // namespace oriolerill::distribution
