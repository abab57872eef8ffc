#include "requests/slotledger.h"

#include <algorithm>
#include <iterator>
#include <utility>

namespace oriolerill::requests {

using domain::Done;
using domain::Error;
using domain::ErrorKind;
using domain::Expected;
using protocol::OrderRecord;

namespace {

// Another writer may append while this one tries to seal the slot. More tries than this mean that
// two owners compete for the slot.
constexpr std::size_t MaxSealTries = 16;

Error competingError()
{
    return Error{ErrorKind::Unavailable, "several endpoints compete for these orders",
            "send the order again with the same key after Retry-After"};
}

Error unreadableError(const Error &cause)
{
    return Error{ErrorKind::Unavailable, "earlier orders cannot be read now: " + cause.message,
            "send the order again with the same key after Retry-After"};
}

domain::WallTime wallTimeOf(const OrderRecord &record)
{
    return domain::WallTime(std::chrono::milliseconds(record.wall_time_ms()));
}

} // namespace

void SlotLedger::startTakeover(LedgerActions &actions)
{
    m_phase = Phase::Listing;
    m_sealTries = 0;
    m_toRead.clear();
    m_reading.clear();
    m_readBatches.clear();
    m_missing.clear();
    actions.push_back(ListBatches{});
}

void SlotLedger::seal(std::uint64_t number, LedgerActions &actions)
{
    m_phase = Phase::Sealing;
    ++m_sealTries;
    protocol::OrderBatch empty;
    empty.set_writer(m_writer);
    empty.set_incarnation(m_incarnation.count());
    empty.set_write_id(nextWriteId());
    m_inFlight.emplace(number, std::move(empty));
    actions.push_back(AppendBatch{number, m_inFlight->batch});
}

LedgerActions SlotLedger::listed(Expected<std::vector<std::uint64_t>> numbers, LedgerTime time)
{
    LedgerActions actions;
    if (m_isVerifying) {
        m_isVerifying = false;
        if (numbers) {
            onVerified(*numbers, time, actions);
        } else {
            // The batch is written; the next try finds it, reads it back and verifies again.
            m_inFlight->retryAt = time.now + m_options.retryDelay;
        }
        return actions;
    }
    if (m_phase == Phase::Closed || m_phase == Phase::Open)
        return actions;
    if (!numbers) {
        close(unreadableError(numbers.error()), m_options.retryDelay, time, actions);
        return actions;
    }
    if (m_phase == Phase::Listing)
        seal(numbers->empty() ? 1 : numbers->back() + 1, actions);
    else if (m_phase == Phase::Relisting)
        onRelisted(*numbers, time, actions);
    else if (m_phase == Phase::CheckingMissing)
        onMissingChecked(*numbers, time, actions);
    return actions;
}

void SlotLedger::onSealed(const Expected<Done> &result, LedgerTime time, LedgerActions &actions)
{
    const std::uint64_t number = m_inFlight->number;
    m_inFlight.reset();
    if (result) {
        m_nextNumber = number + 1;
        m_lastWriteTime = time;
        m_phase = Phase::Relisting;
        actions.push_back(ListBatches{});
    } else if (result.error().kind == ErrorKind::Fenced && m_sealTries < MaxSealTries) {
        seal(number + 1, actions);
    } else {
        close(result.error().kind == ErrorKind::Fenced ? competingError()
                                                       : unreadableError(result.error()),
                m_options.retryDelay, time, actions);
    }
}

void SlotLedger::onRelisted(
        const std::vector<std::uint64_t> &numbers, LedgerTime time, LedgerActions &actions)
{
    // A list that contains the seal contains every batch that was written before it.
    const std::uint64_t sealNumber = m_nextNumber - 1;
    const bool isCurrent = std::find(numbers.begin(), numbers.end(), sealNumber) != numbers.end();
    if (!isCurrent || numbers.back() != sealNumber) {
        close(competingError(), m_options.fencedDelay, time, actions);
        return;
    }
    m_phase = Phase::Reading;
    m_isSeekingNewest = true;
    m_toRead.assign(std::next(numbers.rbegin()), numbers.rend());
    readNextBatches(actions);
    if (m_reading.empty())
        open(time, actions);
}

void SlotLedger::readNextBatches(LedgerActions &actions)
{
    const std::size_t window = m_isSeekingNewest ? 1 : m_options.readWindow;
    while (!m_toRead.empty() && m_reading.size() < window) {
        m_reading.insert(m_toRead.front());
        actions.push_back(ReadBatch{m_toRead.front()});
        m_toRead.pop_front();
    }
}

LedgerActions SlotLedger::read(
        std::uint64_t number, Expected<protocol::OrderBatch> batch, LedgerTime time)
{
    LedgerActions actions;
    if (m_phase == Phase::Reading && m_reading.contains(number)) {
        onTakeoverRead(number, batch, time, actions);
        return actions;
    }
    if (!m_isReadingBack || !m_inFlight || m_inFlight->number != number)
        return actions;
    m_isReadingBack = false;
    if (!batch)
        m_inFlight->retryAt = time.now + m_options.retryDelay;
    else if (batch->write_id() == m_inFlight->batch.write_id())
        onAppendSucceeded(time, actions);
    else
        onSlotLost(time, actions);
    return actions;
}

void SlotLedger::selectLiveBatches(std::uint64_t number, const protocol::OrderBatch &batch)
{
    // A batch that is named as live but not listed was removed after its last record was replaced.
    m_isSeekingNewest = false;
    const std::set<std::uint64_t> live(batch.live().begin(), batch.live().end());
    std::erase_if(m_toRead,
            [&](std::uint64_t other) { return other >= number || !live.contains(other); });
}

void SlotLedger::onTakeoverRead(std::uint64_t number, const Expected<protocol::OrderBatch> &batch,
        LedgerTime time, LedgerActions &actions)
{
    m_reading.erase(number);
    if (batch) {
        m_readBatches[number] = *batch;
        if (m_isSeekingNewest && !batch->records().empty())
            selectLiveBatches(number, *batch);
    } else if (batch.error().kind == ErrorKind::NotFound) {
        m_missing.insert(number);
    } else {
        close(unreadableError(batch.error()), m_options.retryDelay, time, actions);
        return;
    }
    readNextBatches(actions);
    if (!m_reading.empty())
        return;
    if (m_missing.empty()) {
        open(time, actions);
        return;
    }
    // Either the former owner removed the batch, which is harmless, or the read was stale, which
    // could hide an order that ran. A new list shows which.
    m_phase = Phase::CheckingMissing;
    actions.push_back(ListBatches{});
}

void SlotLedger::onMissingChecked(
        const std::vector<std::uint64_t> &numbers, LedgerTime time, LedgerActions &actions)
{
    const bool isStale = std::any_of(numbers.begin(), numbers.end(),
            [&](std::uint64_t number) { return m_missing.contains(number); });
    if (isStale) {
        const Error cause{ErrorKind::Unavailable, "a listed batch was not found", "try again"};
        close(unreadableError(cause), m_options.retryDelay, time, actions);
        return;
    }
    open(time, actions);
}

void SlotLedger::apply(std::uint64_t number, const OrderRecord &record)
{
    const OrderId id{record.account(), record.key()};
    Order &order = m_orders[id];
    const bool isRunningHere = order.state == OrderState::Running;
    const bool hasOwnResult = order.state == OrderState::Done && !order.isResultWritten;
    if (record.kind() == protocol::ORDER_RECORD_NOT_RUN && !isRunningHere && !hasOwnResult) {
        assignBatch(0, order);
        m_orders.erase(id);
        return;
    }
    order.hash = record.request_hash();
    order.createdAt = wallTimeOf(record);
    assignBatch(number, order);
    if (record.kind() == protocol::ORDER_RECORD_RESULT) {
        order.state = OrderState::Done;
        order.result = record;
        order.isResultWritten = true;
    } else if (!isRunningHere && order.state != OrderState::Done) {
        order.state = OrderState::Unknown;
    }
}

void SlotLedger::open(LedgerTime time, LedgerActions &actions)
{
    m_phase = Phase::Open;
    m_housekeepingAt = time.now;
    m_batches[m_nextNumber - 1].seenAt = time.now;
    for (const auto &[number, batch] : m_readBatches) {
        m_batches[number].seenAt = time.now;
        m_batches[number].bytes = batch.ByteSizeLong();
        for (const OrderRecord &record : batch.records())
            apply(number, record);
    }
    m_readBatches.clear();
    expireOrders(time);
    for (const auto &[id, order] : m_orders) {
        if (order.state == OrderState::Done && !order.isResultWritten)
            enqueueResult(id, order, time.now);
    }
    for (const WaitingRequest &waiting : std::exchange(m_waitingRequests, {}))
        beginOpen(waiting, time, actions);
    tryAppend(time, actions);
}

void SlotLedger::close(
        const Error &error, domain::Duration retryAfter, LedgerTime time, LedgerActions &actions)
{
    m_phase = Phase::Closed;
    m_inFlight.reset();
    m_isReadingBack = false;
    m_isVerifying = false;
    m_closedUntil = time.now + retryAfter;
    m_closedError = error;
    // The log has not been read, so an earlier request with the same key may have run.
    for (const WaitingRequest &waiting : std::exchange(m_waitingRequests, {})) {
        actions.push_back(DecideOrder{
                waiting.ticket, RefuseOrder{protocol::OUTCOME_UNKNOWN, error, retryAfter}});
    }
}

} // namespace oriolerill::requests
