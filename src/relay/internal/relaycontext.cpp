#include "relay/internal/relaycontext.h"

#include "observability/log.h"
#include "relay/internal/requestrun.h"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/asio/use_awaitable.hpp>

namespace oriolerill::relay::internal {

namespace asio = boost::asio;

namespace {

/// Interval of withdrawOverdueAttempts(). Small compared with the margin of a withdrawal; load
/// reports wake the process more often.
constexpr auto CheckInterval = std::chrono::milliseconds(100);
/// A process that has not run for longer than this may have received a naming late.
constexpr auto MinPause = std::chrono::milliseconds(400);

} // namespace

void RelayContext::applyPause(domain::TimePoint now)
{
    const domain::TimePoint before = ranAt.value_or(now);
    ranAt = now;
    if (now - before <= MinPause)
        return;
    observability::logEvent(observability::Severity::Warning, "paused",
            {{"ms", std::chrono::duration_cast<std::chrono::milliseconds>(now - before).count()},
                    {"requests", requestsInFlight.size()},
                    {"remedy", "check why the process got no processor time"}});
    metrics.increment("oriolerill_relay_pauses_total");
    dispatcher.onPaused(before, now);
}

void RelayContext::applySuspension(domain::TimePoint now)
{
    applyPause(now);
    const domain::Duration suspended = suspension.takeSuspended();
    if (suspended == domain::Duration::zero())
        return;
    observability::logEvent(observability::Severity::Warning, "suspended",
            {{"ms", std::chrono::duration_cast<std::chrono::milliseconds>(suspended).count()},
                    {"requests", requestsInFlight.size()},
                    {"remedy", "check why the VM was suspended"}});
    metrics.increment("oriolerill_relay_suspensions_total");
    dispatcher.onSuspended(suspended);
    dispatcher.weights().onPaused(now - suspended, now);
    connections.closeIdle();
    // Until the store answers again, an unknown route or key may have been added.
    if (!storeLostAt)
        storeLostAt = now - suspended;
}

void RelayContext::expireRequests()
{
    for (RequestRun *run : requestsInFlight)
        run->expire();
}

void RelayContext::updateWeightsMetrics(domain::TimePoint now)
{
    const routing::WeightsRequirement &weights = dispatcher.weights();
    for (const routing::NamedVersion &named : weights.newestVersions()) {
        const std::string model = named.model.value();
        metrics.set("oriolerill_relay_weights_required",
                static_cast<double>(weights.requiredVersion(named.model, now)), {{"model", model}});
        // A version without a naming time was found at the start of this process.
        const double age
                = named.namedAt ? std::chrono::duration<double>(now - *named.namedAt).count() : -1;
        metrics.set("oriolerill_relay_weights_named_seconds", age,
                {{"model", model}, {"version", std::to_string(named.version)}});
    }
    metrics.set("oriolerill_relay_slow_starts",
            static_cast<double>(dispatcher.startPace().slowStarts(now)));
}

void RelayContext::updateRoutingMetrics(domain::TimePoint now)
{
    // The price of the traffic, which the choice adds for every other data centre, is not included.
    for (const auto &[dataCentre, sent] : dispatcher.remoteCost().sentCounts()) {
        metrics.set("oriolerill_routing_remote_requests", static_cast<double>(sent),
                {{"data_centre", dataCentre.value()}});
        metrics.set("oriolerill_routing_remote_excess_seconds",
                dispatcher.remoteCost().excessMs(dataCentre, now) / 1000,
                {{"data_centre", dataCentre.value()}});
    }
    for (const auto &[service, runMs] : dispatcher.plainAdmission().learnedRunMs()) {
        metrics.set("oriolerill_routing_plain_run_seconds", runMs / 1000,
                {{"service", service.value()}});
    }
}

void RelayContext::logRemoteDelays(domain::TimePoint now)
{
    for (const auto &change : dispatcher.remoteCost().takeChanges(now)) {
        observability::logEvent(observability::Severity::Info, "remote_delay",
                {{"data_centre", change.dataCentre.value()},
                        {"state", change.isDelayed ? "delayed" : "in_time"},
                        {"excess_ms", change.excessMs}});
    }
}

asio::awaitable<void> RelayContext::withdrawOverdueAttempts()
{
    asio::steady_timer timer(co_await asio::this_coro::executor);
    for (;;) {
        timer.expires_after(CheckInterval);
        co_await timer.async_wait(asio::as_tuple(asio::use_awaitable));
        const domain::TimePoint now = domain::TimePoint::clock::now();
        applySuspension(now);
        unstarted->withdrawOverdue(dispatcher.weights(), now);
        withdrawnQueues.logDue(dispatcher, now);
        for (const routing::StartPaceEvent &event : dispatcher.startPace().takeEvents()) {
            observability::logEvent(observability::Severity::Info, "start_pace",
                    {{"endpoint", event.endpoint.value()}, {"level", event.level},
                            {"reason", event.reason}});
        }
        logRemoteDelays(now);
    }
}

} // namespace oriolerill::relay::internal
