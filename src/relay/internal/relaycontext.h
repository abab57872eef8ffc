#pragma once

#include "domain/suspensionclock.h"
#include "domain/timepoint.h"
#include "observability/metrics.h"
#include "relay/internal/endpointconnections.h"
#include "relay/internal/unstartedattempts.h"
#include "routing/dispatcher.h"

#include <boost/asio/awaitable.hpp>

#include <functional>
#include <memory>
#include <optional>
#include <set>

namespace oriolerill::relay::internal {

class RequestRun;

/// What the sessions of one entry share; used on one thread.
struct RelayContext
{
    routing::Dispatcher &dispatcher;
    EndpointConnections &connections;
    observability::Metrics &metrics;
    std::set<RequestRun *> requestsInFlight;
    /// Bytes of answers that are held until they are whole, over all requests.
    std::size_t heldAnswerBytes = 0;
    /// Called when an endpoint has said that it is leaving.
    std::function<void()> onLeaving;
    /// Called when an endpoint has named a higher limit than before, or none any more.
    std::function<void(const routing::EndpointInstance &, std::optional<double> perSecond)>
            onLimitRaised;
    /// The process ends soon: each answer closes its connection.
    bool isStopping = false;
    /// No further request is read from any connection.
    bool isIntakeClosed = false;
    /// Deadline of every request, set when the process is to end.
    std::optional<domain::TimePoint> stopDeadline;
    /// The store has not been heard from since then; none while it answers.
    std::optional<domain::TimePoint> storeLostAt;
    /// A newer configuration is known to exist than the one in force here, or may exist unnoticed.
    std::function<bool()> isConfigurationBehind = [] { return false; };
    domain::SuspensionClock suspension;
    /// Shared with the requests, whose destructors may run after this object's at process exit.
    std::shared_ptr<UnstartedAttempts> unbegun = std::make_shared<UnstartedAttempts>();

    /// Makes what this entry knows as old as it is, if the machine was suspended meanwhile. Called
    /// before decisions that go by age.
    void noteSuspension(domain::TimePoint now);
    /// Ends the wait for endpoints, so that each caller gets its last answer now.
    void expireRequests();
    /// Sets the gauges of named and required weights. Log lines of a naming are displaced by those
    /// of requests where only the end of a log is kept.
    void exposeWeights(domain::TimePoint now);
    /// Withdraws requests whose engines do not begin them in time. Runs until the context stops.
    boost::asio::awaitable<void> withdrawOverdueAttempts();
};

} // namespace oriolerill::relay::internal
