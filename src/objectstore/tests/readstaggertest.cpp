#include "objectstore/readstagger.h"

#include <gtest/gtest.h>

#include <map>

namespace oriolerill::objectstore {

using namespace std::chrono_literals;
using domain::Duration;

/// Entries of one data centre with two publishers.
class ReadTurnsFixture : public testing::TestWithParam<std::uint32_t>
{
protected:
    static constexpr std::uint32_t Publishers = 2;
    static constexpr Duration Budget = 2400ms;

    static ReadStagger turns(std::uint32_t rank, std::uint32_t entries)
    {
        ReadStagger turns(Publishers, Budget);
        turns.setRank(rank, entries);
        return turns;
    }
};

// Guards against a read of all entries at the same time: none but the publishers reads at once, no
// more than as many again read in the next moment as before it, and all have read by the end of the
// budget.
TEST_P(ReadTurnsFixture, delay_allRanks_groupsAtMostDoubleWithinBudget)
{
    std::map<Duration, std::uint32_t> readers;
    for (std::uint32_t rank = 0; rank < GetParam(); ++rank)
        ++readers[turns(rank, GetParam()).delay()];
    EXPECT_EQ(readers[Duration()], std::min(Publishers, GetParam()));
    std::uint32_t before = 0;
    for (const auto &[delay, count] : readers) {
        EXPECT_LE(delay, Budget);
        if (before > 0) {
            EXPECT_LE(count, before);
            EXPECT_GE(delay, Budget / 2);
        }
        before += count;
    }
}

INSTANTIATE_TEST_SUITE_P(Sizes, ReadTurnsFixture, testing::Values(1, 2, 3, 8, 10, 30, 36, 690));

// Guards against an entry without agents that waits for peers which it cannot have.
TEST_F(ReadTurnsFixture, delay_rankUnknown_readsAtOnce)
{
    const ReadStagger unknown(Publishers, Budget);
    EXPECT_EQ(unknown.delay(), Duration());
    EXPECT_FALSE(unknown.isPublisher());
    EXPECT_TRUE(turns(1, 30).isPublisher());
    EXPECT_FALSE(turns(2, 30).isPublisher());
}

} // namespace oriolerill::objectstore
