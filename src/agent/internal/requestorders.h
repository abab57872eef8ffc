#pragma once

#include "agent/internal/requestproxy.h"
#include "config/iconfigview.h"
#include "requests/iorderlog.h"
#include "requests/orderledger.h"
#include "requests/runningattempt.h"

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>

#include <cstddef>
#include <cstdint>
#include <map>
#include <memory>
#include <mutex>

namespace oriolerill::agent {

/// The order ledgers of this agent, one for each slot that has received an order. Safe to use from
/// all workers.
class RequestOrders
{
public:
    /// Without a log, all orders are refused.
    RequestOrders(boost::asio::any_io_executor executor, const config::IConfigView &configView,
            requests::IOrderLog *log, const RequestProxyOptions &options);

    boost::asio::awaitable<requests::OrderDecision> decide(
            const requests::RunningAttempt &running, bool hasRoom);
    void finish(const protocol::Attempt &attempt, requests::OrderEnd end);
    std::size_t unwritten() const;

private:
    std::shared_ptr<requests::OrderLedger> ledgerOf(const protocol::Attempt &attempt);

    boost::asio::any_io_executor m_executor;
    const config::IConfigView &m_configView;
    requests::IOrderLog *m_log;
    std::string m_writer;
    domain::ServiceId m_service;
    domain::Incarnation m_incarnation;
    mutable std::mutex m_mutex;
    std::map<std::uint32_t, std::shared_ptr<requests::OrderLedger>> m_ledgers;
};

/// The execution of an order. Its outcome is recorded as unknown unless end() is called.
class OrderRun
{
public:
    OrderRun(RequestOrders &orders, const protocol::Attempt &attempt);
    ~OrderRun();
    OrderRun(const OrderRun &) = delete;
    OrderRun &operator=(const OrderRun &) = delete;

    void end(protocol::Outcome outcome, protocol::OrderRecord result);

private:
    RequestOrders &m_orders;
    const protocol::Attempt &m_attempt;
    bool m_isEnded = false;
};

} // namespace oriolerill::agent
