#include "pacer.h"

#include "program.h"

#include <algorithm>

namespace oriolerill::standins {

boost::asio::awaitable<void> Pacer::take(std::uint64_t bytes)
{
    if (m_bytesPerSecond == 0)
        co_return;
    const std::chrono::duration<double> time(
            static_cast<double>(bytes) / static_cast<double>(m_bytesPerSecond));
    const domain::TimePoint start = std::max(m_freeAt, domain::TimePoint::clock::now());
    m_freeAt = start + std::chrono::duration_cast<domain::Duration>(time);
    co_await sleepUntil(m_freeAt);
}

} // namespace oriolerill::standins
