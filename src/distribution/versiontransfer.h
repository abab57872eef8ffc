#pragma once

#include "distribution/havemap.h"
#include "distribution/piecesources.h"
#include "distribution/weightsversion.h"
#include "domain/timepoint.h"

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <string>
#include <vector>

namespace oriolerill::distribution {

struct VersionTransferOptions
{
    /// Most pieces fetched at a time. A fetch that ends by its deadline halves the number, a piece
    /// that comes adds one: on a link that has become narrow, pieces asked for together would form
    /// a queue of seconds, behind which requests wait too.
    std::size_t maxParallel = 6;
    /// No fetch begins while one from a source that holds the piece has taken this long: a piece
    /// takes 42 ms alone, with two others and the wait at a busy source well under this, and over a
    /// link of 1.2 Mbit/s 330 ms alone.
    domain::Duration slowFetchThreshold = std::chrono::milliseconds(700);
    /// Of these, pieces that their sources are known to hold. Two keep a link busy; the third
    /// covers the way of the next request.
    std::size_t maxParallelHeld = 3;
    /// Of these, pieces that others wait for and that their sources may still be fetching.
    std::size_t maxParallelPrimary = 3;
    /// Of these, pieces asked for without word of who holds them, in case no word arrives.
    std::size_t maxParallelSpeculative = 1;
    /// Of these, pieces fetched from the origin, which takes few connections in all.
    std::size_t maxParallelOrigin = 2;
    /// Word of what a peer holds counts for this long; it comes each 100 ms.
    domain::Duration holdingsLifetime = std::chrono::milliseconds(1000);
    /// A source that fails is not asked again for this long.
    domain::Duration sourceAvoidance = std::chrono::milliseconds(1500);
    /// Members that are not the first to fetch a piece turn to the origin for it once no piece has
    /// come for this long, so much later for each member that ranks before. While pieces come, the
    /// takers are at work, and the origin's link is theirs.
    domain::Duration stallTimeout = std::chrono::milliseconds(1000);
    domain::Duration stallTimeoutPerRank = std::chrono::milliseconds(120);
    /// Pieces that did not have their digest before the manifest itself is doubted.
    std::uint32_t mismatchThreshold = 3;
};

/// Why a fetch was begun; each kind has a limit of its own.
enum class FetchKind {
    /// Others wait for this VM to have the piece.
    Primary,
    /// The source has told that it holds the piece.
    Held,
    /// The source should have the piece some time.
    Speculative,
};

struct PieceFetch
{
    std::uint32_t piece = 0;
    PieceSource source;
    FetchKind kind = FetchKind::Speculative;
};

enum class FetchEnd {
    Stored,
    /// The bytes did not have the piece's digest.
    Corrupted,
    /// The source does not have the piece yet.
    Absent,
    /// The source refused or closed the connection.
    Failed,
    /// The source did not answer, or too slowly, within the deadline.
    TimedOut,
};

/// The fetch of one version by one VM: which piece comes next, from where, and what is held.
///
/// Load pattern: hundreds of VMs fetch at once over thin links, with slow, dead and corrupting
/// sources among them. No I/O; not safe for concurrent use.
class VersionTransfer
{
public:
    VersionTransfer(
            PieceManifest manifest, domain::TimePoint now, VersionTransferOptions options = {});

    const PieceManifest &manifest() const { return m_manifest; }
    void setSources(std::shared_ptr<const PieceSources> sources);
    /// Bytes that are there already, for example staged before a restart; checked as all others.
    bool offer(std::uint32_t piece, std::string bytes);
    /// What a peer of this data centre holds of this version, and how many requests wait there.
    void onHoldings(
            const std::string &host, HaveMap held, std::uint32_t waiting, domain::TimePoint now);
    HaveMap held() const;
    /// Whether this VM or a peer that was heard of lately still lacks pieces.
    bool isShared(domain::TimePoint now) const;
    /// The next fetch to begin; none while enough are under way or nothing is missing.
    std::optional<PieceFetch> next(domain::TimePoint now);
    /// Ends a fetch; with bytes when some came. Tells what became of it.
    FetchEnd onEnd(const PieceFetch &fetch, FetchEnd end, std::string bytes, domain::TimePoint now);

    std::shared_ptr<const std::string> piece(std::uint32_t piece) const;
    std::size_t heldCount() const { return m_held; }
    bool isComplete() const { return m_held == m_pieces.size(); }
    /// Whether a piece that its source holds has been under way for too long.
    bool hasSlowFetch(domain::TimePoint now) const;
    /// Pieces that may be fetched at a time now.
    std::size_t currentMaxParallel() const { return m_maxParallel; }
    /// When the last piece came, or the transfer began.
    domain::TimePoint progressAt() const { return m_progressAt; }
    /// Pieces from several sources did not match: the manifest is to be fetched again.
    bool isManifestDoubtful() const;

private:
    struct Piece
    {
        std::shared_ptr<const std::string> bytes;
        bool isUnderWay = false;
        /// When a fetch from a source that holds the piece began.
        std::optional<domain::TimePoint> heldFetchStartedAt;
    };

    struct Peer
    {
        HaveMap held;
        std::uint32_t waiting = 0;
        domain::TimePoint receivedAt;
    };

    void setOrder();
    bool isMissing(std::uint32_t piece) const;
    bool isAvoided(const std::string &host, domain::TimePoint now) const;
    std::optional<PieceFetch> nextPrimary(domain::TimePoint now) const;
    std::optional<PieceFetch> nextHeld(domain::TimePoint now);
    std::size_t underWay(FetchKind kind) const;
    std::optional<PieceFetch> nextSpeculative(domain::TimePoint now) const;
    std::optional<PieceSource> sourceOf(std::uint32_t piece, domain::TimePoint now) const;

    PieceManifest m_manifest;
    domain::TimePoint m_begunAt;
    VersionTransferOptions m_options;
    std::shared_ptr<const PieceSources> m_sources;
    std::vector<Piece> m_pieces;
    /// Sources that are not asked until then.
    std::map<std::string, domain::TimePoint> m_avoidedUntil;
    domain::TimePoint m_progressAt;
    std::size_t m_held = 0;
    std::size_t m_underWay = 0;
    std::map<FetchKind, std::size_t> m_underWayOf;
    std::map<std::string, Peer> m_peers;
    std::mt19937 m_random;
    std::size_t m_maxParallel;
    std::size_t m_underWayOrigin = 0;
    /// Pieces in the order in which this VM fetches them.
    std::vector<std::uint32_t> m_order;
    /// How many of them come first because others wait for them.
    std::size_t m_primaryCount = 0;
    std::uint32_t m_mismatches = 0;
};

} // namespace oriolerill::distribution
