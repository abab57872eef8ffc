#pragma once

#include "domain/strongid.h"
#include "domain/timepoint.h"
#include "routing/endpointlist.h"
#include "routing/endpointload.h"
#include "routing/entryshare.h"
#include "routing/servingconfig.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace oriolerill::routing {

struct StartPaceOptions
{
    bool isEnabled = true;
    /// Those of ColdAllowance: share of the cold bound that all entries use, and its window.
    double usedShare = 0.75;
    domain::Duration window = std::chrono::milliseconds(1100);
    /// Where an entry has less than one request a window, its turn expires after this time, so that
    /// unused turns do not add up to a burst of all entries. At a bound of 27 requests a second the
    /// turns that are open within any second stay below it up to about 400 ms.
    domain::Duration turnLifetime = std::chrono::milliseconds(250);
    /// Lower bound on the part of the allowance that a late or failing cold endpoint gets.
    double minColdShare = 0.125;
    double decreaseFactor = 0.5;
    /// Answers of one batch are late together; within this time they count once.
    domain::Duration decreaseInterval = std::chrono::milliseconds(300);
    /// An answer is late after this multiple of its expected time, and the tolerance.
    double lateFactor = 2;
    domain::Duration lateTolerance = std::chrono::milliseconds(50);
    /// Above this reported pace the limit does not grow.
    double maxPace = 1.5;
    double minLimit = 2;
    /// The limit starts at most at this share of the slots, since a stated cold rate may imply more
    /// than all slots, which many entries would fill at once.
    double maxFirstShare = 0.5;
    /// Time in which the limit doubles while reports show free slots.
    domain::Duration doublingTime = std::chrono::milliseconds(300);
    /// Interval of reports; the growth of a longer time without a report counts as this much.
    domain::Duration stepTime = std::chrono::milliseconds(100);
    /// A slow start ends after this time without lateness.
    domain::Duration quietTime = std::chrono::milliseconds(2000);
    /// Number of failures in succession after which the next success is a recovery.
    std::uint32_t failureRun = 3;
    /// Assumed duration of a request to a service without engines.
    double plainRunMs = 40;
    /// Maximum number of endpoints kept; endpoints that are not listed are evicted first.
    std::size_t maxKnown = 4096;
    /// Maximum number of events kept until takeEvents().
    std::size_t maxEvents = 64;
};

/// A slow start has begun or ended, or the endpoint's part was decreased.
struct StartPaceEvent
{
    domain::EndpointId endpoint;
    /// Limit on the endpoint's occupancy, or in the cold time the share of the allowance in use.
    double level = 0;
    std::string reason;
};

/// Pace at which this entry sends to endpoints that have just started or recovered.
///
/// Every entry sees the free slots of such an endpoint at once and fills them between two reports;
/// or its caches are not filled and its answers are late. In the cold time the endpoint gets a
/// share of the allowance, which late answers halve. Then the occupancy that the entry accepts
/// there grows from the cold level, as long as answers and reports are as expected. Entries need no
/// coordinator: reports state the occupancy by the requests of all of them, and turns follow from
/// the ranks. Not safe for concurrent use.
class StartPace
{
public:
    explicit StartPace(StartPaceOptions options = {});

    /// Finds endpoints whose process is new or that are cold again. Those of the first list are not
    /// in slow start: all of them would be at once.
    void onList(const EndpointList &list, const ServingConfig &config, domain::TimePoint now);
    /// Takes in the endpoint's failures, refusals and reports.
    void update(
            const domain::EndpointId &endpoint, const EndpointLoad &load, domain::TimePoint now);
    /// The answer to a request has begun, which was expected this many milliseconds after sentAt.
    void onAnswerBegun(const domain::EndpointId &endpoint, double expectedMs,
            domain::TimePoint sentAt, domain::TimePoint now);

    /// The bound of a cold endpoint over all entries, reduced while it is late or fails.
    double coldBound(const domain::EndpointId &endpoint, double bound, const EntryShare &share,
            domain::TimePoint coldUntil, domain::TimePoint now);
    /// Whether this entry has its turn at a cold endpoint; always where its part of the bound is at
    /// least one request a window.
    bool hasTurn(const domain::EndpointId &endpoint, double bound, const EntryShare &share,
            domain::TimePoint coldUntil, domain::TimePoint now);
    void onColdSent(const domain::EndpointId &endpoint);
    /// Whether the endpoint is in slow start and takes no further request of this entry at present.
    bool isAtLimit(const domain::EndpointId &endpoint, const EndpointLoad &load,
            const EntryShare &share, domain::TimePoint now) const;

    /// Limit on the occupancy; none unless the endpoint is in slow start.
    std::optional<double> limit(const domain::EndpointId &endpoint) const;
    std::size_t slowStarts(domain::TimePoint now) const;
    std::vector<StartPaceEvent> takeEvents() { return std::exchange(m_events, {}); }

private:
    struct SlowStart
    {
        std::string reason;
        double limit = 0;
        domain::TimePoint beganAt;
        /// Last growth, decrease or check by a report.
        domain::TimePoint steppedAt;
        /// Last late answer, failure or refusal.
        domain::TimePoint troubledAt;
    };

    struct Known
    {
        std::uint64_t startedAtMs = 0;
        domain::TimePoint coldUntil;
        bool isListed = false;
        /// Its service states a cold rate.
        bool isPaced = false;
        double slots = 1;
        double firstLimit = 0;
        std::uint32_t failures = 0;
        std::uint64_t troubles = 0;
        domain::TimePoint decreasedAt;
        /// Since when this entry has had requests for the endpoint in the present cold time.
        domain::TimePoint coldSeenAt;
        domain::TimePoint coldSeenUntil;
        double coldShare = 1;
        std::int64_t turn = 0;
        std::optional<std::int64_t> usedTurn;
        std::optional<SlowStart> slowStart;
    };

    Known *find(const domain::EndpointId &endpoint);
    const Known *find(const domain::EndpointId &endpoint) const;
    /// The endpoint's state in its present cold time, which begins at the first call.
    Known &coldPeriod(
            const domain::EndpointId &endpoint, domain::TimePoint coldUntil, domain::TimePoint now);
    /// This entry's requests in each window.
    double part(double bound, const EntryShare &share) const;
    domain::TimePoint endAt(const Known &known) const;
    void begin(const domain::EndpointId &endpoint, Known &known, std::string reason,
            domain::TimePoint now);
    void end(const domain::EndpointId &endpoint, Known &known, const std::string &reason);
    void decrease(const domain::EndpointId &endpoint, Known &known, const std::string &reason,
            domain::TimePoint now);
    void grow(const domain::EndpointId &endpoint, Known &known, const EndpointLoad &load,
            domain::TimePoint now);
    void addEvent(const domain::EndpointId &endpoint, double level, std::string reason);

    StartPaceOptions m_options;
    std::map<domain::EndpointId, Known> m_known;
    /// Generation of the list, and version of the configuration, that were last taken in.
    std::uint64_t m_generation = 0;
    std::uint64_t m_configVersion = 0;
    bool m_hasList = false;
    std::vector<StartPaceEvent> m_events;
};

} // namespace oriolerill::routing
