#include "distribution/piecesources.h"

#include "distribution/originplan.h"
#include "domain/rendezvous.h"

#include <algorithm>
#include <set>

namespace oriolerill::distribution {

namespace {

/// Maximum number of ranked members of one data centre, or of holders, that are tried before the
/// next kind of source.
constexpr std::size_t MaxMembersTried = 2;
constexpr std::size_t MaxHoldersTried = 3;

} // namespace

PieceSources::PieceSources(WeightsVersion version, PushMember self, std::vector<PushMember> members,
        std::size_t pieces, std::shared_ptr<const OriginPlan> origin)
    : m_version(std::move(version))
    , m_self(std::move(self))
    , m_origin(std::move(origin))
    , m_members(std::move(members))
{
    const bool isListed = std::any_of(m_members.begin(), m_members.end(),
            [this](const PushMember &member) { return member.host == m_self.host; });
    if (!isListed)
        m_members.push_back(m_self);
    assignPrimaries(pieces);
    assignImporters(pieces);
}

void PieceSources::assignImporters(std::size_t pieces)
{
    m_importers.resize(pieces);
    if (!m_origin)
        return;
    for (std::uint32_t piece = 0; piece < pieces; ++piece) {
        if (!holders(keyOf(piece), true).empty())
            continue;
        const domain::DataCentreId *home = homeOf(piece);
        m_importers[piece] = home != nullptr && *home == m_self.dataCentre
                ? m_origin->readers(m_origin->laneOf(piece), *home)
                : rankedMembers(piece, m_self.dataCentre);
    }
}

const std::vector<std::string> &PieceSources::importers(std::uint32_t piece) const
{
    return m_importers[piece];
}

/// Assigns each piece in turn to the highest ranked member that is below its share. A change of the
/// list of members then reassigns few pieces.
void PieceSources::assignPrimaries(std::size_t pieces)
{
    std::map<domain::DataCentreId, std::vector<std::size_t>> positions;
    for (std::size_t i = 0; i < m_members.size(); ++i)
        positions[m_members[i].dataCentre].push_back(i);
    for (const auto &[dataCentre, local] : positions) {
        const std::size_t maxPerMember = (pieces + local.size() - 1) / local.size();
        std::vector<std::size_t> assigned(local.size(), 0);
        std::vector<std::size_t> &primaries = m_primaries[dataCentre];
        primaries.reserve(pieces);
        for (std::uint32_t piece = 0; piece < pieces; ++piece) {
            const std::string key = keyOf(piece);
            std::size_t best = local.size();
            std::uint64_t bestWeight = 0;
            for (std::size_t i = 0; i < local.size(); ++i) {
                const std::uint64_t weight
                        = domain::rendezvousWeight(key, m_members[local[i]].host);
                if (assigned[i] < maxPerMember && (best == local.size() || weight > bestWeight)) {
                    best = i;
                    bestWeight = weight;
                }
            }
            ++assigned[best];
            primaries.push_back(local[best]);
        }
    }
}

std::string PieceSources::keyOf(std::uint32_t piece) const
{
    return m_version.model.value() + '/' + std::to_string(m_version.number) + '/'
            + std::to_string(piece);
}

std::vector<std::string> PieceSources::rankedMembers(
        std::uint32_t piece, const domain::DataCentreId &dataCentre) const
{
    std::vector<std::string> hosts;
    for (const PushMember &member : m_members) {
        if (member.dataCentre == dataCentre)
            hosts.push_back(member.host);
    }
    std::vector<std::string> ranked = domain::rendezvousRank(keyOf(piece), std::move(hosts));
    const auto primaries = m_primaries.find(dataCentre);
    if (primaries != m_primaries.end()) {
        const std::string &primary = m_members[primaries->second[piece]].host;
        const auto position = std::find(ranked.begin(), ranked.end(), primary);
        std::rotate(ranked.begin(), position, position + 1);
    }
    return ranked;
}

std::vector<std::string> PieceSources::holders(const std::string &key, bool isLocal) const
{
    std::vector<std::string> hosts;
    for (const PushMember &member : m_members) {
        const bool isHere = member.dataCentre == m_self.dataCentre;
        if (isHere == isLocal && member.host != m_self.host
                && member.servedVersion == m_version.number)
            hosts.push_back(member.host);
    }
    // Ranked by the own host too, so that VMs that join together use different holders.
    return domain::rendezvousRank(key + '/' + m_self.host, std::move(hosts));
}

std::vector<domain::DataCentreId> PieceSources::rankedDataCentres(const std::string &key) const
{
    std::set<std::string> names;
    for (const PushMember &member : m_members)
        names.insert(member.dataCentre.value());
    std::vector<domain::DataCentreId> rank;
    for (const std::string &name :
            domain::rendezvousRank(key, std::vector<std::string>(names.begin(), names.end())))
        rank.emplace_back(name);
    return rank;
}

const domain::DataCentreId *PieceSources::homeOf(std::uint32_t piece) const
{
    if (!m_origin || m_origin->dataCentres(m_origin->laneOf(piece)).empty())
        return nullptr;
    return &m_origin->dataCentres(m_origin->laneOf(piece)).front();
}

std::vector<PieceSource> PieceSources::importSources(
        std::uint32_t piece, const domain::DataCentreId &dataCentre) const
{
    const domain::DataCentreId *home = homeOf(piece);
    const bool isHome = home != nullptr && *home == dataCentre;
    const std::vector<std::string> &hosts = isHome
            ? m_origin->readers(m_origin->laneOf(piece), dataCentre)
            : rankedMembers(piece, dataCentre);
    std::vector<PieceSource> sources;
    for (std::size_t i = 0; i < std::min(hosts.size(), MaxMembersTried); ++i)
        sources.push_back({hosts[i]});
    return sources;
}

bool PieceSources::isPrimary(std::uint32_t piece) const
{
    const domain::DataCentreId *home = homeOf(piece);
    if (home != nullptr && *home == m_self.dataCentre)
        return false;
    return holders(keyOf(piece), true).empty()
            && rankedMembers(piece, m_self.dataCentre).front() == m_self.host;
}

std::size_t PieceSources::ownRank(std::uint32_t piece) const
{
    const std::vector<std::string> ranked = rankedMembers(piece, m_self.dataCentre);
    return static_cast<std::size_t>(
            std::find(ranked.begin(), ranked.end(), m_self.host) - ranked.begin());
}

std::uint32_t PieceSources::ownSeed() const
{
    return static_cast<std::uint32_t>(domain::rendezvousWeight(keyOf(0), m_self.host));
}

const std::vector<PieceSource> &PieceSources::sources(std::uint32_t piece) const
{
    const auto known = m_rankedSources.find(piece);
    return known != m_rankedSources.end()
            ? known->second
            : m_rankedSources.emplace(piece, rankSources(piece)).first->second;
}

std::vector<PieceSource> PieceSources::rankSources(std::uint32_t piece) const
{
    const std::string key = keyOf(piece);
    std::vector<PieceSource> sources;
    const auto add = [&](const std::vector<std::string> &hosts, std::size_t limit) {
        for (const std::string &host : hosts) {
            const bool isNew
                    = std::find(sources.begin(), sources.end(), PieceSource{host}) == sources.end();
            if (limit == 0)
                return;
            if (host == m_self.host || !isNew)
                continue;
            sources.push_back({host});
            --limit;
        }
    };
    add(holders(key, true), MaxHoldersTried);
    const domain::DataCentreId *home = homeOf(piece);
    if (home != nullptr && *home == m_self.dataCentre) {
        // Only readers that rank higher: two that wait for each other would never finish.
        std::vector<std::string> readers = m_origin->readers(m_origin->laneOf(piece), *home);
        const auto self = std::find(readers.begin(), readers.end(), m_self.host);
        readers.erase(self, readers.end());
        add(readers, MaxMembersTried);
        return sources;
    }
    if (!isPrimary(piece)) {
        // Only members that rank higher: two members that wait for each other would never finish.
        std::vector<std::string> ranked = rankedMembers(piece, m_self.dataCentre);
        ranked.erase(std::find(ranked.begin(), ranked.end(), m_self.host), ranked.end());
        add(ranked, MaxMembersTried);
    }
    add(holders(key, false), MaxHoldersTried);
    if (home != nullptr) {
        add(m_origin->readers(m_origin->laneOf(piece), *home), MaxMembersTried);
        return sources;
    }
    for (const domain::DataCentreId &dataCentre : rankedDataCentres(key)) {
        if (dataCentre == m_self.dataCentre)
            break;
        add(rankedMembers(piece, dataCentre), MaxMembersTried);
    }
    sources.push_back({});
    return sources;
}

} // namespace oriolerill::distribution
