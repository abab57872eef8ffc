#include "orderbook.h"

#include <sstream>

namespace oriolerill::standins {

void OrderBook::addExecutions(const std::string &lines)
{
    std::istringstream stream(lines);
    for (std::string line; std::getline(stream, line);) {
        const std::size_t separator = line.rfind('=');
        if (separator == std::string::npos)
            continue;
        const auto order = m_orders.find(line.substr(0, separator));
        if (order != m_orders.end())
            order->second.executions += std::stoull(line.substr(separator + 1));
    }
}

OrderBook::Audit OrderBook::audit() const
{
    Audit audit;
    for (const auto &[id, order] : m_orders) {
        const bool isRefused = order.hasNotRun && !order.isAnswered && !order.isUncertain;
        if (order.executions > 1)
            ++audit.duplicates;
        if (order.isAnswered && order.executions == 0)
            ++audit.lost;
        if (isRefused && order.executions > 0)
            ++audit.falseNotRun;
    }
    return audit;
}

std::uint64_t OrderBook::executions() const
{
    std::uint64_t total = 0;
    for (const auto &[id, order] : m_orders)
        total += order.executions;
    return total;
}

} // namespace oriolerill::standins
