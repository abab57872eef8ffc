#pragma once

#include "domain/quantity.h"
#include "domain/timepoint.h"
#include "requests/iorderlog.h"
#include "requests/orderdecision.h"
#include "requests/slotledger.h"

#include <boost/asio/any_io_executor.hpp>

#include <cstddef>
#include <functional>
#include <memory>
#include <string>

namespace oriolerill::requests {

/// Keeps the orders of one slot from running twice, with a durable log. Takes the slot over when
/// the first order arrives, and gives up when another owner has taken it. Safe to use from all
/// workers.
class OrderLedger
{
public:
    using Callback = std::function<void(OrderDecision)>;

    /// The log has to outlive the ledger and the executor's work.
    OrderLedger(const boost::asio::any_io_executor &executor, IOrderLog &log, LedgerSlot slot,
            std::string writer, domain::Incarnation incarnation, SlotLedgerOptions options);
    ~OrderLedger();
    OrderLedger(const OrderLedger &) = delete;
    OrderLedger &operator=(const OrderLedger &) = delete;

    /// Decides about an order; calls back once, soon after the request's deadline at the latest.
    void begin(OrderRequest request, Callback callback);
    /// Reports the end of an order after RunOrder.
    void finish(const std::string &account, const std::string &key, OrderEnd end);
    /// Records that still have to be written.
    std::size_t unwritten() const;

private:
    class Implementation;
    std::shared_ptr<Implementation> m_implementation;
};

} // namespace oriolerill::requests
