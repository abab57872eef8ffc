#pragma once

#include "coldstart.h"
#include "target.h"

#include "transport/httpserver.h"

#include <boost/asio/awaitable.hpp>

#include <cstdint>
#include <map>
#include <string>

namespace oriolerill::standins {

struct OrderServiceOptions
{
    /// Value of "service" in answers.
    std::string name = "orders";
    CapacityOptions capacity{64, 64, 1};
    domain::Duration serviceTime = std::chrono::milliseconds(5);
};

/// A plain service that places orders and looks up stock.
class OrderService
{
public:
    explicit OrderService(OrderServiceOptions options);

    boost::asio::awaitable<void> handle(transport::HttpServerExchange &exchange);

private:
    boost::asio::awaitable<void> serve(
            transport::HttpServerExchange &exchange, const Target &target);
    transport::HttpResponse placeOrder(const std::string &body);
    transport::HttpResponse lookUp(const std::string &item);
    transport::HttpResponse control(const Target &target);
    std::string executions() const;
    std::string counters() const;

    OrderServiceOptions m_options;
    ColdStart m_capacity;
    std::map<std::string, std::uint64_t> m_executions;
    std::map<std::string, std::uint64_t> m_counters;
};

} // namespace oriolerill::standins
