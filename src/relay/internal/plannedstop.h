#pragma once

#include "domain/timepoint.h"
#include "relay/internal/callerlistener.h"
#include "relay/internal/relaycontext.h"

#include <boost/asio/awaitable.hpp>

namespace oriolerill::relay::internal {

/// Graceful shutdown of an entry, from SIGTERM to the exit of its process.
///
/// Connections are accepted until the load balancer has noticed the stop. Requests read after
/// SIGTERM, and further attempts, get a deadline shortly before the exit. Requests still in
/// progress after that deadline are cancelled, with an answer that leaves open whether they were
/// run.
class PlannedStop
{
public:
    /// `killedAt`: time of SIGKILL.
    PlannedStop(RelayContext &relay, CallerListener &callers, domain::TimePoint begunAt,
            domain::TimePoint killedAt);

    /// Returns when the process may exit.
    boost::asio::awaitable<void> run();

private:
    RelayContext &m_relay;
    CallerListener &m_callers;
    domain::TimePoint m_intakeEndsAt;
    domain::TimePoint m_deadline;
    domain::TimePoint m_expireAt;
    domain::TimePoint m_exitAt;
};

} // namespace oriolerill::relay::internal
