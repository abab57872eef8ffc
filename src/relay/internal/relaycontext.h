#pragma once

#include "domain/timepoint.h"
#include "observability/metrics.h"
#include "relay/internal/endpointconnections.h"
#include "routing/dispatcher.h"

namespace oriolerill::relay::internal {

/// What the sessions of one entry share; used on one thread.
struct RelayContext
{
    routing::Dispatcher &dispatcher;
    EndpointConnections &connections;
    observability::Metrics &metrics;
    std::size_t requestsInFlight = 0;
    /// The process ends soon: each answer closes its connection.
    bool isStopping = false;
    /// No further request is read from any connection.
    bool isIntakeClosed = false;
    /// The store has not been heard from since then; none while it answers.
    std::optional<domain::TimePoint> storeLostAt;
};

} // namespace oriolerill::relay::internal
