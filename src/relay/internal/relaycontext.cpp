#include "relay/internal/relaycontext.h"

#include "observability/log.h"

namespace oriolerill::relay::internal {

void RelayContext::noteSuspension(domain::TimePoint now)
{
    const domain::Duration suspended = suspension.takeSuspended();
    if (suspended == domain::Duration::zero())
        return;
    observability::logEvent(observability::Severity::Warning, "suspended",
            {{"ms", std::chrono::duration_cast<std::chrono::milliseconds>(suspended).count()},
                    {"requests", requestsInFlight},
                    {"remedy", "check why the machine stood still"}});
    metrics.increment("oriolerill_relay_suspensions_total");
    dispatcher.onSuspended(suspended);
    connections.closeIdle();
    // Until the store has been heard again, what is unknown here may be new.
    if (!storeLostAt)
        storeLostAt = now - suspended;
}

} // namespace oriolerill::relay::internal
