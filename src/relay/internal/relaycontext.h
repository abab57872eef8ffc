#pragma once

#include "domain/suspensionclock.h"
#include "domain/timepoint.h"
#include "observability/metrics.h"
#include "relay/internal/endpointconnections.h"
#include "routing/dispatcher.h"

#include <functional>
#include <optional>

namespace oriolerill::relay::internal {

/// What the sessions of one entry share; used on one thread.
struct RelayContext
{
    routing::Dispatcher &dispatcher;
    EndpointConnections &connections;
    observability::Metrics &metrics;
    std::size_t requestsInFlight = 0;
    /// Bytes of answers that are held until they are whole, over all requests.
    std::size_t heldAnswerBytes = 0;
    /// Called when an endpoint has said that it is leaving.
    std::function<void()> onLeaving;
    /// The process ends soon: each answer closes its connection.
    bool isStopping = false;
    /// No further request is read from any connection.
    bool isIntakeClosed = false;
    /// The store has not been heard from since then; none while it answers.
    std::optional<domain::TimePoint> storeLostAt;
    domain::SuspensionClock suspension;

    /// Makes what this entry knows as old as it is, if the machine was suspended meanwhile. Called
    /// before decisions that go by age.
    void noteSuspension(domain::TimePoint now);
};

} // namespace oriolerill::relay::internal
