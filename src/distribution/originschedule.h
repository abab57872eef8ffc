#pragma once

#include "distribution/fleetholdings.h"
#include "distribution/originplan.h"
#include "distribution/versiontransfer.h"

#include <cstdint>
#include <memory>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace oriolerill::distribution {

struct OriginScheduleOptions
{
    /// A lane without a new piece for this long, while each other lane has got this many on
    /// average, is read by the next VM too; at least this long, and this many times the expected
    /// time of a request.
    domain::Duration minStallTime = std::chrono::milliseconds(2000);
    int stallFactor = 6;
    std::size_t stallPieces = 3;
    /// After a new piece of any lane, the origin counts as serving others for this long.
    domain::Duration recentProgress = std::chrono::milliseconds(1000);
    /// A reader that states that the origin does not answer it is replaced when others have got
    /// pieces for this long: after an outage it asks again within the maximum interval, and its
    /// next datagram takes up to 400 ms.
    domain::Duration standInDelay = std::chrono::milliseconds(900);
    /// Number of VMs that may read a lane in addition to its reader because it is stalled.
    std::size_t maxTakeovers = 3;
    /// Positions in the order of readers that each data centre has before the next one.
    std::size_t readersPerDataCentre = 2;
    /// Time-out of a request: at least this long, and this many times the expected time of a
    /// request. Doubled after each time-out up to the maximum, so that a slow origin is waited for
    /// instead of being asked again for bytes that it has already begun to send.
    domain::Duration minTimeout = std::chrono::milliseconds(1500);
    int timeoutFactor = 5;
    domain::Duration maxTimeout = std::chrono::milliseconds(6000);
    /// Interval between requests to an origin that does not answer; doubles up to the maximum.
    domain::Duration minBackoff = std::chrono::milliseconds(100);
    domain::Duration maxBackoff = std::chrono::milliseconds(500);
    /// Requests that this VM has in flight; more than one when it reads several lanes.
    std::size_t maxInFlight = 2;
    /// A reader whose lane is complete helps with another lane that misses at least this many
    /// pieces. Fewer are in flight at the reader of that lane or will be soon.
    std::size_t minHelpedPieces = 4;
};

/// A piece to be read from the origin by this VM.
struct OriginRead
{
    std::uint64_t version = 0;
    std::uint32_t piece = 0;
    std::size_t lane = 0;
    /// The lane that is blocked by the read; another one than that of the piece when this VM helps.
    std::size_t usedLane = 0;
    domain::TimePoint startedAt;
    domain::TimePoint deadline;
};

/// A version whose pieces are read from the origin.
struct OriginTarget
{
    std::uint64_t version = 0;
    /// Pieces that a VM which can be reached holds.
    HaveMap inFleet;
    /// Pieces that this VM is receiving.
    HaveMap inFlight;
};

/// Decides which piece this VM reads from the origin next.
///
/// Load pattern: hundreds of VMs that miss the same pieces behind one slow link, outages of the
/// origin in the middle, and readers that are killed. Each lane has one request in flight over all
/// VMs; the next VM reads it when the reader has stopped, or when the lane is stalled while others
/// progress. While the origin serves nobody, the set of readers does not grow. No I/O; not safe for
/// concurrent use.
class OriginSchedule
{
public:
    OriginSchedule(
            std::string self, domain::DataCentreId dataCentre, OriginScheduleOptions options = {});

    void setPlan(std::shared_ptr<const OriginPlan> plan, domain::TimePoint now);
    const OriginPlan *plan() const { return m_plan.get(); }
    /// The next read to start, with the targets in the order in which the fleet fetches them; empty
    /// while there is none.
    std::optional<OriginRead> next(const std::vector<OriginTarget> &targets,
            const FleetHoldings &holdings, domain::TimePoint now);
    void onEnd(const OriginRead &read, FetchEnd end, domain::TimePoint now);
    /// A request for something else than a piece was answered or not.
    void onAnswer(bool isAnswered, domain::TimePoint now);

    /// Whether this VM is the one of its data centre that asks the origin for manifests.
    bool isManifestReader(const FleetHoldings &holdings, domain::TimePoint now) const;
    /// Whether requests to the origin are held back because the last ones got no answer.
    bool isBackingOff(domain::TimePoint now) const { return now < m_retryAt; }
    /// The last request got no answer.
    bool isUnreachable() const { return m_failures > 0; }
    std::size_t inFlight() const { return m_inFlight; }
    /// Reads of lanes whose first reader is another VM, since the start.
    std::uint64_t takeovers() const { return m_takeovers; }

private:
    struct Lane
    {
        /// Pieces of all targets that the fleet holds.
        std::map<std::uint64_t, std::size_t> held;
        bool isComplete = false;
        /// First missing piece: its version and number. Other VMs that help read from the end, so
        /// that it moves only while the reader of the lane makes progress.
        std::pair<std::uint64_t, std::size_t> front;
        domain::TimePoint progressAt;
        /// Pieces that the other lanes had got when this one progressed last.
        std::uint64_t progressBefore = 0;
        bool isInFlight = false;
    };

    void observe(const std::vector<OriginTarget> &targets, domain::TimePoint now);
    std::size_t stalls(std::size_t lane, domain::TimePoint now) const;
    /// Position of this VM in the order in which the lane is read, zero for its reader; none for a
    /// VM that is not listed.
    std::optional<std::size_t> position(
            std::size_t lane, const FleetHoldings &holdings, domain::TimePoint now) const;
    bool isStalled(std::size_t lane, domain::TimePoint now) const;
    domain::Duration stallTime() const;
    /// The piece that the VM at this position in the order of the lane reads next.
    std::optional<std::uint32_t> missingPiece(
            const OriginTarget &target, std::size_t lane, std::size_t position) const;
    std::optional<std::uint32_t> helpedPiece(
            const OriginTarget &target, std::size_t lane, domain::TimePoint now) const;
    std::vector<std::uint32_t> missingPieces(const OriginTarget &target, std::size_t lane) const;
    domain::Duration timeout(std::uint32_t timeouts) const;

    std::string m_self;
    domain::DataCentreId m_dataCentre;
    OriginScheduleOptions m_options;
    std::shared_ptr<const OriginPlan> m_plan;
    std::vector<Lane> m_lanes;
    /// Pieces that the fleet has got, and when the last one was seen.
    std::uint64_t m_progress = 0;
    domain::TimePoint m_progressAt;
    /// Since when pieces have arrived without a gap of recentProgress.
    domain::TimePoint m_progressSince;
    std::size_t m_inFlight = 0;
    std::uint32_t m_failures = 0;
    std::uint32_t m_timeouts = 0;
    std::uint64_t m_takeovers = 0;
    domain::TimePoint m_retryAt;
    std::mt19937 m_random;
};

} // namespace oriolerill::distribution
