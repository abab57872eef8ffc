#include "relay/internal/withdrawnqueues.h"

#include "observability/log.h"

namespace oriolerill::relay::internal {

namespace {

/// The close reaches the engine, and a report made after that arrives, within this time: reports
/// are made each 100 ms, or each 300 ms for entries that send nothing.
constexpr auto ReportDelay = std::chrono::milliseconds(400);

std::int64_t waitingAt(const routing::Dispatcher &dispatcher, const domain::EndpointId &engine,
        domain::TimePoint now)
{
    const routing::EndpointLoad *load = dispatcher.findLoad(engine);
    const auto waiting = load == nullptr ? std::nullopt : load->reportedWaiting(now);
    return waiting ? static_cast<std::int64_t>(*waiting) : -1;
}

} // namespace

void WithdrawnQueues::onWithdrawn(const domain::EndpointId &engine,
        const routing::Dispatcher &dispatcher, domain::TimePoint now)
{
    const auto [queue, isNew] = m_queues.try_emplace(engine);
    if (isNew) {
        queue->second.logAt = now + ReportDelay;
        queue->second.waitingBefore = waitingAt(dispatcher, engine, now);
    }
    ++queue->second.withdrawn;
}

void WithdrawnQueues::logDue(const routing::Dispatcher &dispatcher, domain::TimePoint now)
{
    for (auto queue = m_queues.begin(); queue != m_queues.end();) {
        if (now < queue->second.logAt) {
            ++queue;
            continue;
        }
        observability::logEvent(observability::Severity::Info, "queue_after_withdrawal",
                {{"endpoint", queue->first.value()}, {"withdrawn", queue->second.withdrawn},
                        {"waiting_before", queue->second.waitingBefore},
                        {"waiting", waitingAt(dispatcher, queue->first, now)}});
        queue = m_queues.erase(queue);
    }
}

} // namespace oriolerill::relay::internal
