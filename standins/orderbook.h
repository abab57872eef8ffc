#pragma once

#include <cstdint>
#include <map>
#include <string>

namespace oriolerill::standins {

/// Outcomes of orders as reported to callers, for comparison with the services' executions.
class OrderBook
{
public:
    struct Audit
    {
        std::uint64_t duplicates = 0;
        /// Answered, but executed by no service.
        std::uint64_t lost = 0;
        /// Every try was refused as "not run", but a service executed the order.
        std::uint64_t falseNotRun = 0;
    };

    void recordAnswered(const std::string &order) { m_orders[order].isAnswered = true; }
    void recordNotRun(const std::string &order) { m_orders[order].hasNotRun = true; }
    void recordUncertain(const std::string &order) { m_orders[order].isUncertain = true; }

    /// Adds the executions that a service lists, one "<order>=<count>" per line.
    void addExecutions(const std::string &lines);
    Audit audit() const;
    std::uint64_t executions() const;

private:
    struct Order
    {
        bool isAnswered = false;
        bool hasNotRun = false;
        bool isUncertain = false;
        std::uint64_t executions = 0;
    };

    std::map<std::string, Order> m_orders;
};

} // namespace oriolerill::standins
