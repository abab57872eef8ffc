#pragma once

#include <cstddef>
#include <string>
#include <string_view>

namespace oriolerill::relay {

/// Splits a stream of server-sent events so that only whole events are passed on.
///
/// An endpoint may stop in the middle of an event; a caller that got the half of it could not be
/// given the rest from another endpoint.
class EventSplitter
{
public:
    /// Takes bytes as they arrive and returns the whole events that they complete.
    std::string feed(std::string_view bytes);

    /// Identifier of the last whole event; empty before the first that has one.
    const std::string &lastEventId() const { return m_lastEventId; }
    std::size_t eventCount() const { return m_eventCount; }
    /// Bytes of an event that is not whole yet.
    const std::string &partialEvent() const { return m_rest; }
    /// Forgets a half event, before another endpoint continues after the last whole one.
    void discardPartialEvent();

private:
    void readEvent(std::string_view event);

    std::string m_rest;
    std::string m_lastEventId;
    std::size_t m_eventCount = 0;
};

} // namespace oriolerill::relay
