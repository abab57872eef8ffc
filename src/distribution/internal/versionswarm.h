#pragma once

#include "distribution/internal/rarityindex.h"
#include "distribution/internal/relayplan.h"
#include "distribution/internal/remotesite.h"
#include "distribution/internal/sourcetable.h"
#include "distribution/swarmoptions.h"
#include "domain/timepoint.h"
#include "protocol/control.pb.h"

#include <array>
#include <cstdint>
#include <functional>
#include <optional>
#include <queue>
#include <random>
#include <unordered_map>
#include <vector>

namespace oriolerill::distribution::internal {

/// Plan of one version in one data centre: assigns chunks and their sources to members.
///
/// A chunk that no endpoint of the data centre holds is imported by one of them, from the origin or
/// from the site that RelayPlan selects; the others fetch it from each other, rarest first. The
/// cost of a report grows with the number of changed chunks and with chunks/64, not with the number
/// of endpoints.
class VersionSwarm
{
public:
    using Member = std::uint32_t;

    /// The tables are shared by all versions of the tracker and outlive this object.
    VersionSwarm(const domain::Digest &manifest, const SwarmOptions &options, SourceTable &sources,
            SourceTable &links, domain::TimePoint now);

    /// All data centres that need the version, the own one included.
    void setSites(const std::vector<SwarmSite> &sites, domain::TimePoint now);

    Member join(const std::string &address, RateWindow &window);
    void leave(Member member);
    void applyReport(Member member, const protocol::SwarmReport &report, domain::TimePoint now);
    void plan(Member member, std::size_t slots, domain::TimePoint now, protocol::SwarmPlan &plan);

    void onHaveReply(const domain::DataCentreId &dataCentre, const protocol::HaveReply &reply,
            domain::TimePoint now);
    void onQueryFailure(const domain::DataCentreId &dataCentre, domain::TimePoint now);
    /// Data centres whose trackers are to be queried now.
    std::vector<domain::DataCentreId> dueQueries(domain::TimePoint now);
    protocol::HaveReply have(domain::TimePoint now);

    std::size_t chunkCount() const { return m_chunkCount; }
    bool isComplete(Member member) const;
    std::size_t memberCount() const { return m_activeMembers.size(); }
    std::uint32_t uploads(Member member) const { return m_members[member].uploads; }
    std::uint32_t originFetches() const { return m_originFetches; }

private:
    using Source = SourceTable::Index;

    struct Fetch
    {
        std::uint32_t chunk = 0;
        /// Empty for a fetch that a previous tracker assigned.
        std::optional<Source> source;
        /// Link into the data centre; empty for a fetch within it.
        std::optional<Source> link;
        domain::TimePoint startedAt;
        domain::TimePoint deadline;
        /// Number of chunks that the endpoint held when the fetch was planned.
        std::size_t heldBefore = 0;
        /// Whether the fetch still occupies a slot of its source.
        bool isCounted = true;
    };
    struct MemberState
    {
        bool isActive = false;
        bool hasManifest = false;
        Source source = 0;
        std::uint64_t hash = 0;
        RateWindow *window = nullptr;
        HaveMap have;
        HaveMap pending;
        std::size_t held = 0;
        std::size_t imports = 0;
        std::uint32_t uploads = 0;
        std::size_t activePosition = 0;
        std::vector<Fetch> fetches;
        /// Number of fetches in progress by source.
        std::unordered_map<Source, std::size_t> fetchesBySource;
        /// Chunks that this member owns, see m_owners; entries may be obsolete.
        std::vector<std::uint32_t> owned;
        /// Sources that this member does not use until the given time.
        std::unordered_map<Source, domain::TimePoint> avoided;
        domain::TimePoint manifestDeadline;
        /// Until this time the endpoint imports nothing and sends one chunk at a time.
        domain::TimePoint slowUntil;
    };
    struct ImportTimer
    {
        domain::TimePoint deadline;
        domain::TimePoint startedAt;
        Member member = 0;
        std::uint32_t chunk = 0;
        bool operator>(const ImportTimer &other) const { return deadline > other.deadline; }
    };
    struct Import
    {
        Source source = 0;
        Source link = 0;
    };
    /// The chunks that are fetched from one site, or from the origin.
    struct Route
    {
        std::size_t site = RelayPlan::Origin;
        HaveMap mask;
    };

    void start(std::size_t chunks);
    void claimAbsentChunks(Member member);
    void reassignOwned(Member member);
    void applyHave(MemberState &state, Member member, const HaveMap &have, domain::TimePoint now);
    void applyFetches(MemberState &state, Member member, const protocol::SwarmReport &report,
            domain::TimePoint now);
    void applyBadSources(
            MemberState &state, const protocol::SwarmReport &report, domain::TimePoint now);
    void onChunkGained(
            MemberState &state, Member member, std::uint32_t chunk, domain::TimePoint now);
    void onChunkLost(std::size_t chunk);
    void close(MemberState &state, const Fetch &fetch, bool isCompleted, domain::TimePoint now);

