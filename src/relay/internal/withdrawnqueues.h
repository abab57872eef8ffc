#pragma once

#include "domain/strongid.h"
#include "domain/timepoint.h"
#include "routing/dispatcher.h"

#include <cstdint>
#include <map>

namespace oriolerill::relay::internal {

/// Logs what withdrawals have changed at the engines: most engines drop a request whose connection
/// is closed, but some run it all the same. Not thread-safe.
class WithdrawnQueues
{
public:
    /// An attempt that had not begun at this engine was withdrawn.
    void onWithdrawn(const domain::EndpointId &engine, const routing::Dispatcher &dispatcher,
            domain::TimePoint now);
    /// Logs the queues of engines where attempts were withdrawn some reports ago.
    void logDue(const routing::Dispatcher &dispatcher, domain::TimePoint now);

private:
    struct Queue
    {
        domain::TimePoint logAt;
        std::uint32_t withdrawn = 0;
        /// Requests that the engine reported as waiting before; -1 without a fresh report.
        std::int64_t waitingBefore = -1;
    };
    std::map<domain::EndpointId, Queue> m_queues;
};

} // namespace oriolerill::relay::internal
