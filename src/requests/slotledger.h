#pragma once

#include "domain/expected.h"
#include "domain/quantity.h"
#include "domain/timepoint.h"
#include "protocol/control.pb.h"
#include "requests/orderdecision.h"

#include <compare>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <variant>
#include <vector>

namespace oriolerill::requests {

struct SlotLedgerOptions
{
    /// Minimum time between two writes of a slot; records that arrive in between share a write.
    domain::Duration minAppendInterval = std::chrono::milliseconds(25);
    /// Maximum time for which a result waits to share a write with an intent.
    domain::Duration resultDelay = std::chrono::milliseconds(100);
    /// Delay before a failed write or takeover is tried again.
    domain::Duration retryDelay = std::chrono::milliseconds(200);
    /// An order that cannot be started within this time is refused, even if its deadline is later.
    domain::Duration startTimeout = std::chrono::seconds(2);
    /// Delay before a slot that another owner has taken over may be taken back. Without it, two
    /// entries that assign the slot differently would make two owners fence each other at every
    /// order.
    domain::Duration fencedDelay = std::chrono::seconds(2);
    /// Time since the last write after which the owner checks that no other owner has taken the
    /// slot over. Has to be much shorter than removalAge, because the number of a removed batch can
    /// be written again and so fences no writer.
    domain::Duration ownershipLifetime = std::chrono::minutes(2);
    /// Batches without live records are removed at this age.
    domain::Duration removalAge = std::chrono::minutes(10);
    /// Time for which results are kept.
    domain::Duration retention = std::chrono::hours(24);
    /// When there are more small batches than this, their records are rewritten into larger ones,
    /// which bounds the number of reads at a takeover.
    std::size_t maxSmallBatches = 64;
    std::size_t maxBatchBytes = 512U << 10U;
    std::size_t maxOrders = 200'000;
    /// Maximum number of concurrent reads during a takeover.
    std::size_t readWindow = 16;
};

/// Monotonic and calendar time of an event.
struct LedgerTime
{
    domain::TimePoint now;
    domain::WallTime wall;
};

struct AppendBatch
{
    std::uint64_t number = 0;
    protocol::OrderBatch batch;
};
struct ReadBatch
{
    std::uint64_t number = 0;
};
struct ListBatches
{};
struct RemoveBatch
{
    std::uint64_t number = 0;
};
/// Decides the order that was passed to begin() with this ticket.
struct DecideOrder
{
    std::uint64_t ticket = 0;
    OrderDecision decision;
};

using LedgerAction = std::variant<AppendBatch, ReadBatch, ListBatches, RemoveBatch, DecideOrder>;
using LedgerActions = std::vector<LedgerAction>;

/// Decides which orders of one slot of the order ledger run. Each event returns the actions that
/// the caller has to carry out; at most one append and one list are outstanding. Not safe for
/// concurrent use.
class SlotLedger
{
public:
    SlotLedger(std::string writer, domain::Incarnation incarnation, SlotLedgerOptions options);

    LedgerActions begin(std::uint64_t ticket, OrderRequest request, LedgerTime time);
    LedgerActions finish(
            const std::string &account, const std::string &key, OrderEnd end, LedgerTime time);
    LedgerActions appended(const domain::Expected<domain::Done> &result, LedgerTime time);
    LedgerActions listed(domain::Expected<std::vector<std::uint64_t>> numbers, LedgerTime time);
    LedgerActions read(
            std::uint64_t number, domain::Expected<protocol::OrderBatch> batch, LedgerTime time);
    LedgerActions tick(LedgerTime time);

    /// Time at which tick() has to be called next; empty while no timer is pending.
    std::optional<domain::TimePoint> nextTick() const;
    bool isOpen() const { return m_phase == Phase::Open; }
    /// Number of records and batches that are not written yet.
    std::size_t unwritten() const { return m_queue.size() + (m_inFlight ? 1U : 0U); }
    std::size_t batches() const { return m_batches.size(); }

private:
    enum class Phase {
        Closed,
        Listing,
        Sealing,
        Relisting,
        Reading,
        CheckingMissing,
        Open,
    };
    enum class OrderState {
        /// The intent is not written yet.
        Pending,
        Running,
        Done,
        /// There is an intent without a result, or the outcome of the run is unknown.
        Unknown,
    };
    struct OrderId
    {
        std::string account;
        std::string key;
        friend auto operator<=>(const OrderId &, const OrderId &) = default;
    };
    struct Waiter
    {
        std::uint64_t ticket = 0;
        /// The order must not be started after this time.
        domain::TimePoint startBy;
        domain::TimePoint deadline;
    };
    struct Order
    {
        OrderState state = OrderState::Pending;
        std::uint64_t hash = 0;
        protocol::OrderRecord result;
        std::vector<Waiter> waiters;
        domain::WallTime createdAt;
        /// Number of the batch that holds the order's latest record; 0 before a record is written.
        std::uint64_t batch = 0;
        bool isResultWritten = false;
    };
    struct QueuedRecord
    {
        protocol::OrderRecord record;
        domain::TimePoint dueAt;
    };
    struct InFlight
    {
        InFlight(std::uint64_t batchNumber, protocol::OrderBatch content)
            : number(batchNumber)
            , batch(std::move(content))
        {}

