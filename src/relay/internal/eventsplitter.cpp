#include "relay/eventsplitter.h"

namespace oriolerill::relay {

namespace {

/// End of the event that begins at `from`, just behind its empty line; npos while it is not whole.
std::size_t eventEnd(std::string_view text, std::size_t from)
{
    for (std::size_t line = from;;) {
        const std::size_t end = text.find('\n', line);
        if (end == std::string_view::npos)
            return end;
        const bool isEmpty = end == line || (end == line + 1 && text[line] == '\r');
        if (isEmpty)
            return end + 1;
        line = end + 1;
    }
}

} // namespace

std::string EventSplitter::feed(std::string_view bytes)
{
    m_rest.append(bytes);
    std::size_t whole = 0;
    for (;;) {
        const std::size_t end = eventEnd(m_rest, whole);
        if (end == std::string::npos)
            break;
        readEvent(std::string_view(m_rest).substr(whole, end - whole));
        whole = end;
    }
    std::string events = m_rest.substr(0, whole);
    m_rest.erase(0, whole);
    return events;
}

void EventSplitter::discardPartialEvent()
{
    m_rest.clear();
}

void EventSplitter::readEvent(std::string_view event)
{
    constexpr std::string_view IdField = "id:";
    bool hasContent = false;
    for (std::size_t line = 0; line < event.size();) {
        std::size_t end = event.find('\n', line);
        std::string_view text = event.substr(line, end - line);
        if (!text.empty() && text.back() == '\r')
            text.remove_suffix(1);
        hasContent |= !text.empty();
        if (text.substr(0, IdField.size()) == IdField) {
            text.remove_prefix(IdField.size());
            if (!text.empty() && text.front() == ' ')
                text.remove_prefix(1);
            m_lastEventId = std::string(text);
        }
        line = end + 1;
    }
    if (hasContent)
        ++m_eventCount;
}

} // namespace oriolerill::relay
