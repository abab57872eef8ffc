#include "objectstore/readstagger.h"

#include <gtest/gtest.h>

#include <map>

namespace oriolerill::objectstore {

using namespace std::chrono_literals;
using domain::Duration;

/// Entries of one data centre with two publishers.
class ReadStaggerFixture : public testing::TestWithParam<std::uint32_t>
{
protected:
    static constexpr std::uint32_t Publishers = 2;
    static constexpr Duration Budget = 2400ms;

    static ReadStagger stagger(std::uint32_t rank, std::uint32_t entries)
    {
        ReadStagger stagger(Publishers, Budget);
        stagger.setRank(rank, entries);
        return stagger;
    }
};

// Guards against reads of all entries at the same time: only the publishers read at once, each
// further group is at most as large as all groups before it, and the last group reads within the
// budget.
TEST_P(ReadStaggerFixture, delay_allRanks_groupsAtMostDoubleWithinBudget)
{
    std::map<Duration, std::uint32_t> readers;
    for (std::uint32_t rank = 0; rank < GetParam(); ++rank)
        ++readers[stagger(rank, GetParam()).delay()];
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

INSTANTIATE_TEST_SUITE_P(Sizes, ReadStaggerFixture, testing::Values(1, 2, 3, 8, 10, 30, 36, 690));

// Guards against an entry without agents that waits for peers although it has none.
TEST_F(ReadStaggerFixture, delay_rankUnknown_readsAtOnce)
{
    const ReadStagger unknown(Publishers, Budget);
    EXPECT_EQ(unknown.delay(), Duration());
    EXPECT_FALSE(unknown.isPublisher());
    EXPECT_TRUE(stagger(1, 30).isPublisher());
    EXPECT_FALSE(stagger(2, 30).isPublisher());
}

} // namespace oriolerill::objectstore
