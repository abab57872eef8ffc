#pragma once

#include "domain/timepoint.h"
#include "relay/internal/callerlistener.h"
#include "relay/internal/relaycontext.h"

#include <boost/asio/awaitable.hpp>

namespace oriolerill::relay::internal {

/// Ends the work of an entry between SIGTERM and the end of its process.
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
    domain::TimePoint m_begun;
    domain::TimePoint m_killedAt;
};

} // namespace oriolerill::relay::internal