    void planManifest(
            Member member, MemberState &state, domain::TimePoint now, protocol::SwarmPlan &plan);
    bool planImport(
            Member member, std::size_t slots, domain::TimePoint now, protocol::SwarmPlan &plan);
    void planLocal(
            Member member, std::size_t slots, domain::TimePoint now, protocol::SwarmPlan &plan);
    bool planLocalWord(Member member, std::size_t rarity, std::size_t word, std::size_t slots,
            std::size_t &failures, domain::TimePoint now, protocol::SwarmPlan &plan);
    bool planUntrusted(Member member, domain::TimePoint now, protocol::SwarmPlan &plan);
    bool hasTrustedHolder(Member member, std::uint32_t chunk, domain::TimePoint now) const;
    /// Whether the holder is avoided as a source neither by the tracker nor by the member.
    bool isTrusted(Member holder, Member member, domain::TimePoint now) const;
    domain::Duration importTimeout(std::uint32_t chunk) const;
    void replaceOverdue(Member member, domain::TimePoint now, protocol::SwarmPlan &plan);
    void planEndgame(Member member, domain::TimePoint now, protocol::SwarmPlan &plan);
    bool duplicate(
            Member member, std::size_t position, domain::TimePoint now, protocol::SwarmPlan &plan);
    bool importOwned(Member member, domain::TimePoint now, protocol::SwarmPlan &plan);
    bool importOther(Member member, domain::TimePoint now, protocol::SwarmPlan &plan);
    std::uint64_t importable(std::size_t word, domain::TimePoint now) const;
    bool isOwnerBusy(std::uint32_t chunk, domain::TimePoint now) const;
    std::size_t importSlots(
            const MemberState &state, std::size_t slots, domain::TimePoint now) const;
    void recordDuration(MemberState &state, const Fetch &fetch, double &mean, double seconds,
            domain::TimePoint now) const;

    std::optional<Member> pickLocal(Member member, std::uint32_t chunk,
            std::optional<Source> except, domain::TimePoint now);
    void consider(Member candidate, Member member, std::uint32_t chunk,
            std::optional<Source> except, domain::TimePoint now, std::optional<Member> &best,
            double &bestCost) const;
    bool hasSentShare(const MemberState &state) const;
    double cost(const MemberState &state) const;
    std::optional<Import> pickImport(std::uint32_t chunk, domain::TimePoint now);
    std::optional<Import> pickFromSite(
            std::size_t site, std::uint32_t chunk, domain::TimePoint now);
    bool originHasCapacity(domain::TimePoint now) const;

    void assignLocal(Member member, std::uint32_t chunk, Member holder, domain::TimePoint now,
            protocol::SwarmPlan &plan);
    void assignImport(Member member, std::uint32_t chunk, const Import &import,
            domain::TimePoint now, protocol::SwarmPlan &plan);
    void add(MemberState &state, Fetch fetch, protocol::SwarmPlan &plan);
    void expireImports(domain::TimePoint now);

    void reviewSites(domain::TimePoint now);
    bool isToBeExcluded(const RemoteSite &remote, domain::TimePoint now) const;
    bool lacksRoutedChunks(const RemoteSite &remote) const;
    void rebuildRoutes();
    std::size_t siteIndex(const domain::DataCentreId &dataCentre) const;
    std::size_t random(std::size_t bound) { return bound == 0 ? 0 : m_random() % bound; }

    domain::Digest m_manifest;
    const SwarmOptions &m_options;
    SourceTable &m_sources;
    SourceTable &m_links;
    std::minstd_rand m_random;
    domain::TimePoint m_importsAllowedFrom;
    bool m_hasReports = false;

    std::size_t m_chunkCount = 0;
    RarityIndex m_rarity;
    /// Rendezvous keys of the chunks.
    std::vector<std::uint64_t> m_items;
    /// Owner of each absent chunk, the member with the highest rendezvous weight for it. The owner
    /// imports the chunk; other members do so only when it is busy or the chunk is overdue.
    std::vector<Member> m_owners;
    std::vector<std::uint64_t> m_ownerWeights;
    /// The most recent holders of each chunk; entries may be stale.
    std::vector<std::array<Member, 4>> m_recent;
    /// Number of fetches in progress by chunk.
    std::vector<std::uint32_t> m_inFlight;
    /// Chunks that are being imported by a fetch that is not late.
    HaveMap m_importing;
    /// Chunks that any member may import: an import has failed or is late, or the last holder has
    /// left.
    HaveMap m_overdue;
    std::priority_queue<ImportTimer, std::vector<ImportTimer>, std::greater<>> m_importTimers;
    std::unordered_map<std::uint32_t, std::uint32_t> m_importAttempts;

    std::vector<MemberState> m_members;
    std::vector<Member> m_activeMembers;
    std::vector<Member> m_freeMembers;

    std::vector<RemoteSite> m_remotes;
    SwarmSite m_ownSite;
    std::vector<Route> m_routes;
    std::size_t m_regionCount = 1;
    domain::TimePoint m_nextReview;

    std::uint32_t m_originFetches = 0;
    std::uint32_t m_duplicates = 0;
    double m_localSeconds = 0;
    double m_importSeconds = 0;
};

} // namespace oriolerill::distribution::internal
