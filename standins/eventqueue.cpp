#include "eventqueue.h"

#include <utility>

namespace oriolerill::standins {

void EventQueue::at(domain::TimePoint time, Action action)
{
    m_events.push(Event{time, m_nextNumber++, std::move(action)});
    if (time < m_armedFor)
        arm();
}

void EventQueue::arm()
{
    m_armedFor = m_events.top().time;
    m_timer.expires_at(m_armedFor);
    m_timer.async_wait([this](boost::system::error_code code) {
        if (!code)
            runDue();
    });
}

void EventQueue::runDue()
{
    // Keeps actions from arming the timer; it is armed below for the earliest event left.
    m_armedFor = domain::TimePoint::min();
    const domain::TimePoint now = domain::TimePoint::clock::now();
    while (!m_events.empty() && m_events.top().time <= now) {
        Action action = std::move(const_cast<Event &>(m_events.top()).action);
        m_events.pop();
        action();
    }
    m_armedFor = domain::TimePoint::max();
    if (!m_events.empty())
        arm();
}

} // namespace oriolerill::standins
