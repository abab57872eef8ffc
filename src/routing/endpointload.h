#pragma once

#include "domain/strongid.h"
#include "domain/timepoint.h"
#include "routing/callerrequest.h"
#include "routing/servingconfig.h"

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <utility>

namespace oriolerill::routing {

/// State of an engine, which the agent beside it reads a few times a second.
struct EngineReport
{
    domain::EndpointId endpoint;
    /// Increases with each report of one process of the agent.
    std::uint64_t sequence = 0;
    std::uint32_t running = 0;
    std::uint32_t waiting = 0;
    /// Version of the weights that the engine serves; zero when it holds none.
    std::uint64_t weightsVersion = 0;
    /// Duration of work relative to the operator's figures; above one when the engine is slower.
    double pace = 1.0;
    /// The engine is about to load other weights: further requests wait until they are loaded.
    bool isSwitching = false;
    /// Requests that this entry may send until the next report.
    std::uint32_t grant = 0;
    /// Number of entries that share the engine's capacity.
    std::uint32_t entries = 1;
};

struct EndpointLoadOptions
{
    /// Reports older than this are stale. They arrive every 100 ms, or every 300 ms at entries of
    /// other data centres that send no requests, so that two lost reports are tolerated.
    domain::Duration reportLifetime = std::chrono::milliseconds(1000);
    /// A report may not include requests that were sent this shortly before it.
    domain::Duration reportLag = std::chrono::milliseconds(15);
    /// Delay after an endpoint's first failure in which it gets a request only if no other endpoint
    /// is usable; doubles with each further failure up to the maximum.
    domain::Duration minFailureDelay = std::chrono::milliseconds(200);
    domain::Duration maxFailureDelay = std::chrono::milliseconds(3000);
    /// An engine whose reports have stopped counts as responsive for this long after an answer.
    domain::Duration answerLifetime = std::chrono::milliseconds(1000);
    /// Weight of the newest sample in the share of failed requests.
    double failureWeight = 0.15;
    /// Weight of the newest value in the slowness of an endpoint's VM, which changes many times a
    /// second: a single value does not predict the duration of the next request.
    double slownessWeight = 0.5;
    /// The stated slowness counts less with its age, and is ignored after this time. On shared VMs
    /// another set of them is slow every 600 ms. Zero at 600 ms gave means that were 4% worse
    /// in trials: to avoid an endpoint for longer than it is slow costs little while others have
    /// free slots.
    domain::Duration slownessLifetime = std::chrono::milliseconds(1000);
    /// Bounds on a stated slowness; a wrong value must not exclude an endpoint permanently.
    double minSlowness = 0.1;
    double maxSlowness = 20;
    /// Milliseconds added to the expected start at an endpoint that fails all of its requests.
    double failureCostMs = 800;
};

/// One entry's view of the load of one endpoint: its own requests, and reports with their age.
/// Not safe for concurrent use.
class EndpointLoad
{
public:
    explicit EndpointLoad(EndpointLoadOptions options = {});

    void onReport(const EngineReport &report, domain::TimePoint now);
    void onAnswerLoad(const AnswerLoad &load, domain::TimePoint now);
    void onSent(domain::TimePoint now);
    /// An answer to a request of this entry has begun.
    void onAnswerBegun(domain::TimePoint now) { m_answeredAt = now; }
    void onEnded();
    void onSuccess();
    /// The endpoint did not take a request, or sent no complete answer.
    void onFailure(domain::TimePoint now);
    /// The endpoint answered a request with a failure.
    void onFailedAnswer();
    void onRefused(domain::TimePoint now);
    /// Ages the reports by a time for which this VM was suspended.
    void onSuspended(domain::Duration time);

    /// The endpoint has recently failed or refused a request, and its delay has not passed.
    bool isAwaitingRetry(domain::TimePoint now) const { return now < m_retryAt; }
    /// The endpoint has failed after its last success.
    bool hasFailedSinceSuccess() const { return m_failures > 0; }
    bool isSwitching(domain::TimePoint now) const;
    /// The engine's reports have stopped and no answer arrived recently: the engine may have
    /// failed, or the saturated link of its VM drops the reports. The last reported load is out of
    /// date.
    bool isUnresponsive(domain::TimePoint now) const;
    bool hasFreshReport(domain::TimePoint now) const;
    std::optional<std::uint64_t> reportedWeights(domain::TimePoint now) const;
    /// Requests that wait in the engine's queue; none without a fresh report.
    std::optional<std::uint32_t> reportedWaiting(domain::TimePoint now) const;
    std::uint32_t inFlight() const { return m_inFlight; }
    /// Own requests that the newest report may not include.
    std::uint64_t sentSinceReport() const { return m_sent.size(); }
    /// Failures since the last success.
    std::uint32_t failures() const { return m_failures; }
    /// Failures and refusals since the endpoint is known.
    std::uint64_t troubles() const { return m_troubles; }
    /// The newest report; null unless it is fresh.
    const EngineReport *freshReport(domain::TimePoint now) const
    {
        return hasFreshReport(now) ? &m_report : nullptr;
    }
    /// Requests sent since the last call.
    std::uint64_t takeSentCount() { return std::exchange(m_sentCount, 0); }
    /// Number of requests that run or wait at the endpoint, as known to this entry.
    double occupancy(domain::TimePoint now) const;
    /// Milliseconds until the engine has worked off its known queue.
    double queueMs(const EngineSpeed &speed, domain::TimePoint now) const;
    /// Milliseconds until a request that is sent now would get a slot.
    double expectedWaitMs(const EngineSpeed &speed, domain::TimePoint now) const;
    /// Milliseconds until the first event of a request with a prompt of this length.
    double expectedStartMs(
            const EngineSpeed &speed, std::uint32_t promptTokens, domain::TimePoint now) const;
    /// Milliseconds that an answer with this many tokens takes at most once it has begun: those on
    /// a full engine, at its reported pace. Without a number, the usual answer counts.
    double maxRunMs(
            const EngineSpeed &speed, std::uint32_t answerTokens, domain::TimePoint now) const;
    /// Duration of work at the endpoint relative to the usual one; 1 when the endpoint has not
    /// stated it recently.
    double slowness(domain::TimePoint now) const;
    /// The pace that the engine has reported recently; 1 without one or below 1.
    double pace(domain::TimePoint now) const;
    double failureCostMs() const { return m_failedShare * m_options.failureCostMs; }
    domain::Duration reportAge(domain::TimePoint now) const { return now - m_reportedAt; }

private:
    /// Share with which the newest stated slowness counts at present.
    double slownessShare(domain::TimePoint now) const;

    EndpointLoadOptions m_options;
    std::uint32_t m_inFlight = 0;
    std::uint64_t m_sentCount = 0;
    /// Own requests sent since shortly before the newest report.
    mutable std::deque<domain::TimePoint> m_sent;
    EngineReport m_report;
    domain::TimePoint m_reportedAt;
    domain::TimePoint m_answeredAt;
    std::uint32_t m_failures = 0;
    std::uint64_t m_troubles = 0;
    double m_failedShare = 0;
    /// Moving average of the stated values, the newest of which weighs most, and the sum of their
    /// weights.
    double m_slowness = 1;
    double m_slownessWeight = 0;
    domain::TimePoint m_slownessAt;
    domain::TimePoint m_retryAt;
};

} // namespace oriolerill::routing
