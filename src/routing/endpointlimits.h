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
    /// Share of a limit that all entries together use. The rest covers an entry that the others do
    /// not count yet.
    double usedShare = 0.9;
    /// A slot that is not used for this long is lost, and for the time that so many requests take
    /// at the limit. With these, any 4 s hold at most 4.1 times the limit and 5 requests, where the
    /// operator allows 6 times the limit and 5.
    domain::Duration slotLife = std::chrono::milliseconds(500);
    double slotLifeRequests = 2.5;
    /// Slots further ahead are not kept for refused callers, who would not wait for them.
    domain::Duration longestPromise = std::chrono::seconds(10);
    /// Bounds on a limit in requests a second. Below the smaller one nobody would learn that the
    /// limit has ended; above the larger one it limits nothing.
    double least = 0.05;
    double most = 1e6;
    /// Maximum number of limits kept; the oldest are evicted first.
    std::size_t mostKept = 4096;
};

enum class LimitVerdict {
    /// The answer changes nothing.
    Unchanged,
    Applied,
    /// The limit is higher than before.
    Raised,
    /// The value was outside of the bounds, and the nearest bound holds.
    Clamped,
    /// The value is no rate; what held before still holds. Returned once per instance.
    Ignored,
    /// The endpoint does not name a limit any more.
    Ended,
};

/// This entry's part of the request rates that endpoints name in their answers.
///
/// Failure: an overloaded endpoint names one rate for all entries together, while each entry
/// decides alone. Time is divided into slots of one request, which the entries own in turn by their
/// ranks; an entry sends only in a slot of its own or shortly after. The time of day is common to
/// all entries, so their slots interleave, and a burst after idle time is as large as the slots
/// that are still alive, however many entries there are. Not safe for concurrent use.
class EndpointLimits
{
public:
    explicit EndpointLimits(EndpointLimitsOptions options = {});

    /// Takes what an answer says: a rate in requests a second, not a number when it cannot be read,
    /// or none. sentAt is when the request of that answer was sent.
    LimitVerdict onAnswer(const EndpointInstance &instance, std::optional<double> perSecond,
            domain::TimePoint sentAt, domain::TimePoint now);
    /// Takes from another entry that a limit is higher or has ended; false when that is no news.
    /// Other statements are not taken from others: a wrong one would keep requests from a sound
    /// endpoint, while one that raises a limit too far is corrected by the next answer.
    bool onRaised(const EndpointInstance &instance, std::optional<double> perSecond);
    /// Rate in force in requests a second; none without a limit.
    std::optional<double> perSecond(const ListedEndpoint &endpoint) const;
    /// Start of this entry's next unused slot, not later than now when a request may be sent. None
    /// without a limit.
    std::optional<domain::TimePoint> nextSlot(
            const ListedEndpoint &endpoint, const EntryShare &share, domain::TimePoint now) const;
    /// Start of the first slot from now on that is not promised to a refused caller; none without a
    /// limit.
    std::optional<domain::TimePoint> nextPromise(
            const ListedEndpoint &endpoint, const EntryShare &share, domain::TimePoint now) const;
    /// Promises that slot to a refused caller.
    void onPromised(const ListedEndpoint &endpoint, const EntryShare &share, domain::TimePoint now);
    /// Uses the next slot.
    void onChosen(const ListedEndpoint &endpoint, const EntryShare &share, domain::TimePoint now);
    /// Returns a slot whose request was not sent.
    void onNotSent(const domain::EndpointId &endpoint, const EntryShare &share);
    /// What the time of day is ahead of the clock of time points.
    void setTimeOfDayOffset(domain::Duration offset) { m_offset = offset; }

private:
    struct Limit
    {
        std::uint64_t startedAtMs = 0;
        /// Zero after an unreadable value only.
        double perSecond = 0;
        domain::TimePoint namedAt;
        /// Start of the last slot that was used, by the clock of time points: a step of the time of
        /// day moves the slots, not this record.
        std::optional<domain::TimePoint> usedAt;
        /// Start of the last slot promised to a refused caller.
        std::optional<domain::TimePoint> promisedAt;
        bool hasIgnored = false;
    };

    const Limit *find(const ListedEndpoint &endpoint) const;
    Limit &limitOf(const EndpointInstance &instance);
    domain::Duration period(const Limit &limit, const EntryShare &share) const;
    /// First slot that is still alive and comes after the given one.
    domain::TimePoint slotAfter(const std::optional<domain::TimePoint> &last, const Limit &limit,
            const EntryShare &share, domain::TimePoint now, domain::Duration mostAhead) const;

    EndpointLimitsOptions m_options;
    std::map<domain::EndpointId, Limit> m_limits;
    domain::Duration m_offset = domain::Duration::zero();
};

} // namespace oriolerill::routing
