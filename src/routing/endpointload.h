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

/// What the agent beside an engine reads from it a few times a second.
struct EngineReport
{
    domain::EndpointId endpoint;
    /// Grows with each report of one process of the agent.
    std::uint64_t sequence = 0;
    std::uint32_t running = 0;
    std::uint32_t waiting = 0;
    /// Version of the weights that the engine serves; zero when it holds none.
    std::uint64_t weightsVersion = 0;
    /// Above one when the engine works slower than its operator states.
    double pace = 1.0;
    /// The engine is about to load other weights: what it gets now waits for them.
    bool isSwitching = false;
    /// Requests that this entry may send until the next report.
    std::uint32_t grant = 0;
    /// Entries that share the engine's places.
    std::uint32_t entries = 1;
};

struct EndpointLoadOptions
{
    /// A report older than this says nothing about the present; reports come every 100 ms, and
    /// every 300 ms to entries of other data centres that send nothing, so this is two lost ones.
    domain::Duration reportLife = std::chrono::milliseconds(1000);
    /// Requests sent this long before a report may not be in it yet.
    domain::Duration reportLag = std::chrono::milliseconds(15);
    /// First pause after a failure; doubles with each further one up to the longest.
    domain::Duration firstPause = std::chrono::milliseconds(200);
    domain::Duration longestPause = std::chrono::milliseconds(3000);
    /// An engine whose reports have stopped is known by its answers for this long.
    domain::Duration answerLife = std::chrono::milliseconds(1000);
    /// Weight of the newest sample in the share of failed requests.
    double failureWeight = 0.15;
    /// Weight of the newest figure in the slowness of an endpoint's VM, which changes many times a
    /// second: a single figure says little about the time that the next request takes.
    double slownessWeight = 0.35;
    /// A slowness stated this long ago says nothing about the present.
    domain::Duration slownessLife = std::chrono::milliseconds(3000);
    /// Bounds of a stated slowness; a wrong figure must not shut an endpoint out for good.
    double leastSlowness = 0.1;
    double mostSlowness = 20;
    /// Wait that a request is charged with at an endpoint that fails all it gets, in milliseconds.
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
    /// The endpoint did not answer as it should.
    void onFailure(domain::TimePoint now);
    /// The endpoint failed one request, as an answer of its own tells.
    void onFailedAnswer();
    void onRefused(domain::TimePoint now);
    /// The reports are so much older than the clock says.
    void onSuspended(domain::Duration time);

    bool isPaused(domain::TimePoint now) const { return now < m_pausedUntil; }
    /// The endpoint has not answered a request since it last did as it should.
    bool hasFailedLast() const { return m_failures > 0; }
    bool isSwitching(domain::TimePoint now) const;
    /// The engine's reports have stopped and no answer came lately: the engine may be dark, or its
    /// VM's full link drops the reports. The known load is out of date.
    bool isUnresponsive(domain::TimePoint now) const;
    bool hasFreshReport(domain::TimePoint now) const;
    std::optional<std::uint64_t> reportedWeights(domain::TimePoint now) const;
    std::uint32_t inFlight() const { return m_inFlight; }
    /// Requests sent since the last call.
    std::uint64_t takeSentCount() { return std::exchange(m_sentCount, 0); }
    /// Requests that run or wait there, as far as this entry knows.
    double occupancy(domain::TimePoint now) const;
    /// Milliseconds until the engine has ended the queue that this entry knows of.
    double queueMs(const EngineSpeed &speed, domain::TimePoint now) const;
    /// Milliseconds until a request that is sent now would get a place.
    double expectedWaitMs(const EngineSpeed &speed, domain::TimePoint now) const;
    /// Milliseconds until a request with such a prompt would give its first event.
    double expectedStartMs(
            const EngineSpeed &speed, std::uint32_t promptTokens, domain::TimePoint now) const;
    /// How long work takes there compared with usual; 1 where the endpoint has not stated it
    /// lately.
    double slowness(domain::TimePoint now) const;
    double failureCostMs() const { return m_failedShare * m_options.failureCostMs; }
    domain::Duration reportAge(domain::TimePoint now) const { return now - m_reportedAt; }

private:
    EndpointLoadOptions m_options;
    std::uint32_t m_inFlight = 0;
    std::uint64_t m_sentCount = 0;
    /// Own requests sent since shortly before the newest report.
    mutable std::deque<domain::TimePoint> m_sent;
    EngineReport m_report;
    domain::TimePoint m_reportedAt;
    domain::TimePoint m_answeredAt;
    std::uint32_t m_failures = 0;
    double m_failedShare = 0;
    /// Average of the stated figures, the newest weighing most.
    double m_slowness = 1;
    domain::TimePoint m_slownessAt;
    domain::TimePoint m_pausedUntil;
};

} // namespace oriolerill::routing
