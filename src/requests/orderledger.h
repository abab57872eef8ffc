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

/// Ensures with a durable log that no order of one slot runs twice. Takes the slot over when the
/// first order arrives, and releases it when another owner has taken it over. Safe to use from all
/// workers.
class OrderLedger
{
public:
    using Callback = std::function<void(OrderDecision)>;

    /// The log has to outlive the ledger and all work on the executor.
    OrderLedger(const boost::asio::any_io_executor &executor, IOrderLog &log, LedgerSlot slot,
            std::string writer, domain::Incarnation incarnation, SlotLedgerOptions options);
    ~OrderLedger();
    OrderLedger(const OrderLedger &) = delete;
    OrderLedger &operator=(const OrderLedger &) = delete;

    /// Decides whether an order runs; calls back once, shortly after the request's deadline at the
    /// latest.
    void begin(OrderRequest request, Callback callback);
    /// Reports the end of an order after RunOrder.
    void finish(const std::string &account, const std::string &key, OrderEnd end);
    /// Number of records that are not written yet.
    std::size_t unwritten() const;

private:
    class Implementation;
    std::shared_ptr<Implementation> m_implementation;
};

} // namespace oriolerill::requests