        std::uint64_t number;
        protocol::OrderBatch batch;
        /// Time of the next try; set while the append waits for it.
        std::optional<domain::TimePoint> retryAt;
    };
    struct WaitingRequest
    {
        std::uint64_t ticket = 0;
        OrderRequest request;
        domain::TimePoint startBy;
    };
    struct BatchInfo
    {
        std::size_t liveRecords = 0;
        std::size_t bytes = 0;
        domain::TimePoint seenAt;
    };

    // Takeover of the slot: list the batches, write an empty batch (the seal), which fences the
    // former owner, list again and read the live batches.
    void startTakeover(LedgerActions &actions);
    void seal(std::uint64_t number, LedgerActions &actions);
    void onSealed(
            const domain::Expected<domain::Done> &result, LedgerTime time, LedgerActions &actions);
    void onRelisted(
            const std::vector<std::uint64_t> &numbers, LedgerTime time, LedgerActions &actions);
    void readNextBatches(LedgerActions &actions);
    void selectLiveBatches(std::uint64_t number, const protocol::OrderBatch &batch);
    bool isSmall(const BatchInfo &info) const;
    void onTakeoverRead(std::uint64_t number, const domain::Expected<protocol::OrderBatch> &batch,
            LedgerTime time, LedgerActions &actions);
    void onMissingChecked(
            const std::vector<std::uint64_t> &numbers, LedgerTime time, LedgerActions &actions);
    void open(LedgerTime time, LedgerActions &actions);
    void close(const domain::Error &error, domain::Duration retryAfter, LedgerTime time,
            LedgerActions &actions);

    // Orders of an open slot.
    void beginOpen(const WaitingRequest &waiting, LedgerTime time, LedgerActions &actions);
    void beginRepeat(Order &order, const WaitingRequest &waiting, LedgerActions &actions);
    void startOrder(const OrderId &id, Order &order, LedgerTime time, LedgerActions &actions);
    void expireWaiters(LedgerTime time, LedgerActions &actions);
    void expireOrderWaiters(Order &order, LedgerTime time, LedgerActions &actions);
    void expireOrders(LedgerTime time);

    // Writing.
    void enqueue(protocol::OrderRecord record, domain::TimePoint dueAt);
    void enqueueResult(const OrderId &id, const Order &order, domain::TimePoint dueAt);
    void tryAppend(LedgerTime time, LedgerActions &actions);
    protocol::OrderBatch buildBatch();
    void onAppendSucceeded(LedgerTime time, LedgerActions &actions);
    void onVerified(
            const std::vector<std::uint64_t> &numbers, LedgerTime time, LedgerActions &actions);
    void commit(LedgerTime time, LedgerActions &actions);
    void onAppendRefused(const domain::Error &error, LedgerTime time, LedgerActions &actions);
    void onSlotLost(LedgerTime time, LedgerActions &actions);
    void refusePending(protocol::Outcome outcome, const domain::Error &error,
            domain::Duration retryAfter, LedgerActions &actions);
    void apply(std::uint64_t number, const protocol::OrderRecord &record);
    void assignBatch(std::uint64_t number, Order &order);
    void compact(LedgerTime time);
    void removeOldBatches(LedgerTime time, LedgerActions &actions);
    bool isAppendOverdue(domain::TimePoint now) const;
    std::string nextWriteId();
    domain::TimePoint appendDueAt() const;

    std::string m_writer;
    domain::Incarnation m_incarnation;
    SlotLedgerOptions m_options;
    Phase m_phase = Phase::Closed;
    domain::TimePoint m_closedUntil;
    domain::Error m_closedError;
    std::vector<WaitingRequest> m_waitingRequests;
    std::map<OrderId, Order> m_orders;
    /// Orders whose waiters' deadlines have to be checked.
    std::set<OrderId> m_ordersWithWaiters;
    std::deque<QueuedRecord> m_queue;
    std::optional<InFlight> m_inFlight;
    bool m_isReadingBack = false;
    bool m_isVerifying = false;
    std::map<std::uint64_t, BatchInfo> m_batches;
    std::uint64_t m_nextNumber = 1;
    std::uint64_t m_writeCount = 0;
    std::size_t m_sealTries = 0;
    domain::TimePoint m_lastAppendAt;
    LedgerTime m_lastWriteTime;
    domain::TimePoint m_housekeepingAt;
    // State of a takeover: batches to be read, being read, read, and listed but not found. Batches
    // are read one by one from the newest until one with records is found: it names the live ones.
    bool m_isSeekingNewest = false;
    std::deque<std::uint64_t> m_toRead;
    std::set<std::uint64_t> m_reading;
    std::map<std::uint64_t, protocol::OrderBatch> m_readBatches;
    std::set<std::uint64_t> m_missing;
};

} // namespace oriolerill::requests
