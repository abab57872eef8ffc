#pragma once

#include "domain/timepoint.h"

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/steady_timer.hpp>

#include <cstdint>
#include <functional>
#include <queue>
#include <vector>

namespace oriolerill::standins {

/// Runs actions at their times, in order, with a single timer.
class EventQueue
{
public:
    using Action = std::function<void()>;

    explicit EventQueue(const boost::asio::any_io_executor &executor)
        : m_timer(executor)
    {}

    void at(domain::TimePoint time, Action action);

private:
    struct Event
    {
        domain::TimePoint time;
        /// Orders events of the same time by insertion.
        std::uint64_t number = 0;
        Action action;

        bool operator<(const Event &other) const
        {
            return time != other.time ? time > other.time : number > other.number;
        }
    };

    void arm();
    void runDue();

    boost::asio::steady_timer m_timer;
    std::priority_queue<Event> m_events;
    std::uint64_t m_nextNumber = 0;
    domain::TimePoint m_armedFor = domain::TimePoint::max();
};

} // namespace oriolerill::standins
