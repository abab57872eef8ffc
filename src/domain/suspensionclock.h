#pragma once

#include "domain/timepoint.h"

#include <functional>

namespace oriolerill::domain {

/// Time that this machine has spent suspended, which the monotonic clock does not count.
///
/// A process that wakes again finds all that it knows as fresh as before; what it may do by then,
/// for how long, has run out by the clocks of the others.
class SuspensionClock
{
public:
    using Reader = std::function<Duration()>;

    /// Reads the system's clocks.
    SuspensionClock();
    /// The reader tells the whole suspended time since the machine started.
    explicit SuspensionClock(Reader reader);

    /// Suspended time since the last call; zero for the small differences between two clocks that
    /// are read one after the other.
    Duration takeSuspended();
    /// Suspended time that was taken since the start of this process.
    Duration total() const { return m_total; }

private:
    Reader m_reader;
    Duration m_lastReading;
    Duration m_total = Duration::zero();
};

} // namespace oriolerill::domain
