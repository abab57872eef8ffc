#pragma once

#include "domain/strongid.h"
#include "domain/timepoint.h"
#include "routing/endpointinstance.h"
#include "routing/endpointlist.h"
#include "routing/entryshare.h"

#include <cstdint>
#include <map>
#include <optional>

namespace oriolerill::routing {

struct EndpointLimitsOptions
{
    /// Share of a limit that all entries together use; the rest covers entries that are not counted
    /// yet.
    double usedShare = 0.9;
    /// An unused slot expires after this time and the time that so many requests take at the limit.
    /// With these values, any 4 s hold at most 4.1 times the limit and 5 requests, where the
    /// operator allows 6 times the limit and 5.
    domain::Duration slotLifetime = std::chrono::milliseconds(500);
    double slotLifetimeRequests = 2.5;
    /// Slots further ahead are not reserved for refused callers, which would not wait for them.
    domain::Duration maxReservationAhead = std::chrono::seconds(10);
    /// Bounds on a limit in requests a second. Below the minimum, requests are too rare to notice
    /// that the limit has ended; above the maximum it has no effect.
    double minPerSecond = 0.05;
    double maxPerSecond = 1e6;
    /// Maximum number of limits kept; the oldest are evicted first.
    std::size_t maxKept = 4096;
};

enum class LimitVerdict {
    /// The answer changes nothing.
    Unchanged,
    Applied,
    /// The limit is higher than before.
    Raised,
    /// The value was outside of the bounds, and the nearest bound applies.
    Clamped,
    /// The value is not a rate; the previous limit still applies. Returned once per instance.
    Ignored,
    /// The endpoint states no limit any more.
    Ended,
};

/// This entry's part of the rate limits that endpoints state in their answers.
///
/// An overloaded endpoint states one rate for all entries together, while each entry decides alone.
/// Time is divided into slots of one request, which are assigned to the entries in turn by their
/// ranks; an entry sends only in a slot of its own or until that slot expires. The slots of all
/// entries are derived from the time of day, so they interleave, and a burst after idle time is
/// limited to the slots that have not expired, however many entries there are. Not safe for
/// concurrent use.
class EndpointLimits
{
public:
    explicit EndpointLimits(EndpointLimitsOptions options = {});

    /// Applies the rate that an answer states in requests a second: NaN when it is malformed, none
    /// without one. sentAt is when the request of that answer was sent.
    LimitVerdict onAnswer(const EndpointInstance &instance, std::optional<double> perSecond,
            domain::TimePoint sentAt, domain::TimePoint now);
    /// Applies a higher rate, or the end of a limit, that another entry has published; false when
    /// nothing changes. New and lower limits of other entries are ignored: a wrong one would keep
    /// requests from a healthy endpoint, while a limit raised too far is corrected by the next
    /// answer.
    bool onRaised(const EndpointInstance &instance, std::optional<double> perSecond);
    /// Rate in force in requests a second; none without a limit.
    std::optional<double> perSecond(const ListedEndpoint &endpoint) const;
    /// Start of this entry's next unused slot; a request may be sent if that is not later than now.
    /// None without a limit.
    std::optional<domain::TimePoint> nextSlot(
            const ListedEndpoint &endpoint, const EntryShare &share, domain::TimePoint now) const;
    /// Start of this entry's first slot from now on that is not reserved for a refused caller; none
    /// without a limit.
    std::optional<domain::TimePoint> nextUnreservedSlot(
            const ListedEndpoint &endpoint, const EntryShare &share, domain::TimePoint now) const;
    /// Reserves that slot for a refused caller.
    void reserveNextSlot(
            const ListedEndpoint &endpoint, const EntryShare &share, domain::TimePoint now);
    /// Uses the next slot.
    void onChosen(const ListedEndpoint &endpoint, const EntryShare &share, domain::TimePoint now);
    /// Returns a slot whose request was not sent.
    void onNotSent(const domain::EndpointId &endpoint, const EntryShare &share);
    /// Sets the time of day minus the steady clock.
    void setTimeOfDayOffset(domain::Duration offset) { m_timeOfDayOffset = offset; }

private:
    struct Limit
    {
        std::uint64_t startedAtMs = 0;
        /// Zero only after a malformed value.
        double perSecond = 0;
        domain::TimePoint statedAt;
        /// Start of the last used slot on the steady clock: a step of the time of day moves the
        /// slots, but not this value.
        std::optional<domain::TimePoint> lastUsedSlot;
        /// Start of the last slot reserved for a refused caller.
        std::optional<domain::TimePoint> lastReservedSlot;
        bool hasIgnoredValue = false;
    };

    const Limit *find(const ListedEndpoint &endpoint) const;
    Limit &limitOf(const EndpointInstance &instance);
    domain::Duration period(const Limit &limit, const EntryShare &share) const;
    /// First unexpired slot after the given one.
    domain::TimePoint slotAfter(const std::optional<domain::TimePoint> &last, const Limit &limit,
            const EntryShare &share, domain::TimePoint now, domain::Duration maxAhead) const;

    EndpointLimitsOptions m_options;
    std::map<domain::EndpointId, Limit> m_limits;
    domain::Duration m_timeOfDayOffset = domain::Duration::zero();
};

} // namespace oriolerill::routing
