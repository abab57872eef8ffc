#pragma once

#include "domain/bytebudget.h"
#include "domain/suspensionclock.h"
#include "domain/timepoint.h"
#include "observability/metrics.h"
#include "relay/internal/endpointconnections.h"
#include "relay/internal/unstartedattempts.h"
#include "relay/internal/withdrawnqueues.h"
#include "routing/dispatcher.h"

#include <boost/asio/awaitable.hpp>

#include <functional>
#include <memory>
#include <optional>
#include <set>

namespace oriolerill::relay::internal {

class RequestRun;

/// A fifth of the memory of the smallest entries.
constexpr domain::Bytes MaxTotalAnswers(32U << 20U);
/// Endless answers do not end sound ones of up to this size.
constexpr domain::Bytes AlwaysBufferedAnswer(64U << 10U);
/// Three tenths of the memory of the smallest entries.
constexpr domain::Bytes MaxTotalBodies(48U << 20U);
/// Large bodies do not keep out those of up to this size; for all connections, a fifth of that
/// memory.
constexpr domain::Bytes AlwaysAcceptedBody(16U << 10U);

/// Bytes of streams that wait for slow callers: a fourteenth of the memory of the smallest entries,
/// and the bound of 128 streams.
constexpr domain::Bytes MaxTotalCallerStreams(8U << 20U);
/// A caller that reads nothing for this long is disconnected.
constexpr auto CallerWriteTimeout = std::chrono::seconds(10);

/// State shared by the sessions of one entry. Not thread-safe.
struct RelayContext
{
    routing::Dispatcher &dispatcher;
    EndpointConnections &connections;
    observability::Metrics &metrics;
    std::set<RequestRun *> requestsInFlight;
    /// Memory for all buffered answers. Shared with the requests, like the next one.
    std::shared_ptr<domain::ByteBudget> bufferedAnswers
            = std::make_shared<domain::ByteBudget>(MaxTotalAnswers, AlwaysBufferedAnswer);
    /// Memory for the bodies of all requests.
    std::shared_ptr<domain::ByteBudget> requestBodies
            = std::make_shared<domain::ByteBudget>(MaxTotalBodies, AlwaysAcceptedBody);
    /// Memory for the bytes of streams that callers have not read yet; StreamBuffer keeps to it.
    std::shared_ptr<domain::ByteBudget> callerStreams
            = std::make_shared<domain::ByteBudget>(MaxTotalCallerStreams, domain::Bytes(0));
    domain::Duration callerWriteTimeout = CallerWriteTimeout;
    /// Streams that are not read, because their callers are slow and their buffers full.
    std::size_t pausedStreams = 0;
    /// Called when an answer states that its endpoint is leaving.
    std::function<void()> onLeaving;
    /// Called when an endpoint has raised its limit, or no longer states one.
    std::function<void(const routing::EndpointInstance &, std::optional<double> perSecond)>
            onLimitRaised;
    /// Called when this entry has evidence of crashes that other entries may not have.
    std::function<void()> onCrashNews;
    /// Called when a trial of refused traits is due.
    std::function<void(const routing::RefusedTraits &)> onTrialDue;
    /// The process is stopping: each answer closes its connection.
    bool isStopping = false;
    /// No further request is read from any connection.
    bool isIntakeClosed = false;
    /// Latest deadline of any request; set by a planned stop.
    std::optional<domain::TimePoint> stopDeadline;
    /// Since when the store has not answered; empty while it answers.
    std::optional<domain::TimePoint> storeLostAt;
    /// The configuration in force is older than the one in the store, or possibly stale.
    std::function<bool()> isConfigurationBehind = [] { return false; };
    /// This entry knows that its copy lacks a change whose bound is about to end.
    std::function<bool()> isCopyOverdue = [] { return false; };
    domain::SuspensionClock suspension;
    /// When this process was last seen to run.
    std::optional<domain::TimePoint> ranAt;
    /// Shared with the requests, whose destructors may run after this object's at process exit.
    std::shared_ptr<UnstartedAttempts> unstarted = std::make_shared<UnstartedAttempts>();
    WithdrawnQueues withdrawnQueues;

    /// If the VM was suspended since the last call, adds the suspension to the age of received data
    /// and closes idle connections. Called before decisions that depend on ages.
    void applySuspension(domain::TimePoint now);
    /// Notices a time in which this process did not run although its VM did. Called before the same
    /// decisions, and each 100 ms.
    void applyPause(domain::TimePoint now);
    /// Cancels all attempts in progress, so that each caller gets an answer before the exit.
    void expireRequests();
    /// Sets the gauges of named and required weights. They outlast the log lines of a naming, which
    /// are displaced by those of requests where only the end of a log is kept.
    void updateWeightsMetrics(domain::TimePoint now);
    /// Sets the gauges of other data centres and of plain services.
    void updateRoutingMetrics(domain::TimePoint now);
    /// Logs when answers of another data centre become late, or are in time again.
    void logRemoteDelays(domain::TimePoint now);
    /// Withdraws attempts that engines have not begun in time. Runs until the context stops.
    boost::asio::awaitable<void> withdrawOverdueAttempts();
};

} // namespace oriolerill::relay::internal
