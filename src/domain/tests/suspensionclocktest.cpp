#include "domain/suspensionclock.h"

#include <gtest/gtest.h>

namespace oriolerill::domain {

using namespace std::chrono_literals;

// Guards against suspended time that is counted twice, and against counting the small difference
// between two clocks that are read one after the other.
TEST(SuspensionClock, takeSuspended_machineWasSuspended_countedOnce)
{
    Duration suspended = 3s;
    SuspensionClock clock([&suspended] { return suspended; });
    EXPECT_EQ(clock.takeSuspended(), 0s);
    suspended += 2ms;
    EXPECT_EQ(clock.takeSuspended(), 0s);
    suspended += 5s;
    EXPECT_EQ(clock.takeSuspended(), 5002ms);
    EXPECT_EQ(clock.takeSuspended(), 0s);
    EXPECT_EQ(clock.total(), 5002ms);
}

} // namespace oriolerill::domain
