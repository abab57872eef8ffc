#pragma once

#include "distribution/weightsversion.h"
#include "domain/strongid.h"

#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace oriolerill::distribution {

/// A VM of the service with an engine and an agent, as listed by the platform.
struct PushMember
{
    /// IPv4 address of the VM; identifies it.
    std::string host;
    domain::DataCentreId dataCentre;
    /// Version of the model that its engine serves; 0 when none.
    std::uint64_t servedVersion = 0;
};

/// Source of a piece: the agent of another VM, or the origin when the host is empty.
struct PieceSource
{
    std::string host;

    bool isOrigin() const { return host.empty(); }
    friend bool operator==(const PieceSource &, const PieceSource &) = default;
};

class OriginPlan;

/// The plan by which all agents fetch a version. Each agent computes the same plan from the list of
/// members, without a tracker, a leader or writes to the store.
///
/// Each piece leaves the origin once, to one member of one data centre. One member of each further
/// data centre, the primary of the piece there, fetches it from that data centre. All others fetch
/// it within their data centre. Primaries are chosen by rendezvous hashing of the piece over the
/// members, with an equal number of pieces for each: a primary sends the piece to all others, so
/// the push ends when the primary with the most pieces has sent all of them. VMs that join later
/// fetch from members that already serve the version.
///
/// With a plan of the origin, the readers of the lanes fetch from the origin, outside of this plan,
/// and the origin is no source here. The reader of a piece takes the place of the primary in its
/// data centre.
class PieceSources
{
public:
    PieceSources(WeightsVersion version, PushMember self, std::vector<PushMember> members,
            std::size_t pieces, std::shared_ptr<const OriginPlan> origin = nullptr);

    /// Whether the origin is read by the plan of its lanes.
    bool hasOriginPlan() const { return m_origin != nullptr; }
    const std::string &self() const { return m_self.host; }
    /// Data centre whose VMs read the piece from the origin; null without a plan of the origin.
    const domain::DataCentreId *homeOf(std::uint32_t piece) const;
    /// Sources of a piece in another data centre that holds it.
    std::vector<PieceSource> importSources(
            std::uint32_t piece, const domain::DataCentreId &dataCentre) const;
    /// Sources of a piece in the order in which they are tried; the origin, if any, is the last.
    const std::vector<PieceSource> &sources(std::uint32_t piece) const;
    /// Members of the own data centre in the order in which they fetch the piece from another data
    /// centre that holds it; empty without a plan of the origin, and when a member there serves the
    /// version already.
    const std::vector<std::string> &importers(std::uint32_t piece) const;
    /// Whether this VM fetches the piece into its data centre, for the other members. False when
    /// another member there serves the version already.
    bool isPrimary(std::uint32_t piece) const;
    /// Rank of this VM for the piece in its data centre; the primary has rank 0.
    std::size_t ownRank(std::uint32_t piece) const;

    /// Seed for random choices, different for each VM and version.
    std::uint32_t ownSeed() const;

private:
    std::string keyOf(std::uint32_t piece) const;
    void assignPrimaries(std::size_t pieces);
    std::vector<PieceSource> rankSources(std::uint32_t piece) const;
    void assignImporters(std::size_t pieces);
    /// Members of a data centre ranked for the piece, the primary first.
    std::vector<std::string> rankedMembers(
            std::uint32_t piece, const domain::DataCentreId &dataCentre) const;
    std::vector<std::string> holders(const std::string &key, bool isLocal) const;
    std::vector<domain::DataCentreId> rankedDataCentres(const std::string &key) const;

    WeightsVersion m_version;
    PushMember m_self;
    std::shared_ptr<const OriginPlan> m_origin;
    /// All members, this VM included.
    std::vector<PushMember> m_members;
    /// Results of sources(), which ranks the members several times.
    mutable std::map<std::uint32_t, std::vector<PieceSource>> m_rankedSources;
    /// Index in m_members of the primary of each piece, by data centre.
    std::map<domain::DataCentreId, std::vector<std::size_t>> m_primaries;
    /// By piece. Kept, because ranking the members is expensive.
    std::vector<std::vector<std::string>> m_importers;
};

} // namespace oriolerill::distribution
