#pragma once

#include "eventqueue.h"

#include <cstdint>
#include <functional>
#include <string>
#include <utility>

namespace oriolerill::standins {

/// One direction of a network link: sends packets in order of arrival at the link's rate.
class ShapedLink
{
public:
    /// Rate in bytes per second; 0 for no limit.
    ShapedLink(EventQueue &events, std::string name, std::uint64_t bytesPerSecond)
        : m_events(events)
        , m_name(std::move(name))
        , m_bytesPerSecond(bytesPerSecond)
    {}

    void transmit(std::uint64_t bytes, EventQueue::Action whenSent);

    const std::string &name() const { return m_name; }
    std::uint64_t rate() const { return m_bytesPerSecond; }
    void setRate(std::uint64_t bytesPerSecond) { m_bytesPerSecond = bytesPerSecond; }
    std::uint64_t bytesSent() const { return m_bytesSent; }
    void resetCounter() { m_bytesSent = 0; }

private:
    EventQueue &m_events;
    std::string m_name;
    std::uint64_t m_bytesPerSecond;
    std::uint64_t m_bytesSent = 0;
    domain::TimePoint m_freeAt;
};

} // namespace oriolerill::standins
