#pragma once

#include "distribution/weightsversion.h"
#include "domain/strongid.h"

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace oriolerill::distribution {

/// A VM beside an engine of the service, as the platform's list shows it.
struct PushMember
{
    /// IPv4 address of the VM; identifies it.
    std::string host;
    domain::DataCentreId dataCentre;
    /// Version of the model that its engine serves; zero when none.
    std::uint64_t servedVersion = 0;
};

/// Where a piece can be fetched: from the agent of another VM, or from the origin when it is empty.
struct PieceSource
{
    std::string host;

    bool isOrigin() const { return host.empty(); }
    friend bool operator==(const PieceSource &, const PieceSource &) = default;
};

/// The plan by which all agents fetch a version, computed alike by each from the list of members:
/// no tracker, no leader and no writes to the store.
///
/// Each piece leaves the origin once, to one member of one data centre; one member of each further
/// data centre fetches it from there; all others fetch it inside their data centre. Who that is
/// follows from rendezvous hashing of the piece over the members, with an equal number of pieces
/// for each of them: the one who is first sends the piece to all others, and the push is over when
/// the busiest member has sent all of its own. VMs that join later fetch from members that serve
/// the version already.
class PieceSources
{
public:
    PieceSources(WeightsVersion version, PushMember self, std::vector<PushMember> members,
            std::size_t pieces);

    /// Sources of a piece in the order in which they are to be tried; the origin is always the
    /// last.
    std::vector<PieceSource> sources(std::uint32_t piece) const;
    /// Whether this VM is the first of its data centre to fetch the piece. Such pieces are fetched
    /// first, since others wait for them.
    bool isPrimary(std::uint32_t piece) const;
    /// Position of this VM among the takers of the piece in its data centre.
    std::size_t ownRank(std::uint32_t piece) const;

    /// A number that differs from VM to VM and from version to version.
    std::uint32_t ownSeed() const;

private:
    std::string keyOf(std::uint32_t piece) const;
    void assignPrimaries(std::size_t pieces);
    /// Members of a data centre in the order in which they take the piece.
    std::vector<std::string> rankedMembers(
            std::uint32_t piece, const domain::DataCentreId &dataCentre) const;
    std::vector<std::string> holders(const std::string &key, bool isLocal) const;
    std::vector<domain::DataCentreId> rankedDataCentres(const std::string &key) const;

    WeightsVersion m_version;
    PushMember m_self;
    /// Other members and this one.
    std::vector<PushMember> m_members;
    /// Position in m_members of the first taker of each piece, by data centre.
    std::map<domain::DataCentreId, std::vector<std::size_t>> m_primaries;
};

} // namespace oriolerill::distribution
