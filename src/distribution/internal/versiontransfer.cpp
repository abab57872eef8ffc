#include "distribution/versiontransfer.h"

#include <algorithm>
#include <numeric>
#include <random>

namespace oriolerill::distribution {

std::string_view toString(FetchEnd end)
{
    switch (end) {
    case FetchEnd::Stored:
        return "stored";
    case FetchEnd::Corrupted:
        return "corrupted";
    case FetchEnd::Absent:
        return "absent";
    case FetchEnd::Failed:
        return "failed";
    case FetchEnd::TimedOut:
        return "timed_out";
    }
    return "failed";
}

VersionTransfer::VersionTransfer(
        PieceManifest manifest, domain::TimePoint now, VersionTransferOptions options)
    : m_manifest(std::move(manifest))
    , m_begunAt(now)
    , m_options(options)
    , m_pieces(m_manifest.pieces.size())
    , m_progressAt(now)
    , m_maxParallel(options.maxParallel)
{}

void VersionTransfer::setSources(std::shared_ptr<const PieceSources> sources)
{
    m_sources = std::move(sources);
    setOrder();
}

/// Pieces for which this VM is the primary go first, because other members wait for them. The rest
/// are in a random order per VM, so that requests for a piece do not reach its primary all at once.
void VersionTransfer::setOrder()
{
    m_order.resize(m_pieces.size());
    std::iota(m_order.begin(), m_order.end(), 0U);
    m_random.seed(m_sources->ownSeed());
    std::shuffle(m_order.begin(), m_order.end(), m_random);
    const auto others = std::stable_partition(m_order.begin(), m_order.end(),
            [this](std::uint32_t piece) { return m_sources->isPrimary(piece); });
    m_primaryCount = static_cast<std::size_t>(others - m_order.begin());
}

bool VersionTransfer::offer(std::uint32_t piece, std::string bytes)
{
    if (piece >= m_pieces.size() || m_pieces[piece].bytes)
        return false;
    if (domain::Digest::of(std::string_view(bytes)) != m_manifest.pieces[piece])
        return false;
    m_pieces[piece].bytes = std::make_shared<const std::string>(std::move(bytes));
    ++m_held;
    return true;
}

std::optional<PieceSource> VersionTransfer::sourceOf(
        std::uint32_t piece, domain::TimePoint now) const
{
    const auto stallTimeout = m_options.stallTimeout
            + m_options.stallTimeoutPerRank * static_cast<int>(m_sources->ownRank(piece));
    const bool isStalled = now - m_progressAt > stallTimeout;
    const bool mayFetchFromOrigin = !m_sources->hasOriginPlan() && !isAvoided("", now)
            && m_underWayOrigin < m_options.maxParallelOrigin;
    for (const PieceSource &source : m_sources->sources(piece)) {
        if (source.isOrigin())
            return mayFetchFromOrigin ? std::optional(source) : std::nullopt;
        if (!isAvoided(source.host, now) && !(isStalled && mayFetchFromOrigin))
            return source;
    }
    // No member of higher rank is left here, and VMs of another data centre have read the piece.
    return m_sources->hasOriginPlan() ? remoteSource(piece, now) : std::nullopt;
}

std::optional<PieceFetch> VersionTransfer::next(domain::TimePoint now)
{
    if (!m_sources || m_underWay >= m_maxParallel || hasSlowFetch(now))
        return std::nullopt;
    std::optional<PieceFetch> chosen = m_sources->hasOriginPlan() ? nextImport(now) : std::nullopt;
    if (!chosen)
        chosen = nextPrimary(now);
    if (!chosen)
        chosen = nextHeld(now);
    if (!chosen)
        chosen = nextSpeculative(now);
    if (chosen) {
        m_pieces[chosen->piece].isUnderWay = true;
        if (chosen->kind == FetchKind::Held)
            m_pieces[chosen->piece].heldFetchStartedAt = now;
        ++m_underWay;
        ++m_underWayOf[chosen->kind];
        m_underWayOrigin += chosen->source.isOrigin() ? 1 : 0;
    }
    return chosen;
}

bool VersionTransfer::hasSlowFetch(domain::TimePoint now) const
{
    return std::any_of(m_pieces.begin(), m_pieces.end(), [&](const Piece &piece) {
        return piece.heldFetchStartedAt
                && now - *piece.heldFetchStartedAt > m_options.slowFetchThreshold;
    });
}

bool VersionTransfer::isMissing(std::uint32_t piece) const
{
    return !m_pieces[piece].bytes && !m_pieces[piece].isUnderWay;
}

bool VersionTransfer::isAvoided(const std::string &host, domain::TimePoint now) const
{
    if (m_stopped.count(host) > 0)
        return true;
    const auto avoided = m_avoidedUntil.find(host);
    return avoided != m_avoidedUntil.end() && now < avoided->second;
}

std::optional<PieceFetch> VersionTransfer::nextPrimary(domain::TimePoint now) const
{
    if (underWay(FetchKind::Primary) >= m_options.maxParallelPrimary)
        return std::nullopt;
    for (std::size_t i = 0; i < m_primaryCount; ++i) {
        const std::uint32_t piece = m_order[i];
        if (!isMissing(piece))
            continue;
        // A VM of this data centre may have read it for another one.
        if (m_sources->hasOriginPlan() && !holdersOf(piece, now).empty())
            continue;
        auto source = remoteSource(piece, now);
        if (!source && !m_pieces[piece].isOriginRead && isHomeHeard(piece, now))
            source = sourceOf(piece, now);
        if (source)
            return PieceFetch{piece, *source, FetchKind::Primary};
    }
    return std::nullopt;
}

bool VersionTransfer::isImporter(std::uint32_t piece, domain::TimePoint now) const
{
    const auto &hosts = m_sources->importers(piece);
    const auto first = std::find_if(hosts.begin(), hosts.end(), [&](const std::string &host) {
        return host == m_sources->self() || !isAvoided(host, now);
    });
    return first != hosts.end() && *first == m_sources->self();
}

/// Requests to a data centre that cannot be reached would still be waited for after its return.
bool VersionTransfer::isHomeHeard(std::uint32_t piece, domain::TimePoint now) const
{
    const domain::DataCentreId *home = m_sources->homeOf(piece);
    if (home == nullptr)
        return true;
    const auto remote = m_remote.find(*home);
    return remote != m_remote.end()
            && now - remote->second.receivedAt <= m_options.remoteHoldingsLifetime;
}

/// A piece that another data centre holds and no VM of this one. Pieces that nobody is known to
/// hold must not occupy the requests of these: two VMs that wait for each other's pieces would
/// never fetch their own.
std::optional<PieceFetch> VersionTransfer::nextImport(domain::TimePoint now) const
{
    if (underWay(FetchKind::Primary) >= m_options.maxParallelPrimary)
        return std::nullopt;
    for (const std::uint32_t piece : m_order) {
        if (!isMissing(piece) || !isImporter(piece, now) || !holdersOf(piece, now).empty())
            continue;
        if (const auto source = remoteSource(piece, now))
            return PieceFetch{piece, *source, FetchKind::Primary};
    }
    return std::nullopt;
}

std::optional<PieceSource> VersionTransfer::remoteSource(
        std::uint32_t piece, domain::TimePoint now) const
{
    for (const auto &[dataCentre, remote] : m_remote) {
        const bool isHeld = now - remote.receivedAt <= m_options.remoteHoldingsLifetime
                && remote.held.test(piece);
        if (!isHeld)
            continue;
        // In turn, because the first one may not have the piece yet.
        const std::vector<PieceSource> sources = m_sources->importSources(piece, dataCentre);
        for (std::size_t i = 0; i < sources.size(); ++i) {
            const PieceSource &source = sources[(i + m_pieces[piece].absences) % sources.size()];
            if (!isAvoided(source.host, now))
                return source;
        }
    }
    return std::nullopt;
}

void VersionTransfer::onRemoteHoldings(
        const domain::DataCentreId &dataCentre, HaveMap held, domain::TimePoint now)
{
    if (held.size() == m_pieces.size())
        m_remote[dataCentre] = {std::move(held), now};
}

PieceFetch VersionTransfer::beginOriginRead(std::uint32_t piece)
{
    m_pieces[piece].isOriginRead = true;
    ++m_underWayOf[FetchKind::OriginRead];
    return {piece, {}, FetchKind::OriginRead};
}

/// Selects the piece that the fewest peers hold, so that peers have pieces to exchange. The source
/// is the less loaded of two random holders: with the least loaded one, all VMs would choose the
/// same holder.
std::optional<PieceFetch> VersionTransfer::nextHeld(domain::TimePoint now)
{
    if (underWay(FetchKind::Held) >= m_options.maxParallelHeld)
        return std::nullopt;
    return m_sources->hasOriginPlan() ? nextLeastLoaded(now) : nextRarest(now);
}

std::vector<const std::string *> VersionTransfer::holdersOf(
        std::uint32_t piece, domain::TimePoint now) const
{
    std::vector<const std::string *> holders;
    for (const auto &[host, peer] : m_peers) {
        if (now - peer.receivedAt <= m_options.holdingsLifetime && peer.held.test(piece)
                && !isAvoided(host, now))
            holders.push_back(&host);
    }
    return holders;
}

const std::string &VersionTransfer::lessLoaded(const std::vector<const std::string *> &holders)
{
    std::uniform_int_distribution<std::size_t> draw(0, holders.size() - 1);
    const std::string &first = *holders[draw(m_random)];
    const std::string &second = *holders[draw(m_random)];
    return m_peers.at(first).waiting <= m_peers.at(second).waiting ? first : second;
}

std::optional<PieceFetch> VersionTransfer::nextRarest(domain::TimePoint now)
{
    std::optional<std::uint32_t> rarest;
    std::vector<const std::string *> rarestHolders;
    for (const std::uint32_t piece : m_order) {
        if (!isMissing(piece))
            continue;
        std::vector<const std::string *> holders = holdersOf(piece, now);
        if (!holders.empty() && (!rarest || holders.size() < rarestHolders.size())) {
            rarest = piece;
            rarestHolders = std::move(holders);
        }
    }
    if (!rarest)
        return std::nullopt;
    const std::string &host = lessLoaded(rarestHolders);
    ++m_peers.at(host).waiting;
    return PieceFetch{*rarest, {host}, FetchKind::Held};
}

/// While pieces arrive one by one from the origin, the rarest piece has a single holder. With all
/// VMs of the data centre in its queue, the links of the others would be idle. So each VM selects
/// any piece, in its own random order, whose holder has a short queue.
std::optional<PieceFetch> VersionTransfer::nextLeastLoaded(domain::TimePoint now)
{
    std::optional<PieceFetch> best;
    std::uint32_t bestWaiting = 0;
    for (const std::uint32_t piece : m_order) {
        if (!isMissing(piece))
            continue;
        const std::vector<const std::string *> holders = holdersOf(piece, now);
        if (holders.empty())
            continue;
        const std::string &host = lessLoaded(holders);
        const std::uint32_t waiting = m_peers.at(host).waiting;
        if (!best || waiting < bestWaiting) {
            best = PieceFetch{piece, {host}, FetchKind::Held};
            bestWaiting = waiting;
        }
        if (bestWaiting <= m_options.shortQueue)
            break;
    }
    if (best)
        ++m_peers.at(best->source.host).waiting;
    return best;
}

std::optional<PieceFetch> VersionTransfer::nextSpeculative(domain::TimePoint now) const
{
    if (underWay(FetchKind::Speculative) >= m_options.maxParallelSpeculative)
        return std::nullopt;
    for (std::size_t i = m_primaryCount; i < m_order.size(); ++i) {
        if (!isMissing(m_order[i]) || m_pieces[m_order[i]].isOriginRead)
            continue;
        if (const auto source = sourceOf(m_order[i], now))
            return PieceFetch{m_order[i], *source, FetchKind::Speculative};
    }
    return std::nullopt;
}

std::size_t VersionTransfer::underWay(FetchKind kind) const
{
    const auto found = m_underWayOf.find(kind);
    return found == m_underWayOf.end() ? 0 : found->second;
}

void VersionTransfer::onHoldings(
        const std::string &host, HaveMap held, std::uint32_t waiting, domain::TimePoint now)
{
    if (held.size() == m_pieces.size())
        m_peers[host] = {std::move(held), waiting, now};
}

bool VersionTransfer::isExchangeNeeded(domain::TimePoint now) const
{
    return !isComplete() || std::any_of(m_peers.begin(), m_peers.end(), [&](const auto &entry) {
        const Peer &peer = entry.second;
        return now - peer.receivedAt <= m_options.holdingsLifetime && !peer.held.isFull();
    });
}

HaveMap VersionTransfer::inFlight() const
{
    HaveMap inFlight(m_pieces.size());
    for (std::size_t piece = 0; piece < m_pieces.size(); ++piece) {
        if (m_pieces[piece].isOriginRead || m_pieces[piece].heldFetchStartedAt)
            inFlight.set(piece);
    }
    return inFlight;
}

HaveMap VersionTransfer::held() const
{
    HaveMap held(m_pieces.size());
    for (std::size_t piece = 0; piece < m_pieces.size(); ++piece) {
        if (m_pieces[piece].bytes)
            held.set(piece);
    }
    return held;
}

FetchEnd VersionTransfer::onEnd(
        const PieceFetch &fetch, FetchEnd end, std::string bytes, domain::TimePoint now)
{
    --m_underWayOf[fetch.kind];
    if (fetch.kind == FetchKind::OriginRead) {
        m_pieces[fetch.piece].isOriginRead = false;
    } else {
        m_pieces[fetch.piece].isUnderWay = false;
        m_pieces[fetch.piece].heldFetchStartedAt.reset();
        --m_underWay;
        m_underWayOrigin -= fetch.source.isOrigin() ? 1 : 0;
    }
    if (end == FetchEnd::Stored && !m_pieces[fetch.piece].bytes
            && !offer(fetch.piece, std::move(bytes)))
        end = FetchEnd::Corrupted;
    switch (end) {
    case FetchEnd::Stored:
        m_avoidedUntil.erase(fetch.source.host);
        m_progressAt = now;
        m_maxParallel = std::min(m_maxParallel + 1, m_options.maxParallel);
        break;
    case FetchEnd::Corrupted:
        ++m_mismatches;
        // The origin is the last source, and its next answer may be correct.
        if (!fetch.source.isOrigin())
            m_avoidedUntil[fetch.source.host] = now + m_options.sourceAvoidance;
        break;
    case FetchEnd::Absent:
        ++m_pieces[fetch.piece].absences;
        break;
    case FetchEnd::TimedOut:
        if (fetch.kind == FetchKind::OriginRead)
            break;
        m_maxParallel = std::max<std::size_t>(m_maxParallel / 2, 1);
        [[fallthrough]];
    case FetchEnd::Failed:
        if (fetch.kind == FetchKind::OriginRead)
            break;
        if (fetch.kind == FetchKind::Primary && m_sources->hasOriginPlan()) {
            m_avoidedUntil[fetch.source.host] = now + m_options.sourceAvoidance * 4;
            break;
        }
        m_avoidedUntil[fetch.source.host] = now
                + (fetch.source.isOrigin() ? m_options.sourceAvoidance / 6
                                           : m_options.sourceAvoidance);
        break;
    }
    return end;
}

std::shared_ptr<const std::string> VersionTransfer::piece(std::uint32_t piece) const
{
    return piece < m_pieces.size() ? m_pieces[piece].bytes : nullptr;
}

bool VersionTransfer::isManifestSuspect() const
{
    return !isComplete() && m_mismatches >= m_options.mismatchThreshold;
}

} // namespace oriolerill::distribution
