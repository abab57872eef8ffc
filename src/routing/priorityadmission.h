#pragma once

#include "domain/timepoint.h"

#include <cstddef>
#include <optional>
#include <vector>

namespace oriolerill::routing {

struct PriorityAdmissionOptions
{
    /// Requests are counted with this time constant: an entry sees about 15 requests a second of a
    /// service, so a shorter one would follow chance.
    domain::Duration memory = std::chrono::milliseconds(2000);
    /// Requests within that memory, below which an entry admits by the expected wait alone.
    double minHistory = 10;
    /// The level falls while the expected wait exceeds this share of the strictest wait limit.
    double targetShare = 0.5;
    /// Change of the level in a second at no wait, and at a wait of the limit. Slower upwards,
    /// because requests that were admitted by mistake hold their slots for a second. Twice these
    /// rates blur the order of the ranks, as each request's own wait moves the level further.
    double risePerSecond = 0.2;
    double fallPerSecond = 0.4;
    /// Further change when a request is refused although less urgent ones are admitted.
    double fallAtRefusal = 0.03;
    /// Longest time between two requests that moves the level.
    domain::Duration maxStep = std::chrono::milliseconds(250);
    /// Fraction served of each rank, relative to that of all requests. The operator's bound is a
    /// quarter, and chance must not take a rank below a third.
    double minServedShare = 0.37;
    /// Added to the level for a request that finds a free slot. It follows spare capacity at once,
    /// while the level takes a second or two.
    double freeSlotBonus = 0.15;
    /// Change of the guaranteed share with the distance from that fraction.
    double servedGain = 2;
    /// Share of the expected wait that counts for every rank. The rest counts by the share of the
    /// requests sent that are as urgent or more: what other entries have sent is not known.
    double minWaitShare = 0.5;
};

/// A request as PriorityAdmission judges it.
struct RankedRequest
{
    /// Zero is the most urgent.
    std::size_t rank = 0;
    /// Uniform in [0, 1), from the request alone.
    double draw = 0;
    /// Milliseconds until a slot is free at the best engine, in order of arrival.
    double waitMs = 0;
    /// Longest wait within the objective of the request's route.
    double limitMs = 0;
    /// The shortest of these limits in the service.
    double strictestLimitMs = 0;
    /// Above one for a caller that returns after the Retry-After it was given.
    double limitFactor = 1;
};

enum class RankedVerdict {
    Admitted,
    /// The expected wait is too long.
    Full,
    /// The remaining capacity is kept for more urgent requests.
    Reserved,
};

/// Share of a service's requests that is admitted while its engines are full.
struct AdmissionLevel
{
    double level = 1;
    /// Number of the ranks of which all requests are admitted, from the most urgent on.
    std::size_t ranksInFull = 0;
    /// Share admitted of the next rank.
    double nextShare = 1;
};

/// Admits the more urgent requests of a service first while slots are scarce, at one entry.
///
/// Load pattern: a burst of less urgent requests at several times their rate for tens of seconds.
/// The level is the admitted share of all requests. It falls while requests have to wait, and the
/// least urgent rank is the first to lose its share. Since all entries receive the same reports and
/// a random sample of the requests, their levels agree without messages. A request that finds a
/// free slot is judged by a higher level. Not safe for concurrent use.
class PriorityAdmission
{
public:
    explicit PriorityAdmission(std::size_t ranks, PriorityAdmissionOptions options = {});

    /// Judges and counts a new request.
    RankedVerdict decide(const RankedRequest &request, domain::TimePoint now);
    /// Expected wait of a request of this rank: engines serve the more urgent ones first.
    double waitMs(std::size_t rank, double waitMs) const;
    double level() const { return m_level; }
    /// Share of the rank's requests that is admitted while no slot is free.
    double share(std::size_t rank) const { return shareAt(m_level, rank); }
    /// The level when it has changed noticeably since the last call; at most once a second.
    std::optional<AdmissionLevel> takeChange(domain::TimePoint now);

private:
    struct Count
    {
        double asked = 0;
        double admitted = 0;

        double served() const { return asked > 0 ? admitted / asked : 1; }
    };

    RankedVerdict judge(const RankedRequest &request) const;
    void advance(const RankedRequest &request, domain::TimePoint now);
    double shareAt(double level, std::size_t rank) const;
    Count countUpTo(std::size_t rank) const;
    double guaranteedShare(std::size_t rank) const;
    bool hasHistory() const;

    PriorityAdmissionOptions m_options;
    std::vector<Count> m_counts;
    /// All requests, and the number that the most urgent rank would have had admitted.
    Count m_mostUrgent;
    double m_level = 1;
    std::optional<domain::TimePoint> m_advancedAt;
    double m_reportedLevel = 1;
    std::optional<domain::TimePoint> m_reportedAt;
};

} // namespace oriolerill::routing
