#include "shapedlink.h"

#include <algorithm>
#include <chrono>

namespace oriolerill::standins {

void ShapedLink::transmit(std::uint64_t bytes, EventQueue::Action whenSent)
{
    m_bytesSent += bytes;
    if (m_bytesPerSecond == 0) {
        whenSent();
        return;
    }
    const std::chrono::duration<double> time(
            static_cast<double>(bytes) / static_cast<double>(m_bytesPerSecond));
    const domain::TimePoint now = domain::TimePoint::clock::now();
    // A busy process handles the end of a transmission late. The link makes up for up to this much
    // of the delay, so that its rate holds.
    constexpr auto MaxCatchUp = std::chrono::milliseconds(2);
    m_freeAt = std::max(m_freeAt, now - MaxCatchUp)
            + std::chrono::duration_cast<domain::Duration>(time);
    m_events.at(m_freeAt, std::move(whenSent));
}

} // namespace oriolerill::standins
