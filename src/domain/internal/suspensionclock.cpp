#include "domain/suspensionclock.h"

#include <ctime>
#include <utility>

namespace oriolerill::domain {

namespace {

/// The two clocks are read within microseconds of each other; a suspension is far longer.
constexpr auto MinSuspension = std::chrono::milliseconds(20);

Duration read(clockid_t clock)
{
    timespec time{};
    if (::clock_gettime(clock, &time) != 0)
        return Duration::zero();
    return std::chrono::seconds(time.tv_sec) + std::chrono::nanoseconds(time.tv_nsec);
}

} // namespace

SuspensionClock::SuspensionClock()
    : SuspensionClock([] { return read(CLOCK_BOOTTIME) - read(CLOCK_MONOTONIC); })
{}

SuspensionClock::SuspensionClock(Reader reader)
    : m_reader(std::move(reader))
    , m_lastReading(m_reader())
{}

Duration SuspensionClock::takeSuspended()
{
    const Duration now = m_reader();
    const Duration suspended = now - m_lastReading;
    if (suspended < MinSuspension)
        return Duration::zero();
    m_lastReading = now;
    m_total += suspended;
    return suspended;
}

TimePoint SuspensionClock::now()
{
    takeSuspended();
    return TimePoint::clock::now() + m_total;
}

} // namespace oriolerill::domain
