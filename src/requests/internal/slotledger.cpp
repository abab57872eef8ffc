#include "requests/slotledger.h"

#include <xxhash.h>

#include <algorithm>
#include <utility>

namespace oriolerill::requests {

using domain::Done;
using domain::Error;
using domain::ErrorKind;
using domain::Expected;
using domain::TimePoint;
using protocol::OrderRecord;

namespace {

constexpr auto HousekeepingInterval = std::chrono::seconds(10);

Error conflictError()
{
    return Error{ErrorKind::InvalidInput,
            "the idempotency key was used for a different request before",
            "use a new key for a new order"};
}

// The kind Conflict signals to the entry that a repeat would yield the same result.
Error unknownError()
{
    return Error{ErrorKind::Conflict, "the order was started, but its end is not known",
            "look the order up before it is placed with a new key"};
}

Error platformError()
{
    return Error{ErrorKind::Unavailable, "the order cannot be recorded now, so it was not run",
            "send the order again with the same key after Retry-After"};
}

Error noCapacityError()
{
    return Error{ErrorKind::Overloaded, "the endpoint takes no more orders now",
            "send the order again with the same key after Retry-After"};
}

Error lateError()
{
    return Error{ErrorKind::Timeout, "the order could not be recorded in time and never ran",
            "send the order again with the same key"};
}

Error lostSlotError()
{
    return Error{ErrorKind::Unavailable, "another endpoint has taken over these orders",
            "send the order again with the same key"};
}

Error stillRunningError()
{
    return Error{ErrorKind::Timeout, "the order still runs",
            "send the order again with the same key to get its answer"};
}

OrderRecord recordOf(protocol::OrderRecordKind kind, const std::string &account,
        const std::string &key, std::uint64_t hash, domain::WallTime createdAt)
{
    using std::chrono::milliseconds;
    OrderRecord record;
    record.set_kind(kind);
    record.set_account(account);
    record.set_key(key);
    record.set_request_hash(hash);
    const auto sinceEpoch = std::chrono::duration_cast<milliseconds>(createdAt.time_since_epoch());
    record.set_wall_time_ms(static_cast<std::uint64_t>(sinceEpoch.count()));
    return record;
}

} // namespace

std::uint64_t orderHash(const protocol::Attempt &attempt)
{
    std::string text = attempt.method();
    text += '\0';
    text += attempt.target();
    text += '\0';
    text += attempt.body();
    return XXH64(text.data(), text.size(), 0);
}

SlotLedger::SlotLedger(
        std::string writer, domain::Incarnation incarnation, SlotLedgerOptions options)
    : m_writer(std::move(writer))
    , m_incarnation(incarnation)
    , m_options(options)
    , m_closedError(platformError())
{}

LedgerActions SlotLedger::begin(std::uint64_t ticket, OrderRequest request, LedgerTime time)
{
    LedgerActions actions;
    const TimePoint startBy = std::min(request.deadline, time.now + m_options.startTimeout);
    WaitingRequest waiting{ticket, std::move(request), startBy};
    if (m_phase == Phase::Open) {
        beginOpen(waiting, time, actions);
        return actions;
    }
    if (m_phase == Phase::Closed && time.now < m_closedUntil) {
        // The log has not been read, so an earlier request with this key may have run.
        const domain::Duration retryAfter = m_closedUntil - time.now;
        actions.push_back(DecideOrder{
                ticket, RefuseOrder{protocol::OUTCOME_UNKNOWN, m_closedError, retryAfter}});
        return actions;
    }
    m_waitingRequests.push_back(std::move(waiting));
    if (m_phase == Phase::Closed)
        startTakeover(actions);
    return actions;
}

void SlotLedger::beginOpen(const WaitingRequest &waiting, LedgerTime time, LedgerActions &actions)
{
    const OrderRequest &request = waiting.request;
    const OrderId id{request.account, request.key};
    const auto existing = m_orders.find(id);
    if (existing != m_orders.end()) {
        beginRepeat(existing->second, waiting, actions);
        if (!existing->second.waiters.empty())
            m_ordersWithWaiters.insert(id);
        return;
    }
    if (!request.hasRoom || m_orders.size() >= m_options.maxOrders) {
        actions.push_back(DecideOrder{waiting.ticket,
                RefuseOrder{protocol::OUTCOME_NOT_RUN, noCapacityError(), m_options.retryDelay}});
        return;
    }
    if (isAppendOverdue(time.now)) {
        actions.push_back(DecideOrder{waiting.ticket,
                RefuseOrder{protocol::OUTCOME_NOT_RUN, platformError(), m_options.startTimeout}});
        return;
    }
    Order &order = m_orders[id];
    order.hash = request.hash;
    order.createdAt = time.wall;
    order.waiters.push_back({waiting.ticket, waiting.startBy, request.deadline});
    m_ordersWithWaiters.insert(id);
    enqueue(recordOf(protocol::ORDER_RECORD_INTENT, id.account, id.key, order.hash, time.wall),
            time.now);
    tryAppend(time, actions);
}

void SlotLedger::beginRepeat(Order &order, const WaitingRequest &waiting, LedgerActions &actions)
{
    const std::uint64_t ticket = waiting.ticket;
    if (order.hash != waiting.request.hash) {
        actions.push_back(
                DecideOrder{ticket, RefuseOrder{protocol::OUTCOME_NOT_RUN, conflictError(), {}}});
    } else if (order.state == OrderState::Done) {
        actions.push_back(DecideOrder{ticket, RecordedAnswer{order.result}});
    } else if (order.state == OrderState::Unknown) {
        actions.push_back(
                DecideOrder{ticket, RefuseOrder{protocol::OUTCOME_UNKNOWN, unknownError(), {}}});
    } else {
        order.waiters.push_back({ticket, waiting.startBy, waiting.request.deadline});
    }
}

void SlotLedger::startOrder(
        const OrderId &id, Order &order, LedgerTime time, LedgerActions &actions)
{
    // A waiter whose deadline has passed, for example while the process was paused, must not start
    // the order.
    expireOrderWaiters(order, time, actions);
    if (!order.waiters.empty()) {
        order.state = OrderState::Running;
        actions.push_back(DecideOrder{order.waiters.front().ticket, RunOrder{}});
        order.waiters.erase(order.waiters.begin());
        return;
    }
    enqueue(recordOf(protocol::ORDER_RECORD_NOT_RUN, id.account, id.key, order.hash, time.wall),
            time.now + m_options.resultDelay);
    assignBatch(0, order);
    m_ordersWithWaiters.erase(id);
    m_orders.erase(id);
}

LedgerActions SlotLedger::finish(
        const std::string &account, const std::string &key, OrderEnd end, LedgerTime time)
{
    LedgerActions actions;
    const OrderId id{account, key};
    const auto found = m_orders.find(id);
    if (found == m_orders.end() || found->second.state != OrderState::Running)
        return actions;
    Order &order = found->second;
    OrderDecision decision = RefuseOrder{protocol::OUTCOME_UNKNOWN, unknownError(), {}};
    order.state = OrderState::Unknown;
    if (end.outcome == protocol::OUTCOME_ANSWERED) {
        order.state = OrderState::Done;
        order.result = std::move(end.result);
        decision = RecordedAnswer{order.result};
        enqueueResult(id, order, time.now + m_options.resultDelay);
    } else if (end.outcome == protocol::OUTCOME_NOT_RUN) {
        decision = RefuseOrder{protocol::OUTCOME_NOT_RUN, noCapacityError(), m_options.retryDelay};
    }
    for (const Waiter &waiter : std::exchange(order.waiters, {}))
        actions.push_back(DecideOrder{waiter.ticket, decision});
    m_ordersWithWaiters.erase(id);
    if (end.outcome == protocol::OUTCOME_NOT_RUN) {
        enqueue(recordOf(protocol::ORDER_RECORD_NOT_RUN, account, key, order.hash, time.wall),
                time.now + m_options.resultDelay);
        assignBatch(0, order);
        m_orders.erase(found);
    }
    tryAppend(time, actions);
    return actions;
}

void SlotLedger::expireWaiters(LedgerTime time, LedgerActions &actions)
{
    for (auto id = m_ordersWithWaiters.begin(); id != m_ordersWithWaiters.end();) {
        const auto found = m_orders.find(*id);
        if (found != m_orders.end())
            expireOrderWaiters(found->second, time, actions);
        const bool isDone = found == m_orders.end() || found->second.waiters.empty();
        id = isDone ? m_ordersWithWaiters.erase(id) : std::next(id);
    }
    const auto late = std::stable_partition(m_waitingRequests.begin(), m_waitingRequests.end(),
            [&](const WaitingRequest &waiting) { return waiting.startBy > time.now; });
    for (auto waiting = late; waiting != m_waitingRequests.end(); ++waiting) {
        // The log has not been read yet, so an earlier request with this key may have run.
        actions.push_back(DecideOrder{waiting->ticket,
                RefuseOrder{protocol::OUTCOME_UNKNOWN, platformError(), m_options.retryDelay}});
    }
    m_waitingRequests.erase(late, m_waitingRequests.end());
}

void SlotLedger::expireOrderWaiters(Order &order, LedgerTime time, LedgerActions &actions)
{
    const bool isRunning = order.state == OrderState::Running;
    const RefuseOrder refusal = isRunning
            ? RefuseOrder{protocol::OUTCOME_UNKNOWN, stillRunningError(), {}}
            : RefuseOrder{protocol::OUTCOME_NOT_RUN, lateError(), m_options.retryDelay};
    const auto late = std::stable_partition(
            order.waiters.begin(), order.waiters.end(), [&](const Waiter &waiter) {
                return (isRunning ? waiter.deadline : waiter.startBy) > time.now;
            });
    for (auto waiter = late; waiter != order.waiters.end(); ++waiter)
        actions.push_back(DecideOrder{waiter->ticket, refusal});
    order.waiters.erase(late, order.waiters.end());
}

void SlotLedger::expireOrders(LedgerTime time)
{
    for (auto order = m_orders.begin(); order != m_orders.end();) {
        const bool isFinal = order->second.state == OrderState::Done
                || order->second.state == OrderState::Unknown;
        if (!isFinal || time.wall - order->second.createdAt < m_options.retention) {
            ++order;
            continue;
        }
        assignBatch(0, order->second);
        order = m_orders.erase(order);
    }
}

bool SlotLedger::isAppendOverdue(TimePoint now) const
{
    return m_inFlight && now - m_lastAppendAt >= m_options.startTimeout;
}

std::string SlotLedger::nextWriteId()
{
    return m_writer + '/' + std::to_string(m_incarnation.count()) + '/'
            + std::to_string(++m_writeCount);
}

void SlotLedger::enqueue(OrderRecord record, TimePoint dueAt)
{
    m_queue.push_back({std::move(record), dueAt});
}

void SlotLedger::enqueueResult(const OrderId &id, const Order &order, TimePoint dueAt)
{
    OrderRecord record = order.result;
    const OrderRecord base = recordOf(
            protocol::ORDER_RECORD_RESULT, id.account, id.key, order.hash, order.createdAt);
    record.MergeFrom(base);
    enqueue(std::move(record), dueAt);
}

TimePoint SlotLedger::appendDueAt() const
{
    TimePoint dueAt = TimePoint::max();
    for (const QueuedRecord &queued : m_queue)
        dueAt = std::min(dueAt, queued.dueAt);
    return std::max(dueAt, m_lastAppendAt + m_options.minAppendInterval);
}

void SlotLedger::tryAppend(LedgerTime time, LedgerActions &actions)
{
    if (m_phase != Phase::Open || m_inFlight || m_queue.empty() || appendDueAt() > time.now)
        return;
    m_inFlight.emplace(m_nextNumber, buildBatch());
    m_lastAppendAt = time.now;
    actions.push_back(AppendBatch{m_inFlight->number, m_inFlight->batch});
}

protocol::OrderBatch SlotLedger::buildBatch()
{
    protocol::OrderBatch batch;
    batch.set_writer(m_writer);
    batch.set_incarnation(m_incarnation.count());
    batch.set_write_id(nextWriteId());
    for (const auto &[number, info] : m_batches) {
        if (info.liveRecords > 0)
            batch.add_live(number);
    }
    batch.set_first_live(batch.live().empty() ? m_nextNumber : batch.live(0));
    std::size_t bytes = 0;
    while (!m_queue.empty()) {
        const std::size_t size = m_queue.front().record.ByteSizeLong();
        if (bytes > 0 && bytes + size > m_options.maxBatchBytes)
            break;
        bytes += size;
        *batch.add_records() = std::move(m_queue.front().record);
        m_queue.pop_front();
    }
    return batch;
}

LedgerActions SlotLedger::appended(const Expected<Done> &result, LedgerTime time)
{
    LedgerActions actions;
    if (m_phase == Phase::Sealing) {
        onSealed(result, time, actions);
        return actions;
    }
    if (!m_inFlight)
        return actions;
    if (result) {
        onAppendSucceeded(time, actions);
    } else if (result.error().kind == ErrorKind::Fenced) {
        // If the answer to an earlier try of this write was lost, the existing batch may be its
        // own.
        m_isReadingBack = true;
        actions.push_back(ReadBatch{m_inFlight->number});
    } else if (result.error().kind == ErrorKind::Unavailable
            || result.error().kind == ErrorKind::RateLimited) {
        onAppendRefused(result.error(), time, actions);
    } else {
        // Unknown result: writing the same batch to the same number again resolves it.
        m_inFlight->retryAt = time.now + m_options.retryDelay;
    }
    return actions;
}

void SlotLedger::onAppendSucceeded(LedgerTime time, LedgerActions &actions)
{
    // The monotonic clock stops while a VM is suspended; the calendar clock does not.
    const domain::Duration elapsed = std::max<domain::Duration>(
            time.now - m_lastWriteTime.now, time.wall - m_lastWriteTime.wall);
    if (elapsed > m_options.ownershipLifetime) {
        m_isVerifying = true;
        actions.push_back(ListBatches{});
        return;
    }
    commit(time, actions);
}

void SlotLedger::onVerified(
        const std::vector<std::uint64_t> &numbers, LedgerTime time, LedgerActions &actions)
{
    const bool isLast = !numbers.empty() && numbers.back() == m_inFlight->number;
    if (isLast)
        commit(time, actions);
    else
        onSlotLost(time, actions);
}

void SlotLedger::commit(LedgerTime time, LedgerActions &actions)
{
    const InFlight written = std::move(*m_inFlight);
    m_inFlight.reset();
    m_nextNumber = written.number + 1;
    m_lastWriteTime = time;
    m_batches[written.number].seenAt = time.now;
    m_batches[written.number].bytes = written.batch.ByteSizeLong();
    for (const OrderRecord &record : written.batch.records()) {
        const OrderId id{record.account(), record.key()};
        const auto found = m_orders.find(id);
        if (found == m_orders.end() || record.kind() == protocol::ORDER_RECORD_NOT_RUN)
            continue;
        Order &order = found->second;
        assignBatch(written.number, order);
        order.isResultWritten
                = order.isResultWritten || record.kind() == protocol::ORDER_RECORD_RESULT;
        if (order.state == OrderState::Pending)
            startOrder(id, order, time, actions);
    }
    tryAppend(time, actions);
}

void SlotLedger::onAppendRefused(const Error &error, LedgerTime time, LedgerActions &actions)
{
    // The batch was certainly not written: its pending intents are dropped, so they never run, and
    // the other records are kept for a later write.
    const InFlight refused = std::move(*m_inFlight);
    m_inFlight.reset();
    m_lastAppendAt = time.now + m_options.retryDelay;
    std::deque<QueuedRecord> kept;
    for (const OrderRecord &record : refused.batch.records()) {
        const auto found = m_orders.find(OrderId{record.account(), record.key()});
        const bool isPending
                = found != m_orders.end() && found->second.state == OrderState::Pending;
        if (!isPending || record.kind() != protocol::ORDER_RECORD_INTENT)
            kept.push_back({record, time.now});
    }
    std::erase_if(m_queue, [](const QueuedRecord &queued) {
        return queued.record.kind() == protocol::ORDER_RECORD_INTENT;
    });
    m_queue.insert(m_queue.begin(), kept.begin(), kept.end());
    Error reportedError = platformError();
    reportedError.message += " (" + error.message + ')';
    refusePending(protocol::OUTCOME_NOT_RUN, reportedError, std::chrono::seconds(1), actions);
}

void SlotLedger::refusePending(protocol::Outcome outcome, const Error &error,
        domain::Duration retryAfter, LedgerActions &actions)
{
    for (auto order = m_orders.begin(); order != m_orders.end();) {
        if (order->second.state != OrderState::Pending) {
            ++order;
            continue;
        }
        for (const Waiter &waiter : order->second.waiters)
            actions.push_back(DecideOrder{waiter.ticket, RefuseOrder{outcome, error, retryAfter}});
        m_ordersWithWaiters.erase(order->first);
        order = m_orders.erase(order);
    }
}

void SlotLedger::onSlotLost(LedgerTime time, LedgerActions &actions)
{
    m_inFlight.reset();
    m_queue.clear();
    m_batches.clear();
    // The new owner may have run a repeat of a pending order in the meantime.
    refusePending(protocol::OUTCOME_UNKNOWN, lostSlotError(), m_options.fencedDelay, actions);
    // Running orders and unwritten results are kept, because they exist only in this process.
    std::erase_if(m_orders, [](const auto &order) {
        const bool isUnwritten
                = order.second.state == OrderState::Done && !order.second.isResultWritten;
        return order.second.state != OrderState::Running && !isUnwritten;
    });
    for (auto &[id, order] : m_orders)
        order.batch = 0;
    close(lostSlotError(), m_options.fencedDelay, time, actions);
}

void SlotLedger::assignBatch(std::uint64_t number, Order &order)
{
    const auto old = m_batches.find(order.batch);
    if (old != m_batches.end() && old->second.liveRecords > 0)
        --old->second.liveRecords;
    order.batch = number;
    if (number != 0)
        ++m_batches[number].liveRecords;
}

LedgerActions SlotLedger::tick(LedgerTime time)
{
    LedgerActions actions;
    expireWaiters(time, actions);
    if (m_inFlight && m_inFlight->retryAt && *m_inFlight->retryAt <= time.now) {
        m_inFlight->retryAt.reset();
        actions.push_back(AppendBatch{m_inFlight->number, m_inFlight->batch});
    }
    if (m_phase == Phase::Open && time.now >= m_housekeepingAt) {
        m_housekeepingAt = time.now + HousekeepingInterval;
        expireOrders(time);
        compact(time);
        removeOldBatches(time, actions);
    }
    tryAppend(time, actions);
    return actions;
}

std::optional<TimePoint> SlotLedger::nextTick() const
{
    TimePoint next = TimePoint::max();
    for (const OrderId &id : m_ordersWithWaiters) {
        const auto order = m_orders.find(id);
        if (order == m_orders.end())
            continue;
        const bool isRunning = order->second.state == OrderState::Running;
        for (const Waiter &waiter : order->second.waiters)
            next = std::min(next, isRunning ? waiter.deadline : waiter.startBy);
    }
    for (const WaitingRequest &waiting : m_waitingRequests)
        next = std::min(next, waiting.startBy);
    if (m_inFlight && m_inFlight->retryAt)
        next = std::min(next, *m_inFlight->retryAt);
    if (m_phase == Phase::Open && !m_inFlight && !m_queue.empty())
        next = std::min(next, appendDueAt());
    if (m_phase == Phase::Open && !m_batches.empty())
        next = std::min(next, m_housekeepingAt);
    return next == TimePoint::max() ? std::nullopt : std::optional<TimePoint>(next);
}

bool SlotLedger::isSmall(const BatchInfo &info) const
{
    constexpr std::size_t SmallBatchDivisor = 4;
    return info.liveRecords > 0 && info.bytes < m_options.maxBatchBytes / SmallBatchDivisor;
}

void SlotLedger::compact(LedgerTime time)
{
    constexpr std::size_t MaxQueued = 100;
    const auto small = std::count_if(m_batches.begin(), m_batches.end(),
            [this](const auto &batch) { return isSmall(batch.second); });
    if (static_cast<std::size_t>(small) <= m_options.maxSmallBatches || m_queue.size() > MaxQueued)
        return;
    for (const auto &[id, order] : m_orders) {
        const auto batch = m_batches.find(order.batch);
        if (batch == m_batches.end() || !isSmall(batch->second))
            continue;
        if (order.state == OrderState::Done) {
            enqueueResult(id, order, time.now);
        } else {
            enqueue(recordOf(protocol::ORDER_RECORD_INTENT, id.account, id.key, order.hash,
                            order.createdAt),
                    time.now);
        }
    }
}

void SlotLedger::removeOldBatches(LedgerTime time, LedgerActions &actions)
{
    for (auto batch = m_batches.begin(); batch != m_batches.end();) {
        const bool isLast = batch->first + 1 == m_nextNumber;
        const bool isOld = time.now - batch->second.seenAt >= m_options.removalAge;
        if (batch->second.liveRecords > 0 || !isOld || isLast) {
            ++batch;
            continue;
        }
        actions.push_back(RemoveBatch{batch->first});
        batch = m_batches.erase(batch);
    }
}

} // namespace oriolerill::requests
