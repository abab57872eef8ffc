#pragma once

#include "domain/strongid.h"
#include "domain/timepoint.h"
#include "routing/placement.h"
#include "routing/requestpath.h"

#include <cstdint>
#include <map>
#include <random>
#include <vector>

namespace oriolerill::routing {

struct RemoteCostOptions
{
    /// Weight of a sample above the estimate, and of one below it. An entry gets a few answers a
    /// second from another data centre, so a full link has to be noticed after a few of them; one
    /// answer in time shows that the link is not full, because a full link delays all answers.
    double riseWeight = 0.5;
    double fallWeight = 0.6;
    /// A sample counts at most as twice the estimate plus this, so that one slow answer alone
    /// costs no more than an answer's price of traffic.
    double maxStepMs = 80;
    /// An excess below this counts as none: transit between regions takes a few milliseconds, and
    /// choices with smaller differences count as equal.
    double toleranceMs = 15;
    /// Bound on the excess; callers of streams disconnect after two seconds.
    double maxExcessMs = 2000;
    /// Without an answer for this long, the excess decays by half in each half-life, so that the
    /// link is tried again: what was queued on it has been sent by the time that its answers
    /// arrive. With 500 ms each, a trial used half of a link's capacity, and two thirds with these.
    domain::Duration sampleLifetime = std::chrono::milliseconds(200);
    domain::Duration halfLife = std::chrono::milliseconds(200);
    /// From this excess on, an answer counts as delayed, also in the log until the excess is zero.
    /// More than the price of traffic, and a quarter of the shortest objectives.
    double delayedMs = 100;
    /// Bounds on an entry's requests to a data centre whose answers have not begun: the bound
    /// starts at the maximum, is halved by a delayed answer, and grows by one with each such number
    /// of answers in time. The excess alone is known only when the link is already full.
    double minUnanswered = 1;
    double maxUnanswered = 16;
    domain::Duration logInterval = std::chrono::milliseconds(1000);
    /// Unanswered requests are evidence soon, because a link fills up within the time in which the
    /// first answers are awaited, and for as long as callers of streams wait.
    RequestPathOptions path{.lateAfter = std::chrono::milliseconds(50),
            .evidenceLifetime = std::chrono::milliseconds(2000)};
};

/// Cost of a request to another data centre beyond the price of its traffic: the
/// excess of the delay of answers from there over the expected delay.
///
/// Handles demand that moves to one data centre: its entries use the engines of the others until
/// the links between regions fill up. A full link delays all answers from there, whatever the
/// endpoint. The same excess in the own data centre is subtracted, because engines that are slower
/// than stated are no full link. Not safe for concurrent use.
class RemoteCost
{
public:
    explicit RemoteCost(domain::DataCentreId own, RemoteCostOptions options = {});

    /// Counts a request to any endpoint of a data centre.
    void countSent(const domain::DataCentreId &dataCentre);
    /// A request was sent to an engine there.
    void onSent(const domain::DataCentreId &dataCentre, domain::TimePoint sentAt,
            double expectedStartMs);
    void onAnswerBegun(const domain::DataCentreId &dataCentre, domain::TimePoint sentAt,
            double expectedStartMs, domain::TimePoint now);
    /// The request that was sent at this time has ended, possibly without an answer.
    void onEnded(const domain::DataCentreId &dataCentre, domain::TimePoint sentAt,
            domain::TimePoint now);
    /// This process received nothing for this long.
    void onPaused(domain::Duration time);

    /// Milliseconds by which answers from there are later than those of the own data centre,
    /// compared with what was expected; zero for the own data centre.
    double excessMs(const domain::DataCentreId &dataCentre, domain::TimePoint now) const;
    /// The excess, or the maximum when the bound on requests without an answer is reached.
    double costMs(const domain::DataCentreId &dataCentre, domain::TimePoint now) const;
    /// Removes candidates behind links that delay answers, if there are local ones: for a share of
    /// requests that grows from half of the objective on, and for all when the excess reaches it.
    static void removeDelayed(std::vector<PlacementCandidate> &candidates,
            domain::Duration objective, std::mt19937_64 &random);

    /// Whether answers of a data centre have become late, or are in time again.
    struct Change
    {
        domain::DataCentreId dataCentre;
        bool isDelayed = false;
        double excessMs = 0;
    };
    /// Changes since the last call, at most one each logInterval for a data centre.
    std::vector<Change> takeChanges(domain::TimePoint now);
    /// Number of requests sent, by other data centre.
    std::map<domain::DataCentreId, std::uint64_t> sentCounts() const;

private:
    struct Path
    {
        explicit Path(const RemoteCostOptions &options)
            : unanswered(options.path)
            , maxUnanswered(options.maxUnanswered)
        {}

        /// Moving average of the excess at the time of the newest answer.
        double excessMs = 0;
        domain::TimePoint answeredAt;
        RequestPath unanswered;
        double maxUnanswered = 0;
        domain::TimePoint halvedAt;
        std::uint64_t sent = 0;
        bool isLoggedDelayed = false;
        domain::TimePoint loggedAt;
    };

    /// Excess of one data centre alone.
    double delayMs(const domain::DataCentreId &dataCentre, domain::TimePoint now) const;
    double decayedMs(const Path &path, domain::TimePoint now) const;

    domain::DataCentreId m_own;
    RemoteCostOptions m_options;
    std::map<domain::DataCentreId, Path> m_paths;
};

} // namespace oriolerill::routing
