#include "distribution/versiontransfer.h"

#include <algorithm>
#include <numeric>
#include <random>

namespace oriolerill::distribution {

VersionTransfer::VersionTransfer(
        PieceManifest manifest, domain::TimePoint now, VersionTransferOptions options)
    : m_manifest(std::move(manifest))
    , m_begunAt(now)
    , m_options(options)
    , m_pieces(m_manifest.pieces.size())
    , m_progressAt(now)
    , m_parallel(options.parallel)
{}

void VersionTransfer::setSources(std::shared_ptr<const PieceSources> sources)
{
    m_sources = std::move(sources);
    setOrder();
}

/// Pieces that others of this data centre wait for go first. Each VM takes the others in an order
/// of its own, so that not all ask the same taker for the same piece at the same time.
void VersionTransfer::setOrder()
{
    m_order.resize(m_pieces.size());
    std::iota(m_order.begin(), m_order.end(), 0U);
    std::mt19937 random(m_sources->seedOfSelf());
    std::shuffle(m_order.begin(), m_order.end(), random);
    std::stable_partition(m_order.begin(), m_order.end(),
            [this](std::uint32_t piece) { return m_sources->isFirstTaker(piece); });
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
    const auto patience = m_options.patience
            + m_options.patienceStep * static_cast<int>(m_sources->rankOfSelf(piece));
    const bool isImpatient = now - m_progressAt > patience;
    const auto isPaused = [&](const std::string &host) {
        const auto paused = m_pausedUntil.find(host);
        return paused != m_pausedUntil.end() && now < paused->second;
    };
    const bool mayAskOrigin = !isPaused("") && m_underWayOrigin < m_options.parallelOrigin;
    for (const PieceSource &source : m_sources->sources(piece)) {
        if (source.isOrigin())
            return mayAskOrigin ? std::optional(source) : std::nullopt;
        if (!isPaused(source.host) && !(isImpatient && mayAskOrigin))
            return source;
    }
    return std::nullopt;
}

std::optional<PieceFetch> VersionTransfer::next(domain::TimePoint now)
{
    if (!m_sources || m_underWay >= m_parallel)
        return std::nullopt;
    std::optional<PieceFetch> chosen;
    for (const std::uint32_t piece : m_order) {
        if (m_pieces[piece].bytes || m_pieces[piece].isUnderWay)
            continue;
        const auto source = sourceOf(piece, now);
        if (!source)
            continue;
        chosen = PieceFetch{piece, *source};
        break;
    }
    if (chosen) {
        m_pieces[chosen->piece].isUnderWay = true;
        ++m_underWay;
        m_underWayOrigin += chosen->source.isOrigin() ? 1 : 0;
    }
    return chosen;
}

FetchEnd VersionTransfer::onEnd(
        const PieceFetch &fetch, FetchEnd end, std::string bytes, domain::TimePoint now)
{
    m_pieces[fetch.piece].isUnderWay = false;
    --m_underWay;
    m_underWayOrigin -= fetch.source.isOrigin() ? 1 : 0;
    if (end == FetchEnd::Stored && !m_pieces[fetch.piece].bytes
            && !offer(fetch.piece, std::move(bytes)))
        end = FetchEnd::Corrupted;
    switch (end) {
    case FetchEnd::Stored:
        m_pausedUntil.erase(fetch.source.host);
        m_progressAt = now;
        m_parallel = std::min(m_parallel + 1, m_options.parallel);
        break;
    case FetchEnd::Corrupted:
        ++m_mismatches;
        // The origin is the last resort, and its next bytes may be right.
        if (!fetch.source.isOrigin())
            m_pausedUntil[fetch.source.host] = now + m_options.sourcePause;
        break;
    case FetchEnd::Absent:
        break;
    case FetchEnd::TimedOut:
        m_parallel = std::max<std::size_t>(m_parallel / 2, 1);
        [[fallthrough]];
    case FetchEnd::Failed:
        m_pausedUntil[fetch.source.host] = now
                + (fetch.source.isOrigin() ? m_options.sourcePause / 6 : m_options.sourcePause);
        break;
    }
    return end;
}

std::shared_ptr<const std::string> VersionTransfer::piece(std::uint32_t piece) const
{
    return piece < m_pieces.size() ? m_pieces[piece].bytes : nullptr;
}

bool VersionTransfer::isManifestDoubtful() const
{
    return !isComplete() && m_mismatches >= m_options.manifestDoubt;
}

} // namespace oriolerill::distribution
