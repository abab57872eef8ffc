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
#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace oriolerill::distribution {

struct VersionTransferOptions
{
    /// Maximum number of pieces fetched in parallel. The current maximum is halved when a fetch
    /// times out and grows by one with each piece: on a link whose rate has dropped, pieces
    /// requested together would form a queue of seconds that delays requests to the engine too.
    std::size_t maxParallel = 6;
    /// No fetch begins while a fetch from a source that holds the piece has taken longer than this.
    /// A single piece takes 42 ms, and 330 ms over a link of 1.2 Mbit/s; with two others and the
    /// wait at a busy source it stays well below this.
    domain::Duration slowFetchThreshold = std::chrono::milliseconds(700);
    /// Part of maxParallel for pieces that the source is known to hold. Two saturate a link; the
    /// third covers the round trip of the next request.
    std::size_t maxParallelHeld = 3;
    /// A holder with at most this many waiting requests sends a piece within about 0.1 s.
    std::uint32_t shortQueue = 2;
    /// Part of maxParallel for pieces for which this VM is the primary; the source may still be
    /// fetching them.
    std::size_t maxParallelPrimary = 3;
    /// Part of maxParallel for pieces requested without a report that the source holds them, so
    /// that the transfer makes progress when no reports arrive.
    std::size_t maxParallelSpeculative = 1;
    /// Part of maxParallel for fetches from the origin, which accepts few connections in total.
    std::size_t maxParallelOrigin = 2;
    /// How long a report of a peer's holdings is valid; peers report every 100 ms.
    domain::Duration holdingsLifetime = std::chrono::milliseconds(1000);
    /// The same for the report of another data centre, each 250 ms.
    domain::Duration remoteHoldingsLifetime = std::chrono::milliseconds(2000);
    /// How long a source is not used after a failure.
    domain::Duration sourceAvoidance = std::chrono::milliseconds(1500);
    /// Members that are not the primary of a piece fetch it from the origin when no piece has
    /// arrived for this long, plus stallTimeoutPerRank for each rank. While pieces arrive, the
    /// primaries are working and the origin's link is left to them.
    domain::Duration stallTimeout = std::chrono::milliseconds(1000);
    domain::Duration stallTimeoutPerRank = std::chrono::milliseconds(120);
    /// Number of pieces with a wrong digest after which the manifest itself is suspect.
    std::uint32_t mismatchThreshold = 3;
};

/// Why a fetch was started; each kind has its own limit.
enum class FetchKind {
    /// This VM is the primary of the piece; other members wait for it.
    Primary,
    /// The source has reported that it holds the piece.
    Held,
    /// The source is expected to hold the piece eventually.
    Speculative,
    /// A read from the origin, by the schedule of its lanes.
    OriginRead,
};

struct PieceFetch
{
    std::uint32_t piece = 0;
    PieceSource source;
    FetchKind kind = FetchKind::Speculative;
};

enum class FetchEnd {
    Stored,
    /// The bytes did not match the digest of the piece.
    Corrupted,
    /// The source does not have the piece yet.
    Absent,
    /// The source refused or closed the connection.
    Failed,
    /// The source did not send the complete piece before the deadline.
    TimedOut,
};

/// Name of the result in logs.
std::string_view toString(FetchEnd end);

/// Transfer of one version to one VM: selects the next piece and its source, and stores pieces.
///
/// Load pattern: hundreds of VMs fetch at once over links of low bandwidth, with slow, unresponsive
/// and corrupting sources among them. No I/O; not thread-safe.
class VersionTransfer
{
public:
    VersionTransfer(
            PieceManifest manifest, domain::TimePoint now, VersionTransferOptions options = {});

    const PieceManifest &manifest() const { return m_manifest; }
    void setSources(std::shared_ptr<const PieceSources> sources);
    /// Adds bytes that are present locally, for example staged before a restart. False when the
    /// piece is held already or the bytes do not match its digest.
    bool offer(std::uint32_t piece, std::string bytes);
    /// Applies a report of a peer in this data centre: the pieces that it holds and the number of
    /// requests that wait there.
    void onHoldings(
            const std::string &host, HaveMap held, std::uint32_t waiting, domain::TimePoint now);
    /// What the VMs of another data centre hold together.
    void onRemoteHoldings(
            const domain::DataCentreId &dataCentre, HaveMap held, domain::TimePoint now);
    /// VMs of this data centre that have stopped; nothing is requested from them.
    void setStopped(std::set<std::string> hosts) { m_stopped = std::move(hosts); }
    HaveMap held() const;
    /// Pieces that are being read from the origin or from a VM that holds them. A request to a VM
    /// that is only expected to hold the piece does not count: it may never be answered.
    HaveMap inFlight() const;
    /// Whether pieces are being fetched that their sources hold.
    bool isReceiving() const
    {
        return underWay(FetchKind::Held) > 0 || underWay(FetchKind::Primary) > 0;
    }
    /// Whether this VM, or a peer with a valid report, is missing pieces.
    bool isExchangeNeeded(domain::TimePoint now) const;
    /// Begins a read of a missing piece from the origin; it counts for no limit of this transfer.
    PieceFetch beginOriginRead(std::uint32_t piece);
    /// The next fetch to start; empty while the limits are reached or when no piece is missing.
    std::optional<PieceFetch> next(domain::TimePoint now);
    /// Ends a fetch. The bytes are verified when it succeeded; returns the final result.
    FetchEnd onEnd(const PieceFetch &fetch, FetchEnd end, std::string bytes, domain::TimePoint now);

