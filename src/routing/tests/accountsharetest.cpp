#include "routing/accountshare.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <utility>

namespace oriolerill::routing {

using namespace std::chrono_literals;
using domain::AccountId;
using domain::TimePoint;

class AccountShareFixture : public testing::Test
{
protected:
    /// Fractions served of the first and of the other accounts in 20 s: half of ten requests a
    /// second are from the first account, the others from five; six a second find capacity.
    static std::pair<double, double> served(bool isContended)
    {
        AccountShare shares;
        double capacity = 0;
        double asked[2] = {};
        double admitted[2] = {};
        for (int i = 0; i < 200; ++i) {
            const TimePoint now(1h + i * 100ms);
            capacity = std::min(capacity + 0.6, 2.0);
            const int kind = i % 2;
            const AccountId account(kind == 0 ? "first" : "a" + std::to_string(i / 2 % 5));
            bool isAdmitted = !shares.isAbove(account, now);
            if (isAdmitted && isContended && capacity < 1) {
                isAdmitted = false;
                shares.onFull(now);
            }
            capacity -= isAdmitted ? 1 : 0;
            shares.onDecided(account, isAdmitted, now);
            ++asked[kind];
            admitted[kind] += isAdmitted ? 1 : 0;
        }
        return {admitted[0] / asked[0], admitted[1] / asked[1]};
    }
};

// Guards against an account with half of the traffic that takes the capacity of the others, and
// against starving that account in turn.
TEST_F(AccountShareFixture, isAbove_oneAccountWithHalfTheTraffic_othersServedFirst)
{
    const auto [first, others] = served(true);
    EXPECT_GE(others, 0.75);
    EXPECT_GE(first, 0.6 / 3);
    EXPECT_LT(first, 0.5);
}

// Guards against refusals by shares while there is spare capacity.
TEST_F(AccountShareFixture, isAbove_withoutContention_everyRequestAdmitted)
{
    EXPECT_EQ(served(false).first, 1.0);
}

} // namespace oriolerill::routing
