#pragma once

#include "domain/timepoint.h"

#include <functional>

namespace oriolerill::domain {

/// Measures the time for which this machine was suspended; the monotonic clock does not count it.
///
/// After a resume, cached state looks as fresh as before by the monotonic clock, while leases and
/// grants of this process have expired by the clocks of other machines.
class SuspensionClock
{
public:
    using Reader = std::function<Duration()>;

    /// Reads the system's clocks.
    SuspensionClock();
    /// The reader returns the total suspended time since the machine started.
    explicit SuspensionClock(Reader reader);

    /// Returns the suspended time since the last call that returned one. Zero below a threshold,
    /// because the two clocks are read one after the other and so differ slightly.
    Duration takeSuspended();
    /// The current time plus the suspended time since this object was made: unlike the steady
    /// clock, it advances while the machine is suspended. For deadlines that are compared with it
    /// alone.
    TimePoint now();
    /// Sum of the results of takeSuspended().
    Duration total() const { return m_total; }

private:
    Reader m_reader;
    Duration m_lastReading;
    Duration m_total = Duration::zero();
};

} // namespace oriolerill::domain