    std::shared_ptr<const std::string> piece(std::uint32_t piece) const;
    std::size_t heldCount() const { return m_held; }
    bool isComplete() const { return m_held == m_pieces.size(); }
    /// Whether a fetch from a source that holds the piece has taken longer than slowFetchThreshold.
    bool hasSlowFetch(domain::TimePoint now) const;
    /// Pieces that may be fetched in parallel at present.
    std::size_t currentMaxParallel() const { return m_maxParallel; }
    /// When the last piece arrived, or the transfer began.
    domain::TimePoint progressAt() const { return m_progressAt; }
    /// Several pieces did not match their digests: the manifest should be fetched again.
    bool isManifestSuspect() const;

private:
    struct Piece
    {
        std::shared_ptr<const std::string> bytes;
        bool isUnderWay = false;
        /// It is being read from the origin. A holder that appears meanwhile is asked too: the
        /// origin may have stopped answering.
        bool isOriginRead = false;
        /// Sources that did not have it when they were asked.
        std::uint32_t absences = 0;
        /// When a fetch from a source that holds the piece began.
        std::optional<domain::TimePoint> heldFetchStartedAt;
    };

    struct RemoteHoldings
    {
        HaveMap held;
        domain::TimePoint receivedAt;
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
    /// Whether the data centre that reads the piece from the origin has sent a report recently.
    bool isHomeHeard(std::uint32_t piece, domain::TimePoint now) const;
    std::optional<PieceFetch> nextImport(domain::TimePoint now) const;
    /// Whether this VM fetches the piece into its data centre, because those before it have
    /// stopped.
    bool isImporter(std::uint32_t piece, domain::TimePoint now) const;
    std::optional<PieceFetch> nextHeld(domain::TimePoint now);
    std::optional<PieceFetch> nextRarest(domain::TimePoint now);
    std::optional<PieceFetch> nextLeastLoaded(domain::TimePoint now);
    /// Peers that are known to hold the piece.
    std::vector<const std::string *> holdersOf(std::uint32_t piece, domain::TimePoint now) const;
    /// The less loaded of two random holders; with the least loaded one, all VMs would choose the
    /// same holder.
    const std::string &lessLoaded(const std::vector<const std::string *> &holders);
    std::size_t underWay(FetchKind kind) const;
    std::optional<PieceFetch> nextSpeculative(domain::TimePoint now) const;
    std::optional<PieceSource> sourceOf(std::uint32_t piece, domain::TimePoint now) const;
    /// Source of a primary piece in a data centre that is known to hold it.
    std::optional<PieceSource> remoteSource(std::uint32_t piece, domain::TimePoint now) const;

    PieceManifest m_manifest;
    domain::TimePoint m_begunAt;
    VersionTransferOptions m_options;
    std::shared_ptr<const PieceSources> m_sources;
    std::vector<Piece> m_pieces;
    /// Sources that are not used until the given time.
    std::map<std::string, domain::TimePoint> m_avoidedUntil;
    domain::TimePoint m_progressAt;
    std::size_t m_held = 0;
    std::size_t m_underWay = 0;
    std::map<FetchKind, std::size_t> m_underWayOf;
    std::map<std::string, Peer> m_peers;
    std::map<domain::DataCentreId, RemoteHoldings> m_remote;
    std::set<std::string> m_stopped;
    std::mt19937 m_random;
    std::size_t m_maxParallel;
    std::size_t m_underWayOrigin = 0;
    /// Pieces in the order in which this VM fetches them.
    std::vector<std::uint32_t> m_order;
    /// Number of leading pieces in m_order for which this VM is the primary.
    std::size_t m_primaryCount = 0;
    std::uint32_t m_mismatches = 0;
};

} // namespace oriolerill::distribution
