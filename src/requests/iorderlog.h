#pragma once

#include "domain/expected.h"
#include "domain/strongid.h"
#include "protocol/control.pb.h"

#include <compare>
#include <cstdint>
#include <functional>
#include <vector>

namespace oriolerill::requests {

/// A partition of a service's idempotency keys; each slot has its own log.
struct LedgerSlot
{
    domain::ServiceId service;
    std::uint32_t number = 0;

    friend auto operator<=>(const LedgerSlot &, const LedgerSlot &) = default;
};

/// The durable log of order records, in batches that are numbered from 1 and each written once.
///
/// Callbacks run on the worker pool, once each.
class IOrderLog
{
public:
    using AppendCallback = std::function<void(domain::Expected<domain::Done>)>;
    using ReadCallback = std::function<void(domain::Expected<protocol::OrderBatch>)>;
    using ListCallback = std::function<void(domain::Expected<std::vector<std::uint64_t>>)>;

    virtual ~IOrderLog() = default;

    /// Creates the batch with this number. Fails with Fenced when another writer has created it,
    /// and with Unavailable or RateLimited only when the batch certainly was not and will not be
    /// written. A lost answer is resolved by reading the batch back, which delays the callback.
    virtual void append(const LedgerSlot &slot, std::uint64_t number,
            const protocol::OrderBatch &batch, AppendCallback callback)
            = 0;
    virtual void read(const LedgerSlot &slot, std::uint64_t number, ReadCallback callback) = 0;
    /// Lists the numbers of the existing batches in ascending order.
    virtual void list(const LedgerSlot &slot, ListCallback callback) = 0;
    virtual void remove(const LedgerSlot &slot, std::uint64_t number) = 0;
};

} // namespace oriolerill::requests
