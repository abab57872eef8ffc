#pragma once

#include "domain/expected.h"
#include "domain/strongid.h"
#include "protocol/control.pb.h"

#include <compare>
#include <cstdint>
#include <functional>
#include <vector>

namespace oriolerill::requests {

/// A part of a service's idempotency keys; each slot has a log of its own.
struct LedgerSlot
{
    domain::ServiceId service;
    std::uint32_t number = 0;

    friend auto operator<=>(const LedgerSlot &, const LedgerSlot &) = default;
};

/// The durable log of order records: batches numbered from 1, each written once.
///
/// Callbacks run on the worker pool, once each.
class IOrderLog
{
public:
    using AppendCallback = std::function<void(domain::Expected<domain::Done>)>;
    using ReadCallback = std::function<void(domain::Expected<protocol::OrderBatch>)>;
    using ListCallback = std::function<void(domain::Expected<std::vector<std::uint64_t>>)>;

    virtual ~IOrderLog() = default;

    /// Creates the batch with this number. Fenced when another writer has created it; Unavailable
    /// or RateLimited only when it is certain that the batch was not and will not be written. A
    /// lost answer is resolved by reading the batch back, so the callback can come late.
    virtual void append(const LedgerSlot &slot, std::uint64_t number,
            const protocol::OrderBatch &batch, AppendCallback callback)
            = 0;
    virtual void read(const LedgerSlot &slot, std::uint64_t number, ReadCallback callback) = 0;
    /// Numbers of the existing batches, in rising order.
    virtual void list(const LedgerSlot &slot, ListCallback callback) = 0;
    virtual void remove(const LedgerSlot &slot, std::uint64_t number) = 0;
};

} // namespace oriolerill::requests
