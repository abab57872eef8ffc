#pragma once

#include "domain/timepoint.h"
#include "relay/internal/callerlistener.h"
#include "relay/internal/relaycontext.h"

#include <boost/asio/awaitable.hpp>

namespace oriolerill::relay::internal {

/// Ends the work of an entry between SIGTERM and the end of its process.
///
/// Connections are taken until the load balancer has noticed the stop. Every request that is read
/// from SIGTERM on, and every further attempt, gets a deadline before the end of the process; what
/// still runs shortly after it is given up with an answer that promises nothing.
class PlannedStop
{
public:
    /// The process is killed at the time given.
    PlannedStop(RelayContext &relay, CallerListener &callers, domain::TimePoint begun,
            domain::TimePoint killedAt);

    /// Returns when the process may end.
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
