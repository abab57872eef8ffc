#pragma once

#include <cstddef>
#include <string>
#include <string_view>

namespace oriolerill::relay {

/// Splits a stream of server-sent events so that only complete events are relayed.
///
/// An endpoint may fail in the middle of an event, and another endpoint continues only after a
/// complete one. A caller that had received part of an event could not get the remainder.
class EventSplitter
{
public:
    /// Appends received bytes and returns the events that they complete.
    std::string feed(std::string_view bytes);

    /// Identifier of the last complete event that has one; empty before the first.
    const std::string &lastEventId() const { return m_lastEventId; }
    std::size_t eventCount() const { return m_eventCount; }
    /// Received bytes of an event that is not complete yet.
    const std::string &partialEvent() const { return m_partialEvent; }
    /// Called before another endpoint continues the stream after the last complete event.
    void discardPartialEvent();

private:
    void readEvent(std::string_view event);

    std::string m_partialEvent;
    std::string m_lastEventId;
    std::size_t m_eventCount = 0;
};

} // namespace oriolerill::relay
