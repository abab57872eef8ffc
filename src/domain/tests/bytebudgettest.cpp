#include "domain/bytebudget.h"

#include <gtest/gtest.h>

#include <thread>
#include <vector>

namespace oriolerill::domain {

class ByteBudgetFixture : public testing::Test
{
protected:
    static constexpr Bytes Limit{1000};
    static constexpr Bytes AlwaysGranted{10};

    std::shared_ptr<ByteBudget> m_budget = std::make_shared<ByteBudget>(Limit, AlwaysGranted);
};

// Guards against requests that hold more than the process may use, and against a refused request
// whose bytes stay counted.
TEST_F(ByteBudgetFixture, tryResize_moreThanLimitTogether_refusedAndUnchanged)
{
    ByteShare first(m_budget);
    ByteShare second(m_budget);
    EXPECT_TRUE(first.tryResize(Bytes(600)));
    EXPECT_TRUE(second.tryResize(Bytes(400)));
    EXPECT_FALSE(second.tryResize(Bytes(401)));
    EXPECT_FALSE(second.tryResize(Bytes(~std::uint64_t(0))));
    EXPECT_EQ(m_budget->held(), Limit);
    EXPECT_TRUE(first.tryResize(Bytes(0)));
    EXPECT_TRUE(second.tryResize(Limit));
    EXPECT_EQ(m_budget->held(), Limit);
}

// Guards against large requests that keep out small ones.
TEST_F(ByteBudgetFixture, tryResize_limitReached_smallSharesGranted)
{
    ByteShare large(m_budget);
    ASSERT_TRUE(large.tryResize(Limit));
    ByteShare small(m_budget);
    EXPECT_TRUE(small.tryResize(AlwaysGranted));
    EXPECT_FALSE(small.tryResize(AlwaysGranted + Bytes(1)));
    EXPECT_EQ(m_budget->held(), Limit + AlwaysGranted);
    // Beyond the limit because of the small share: still no room, and no underflow.
    EXPECT_FALSE(large.tryResize(Limit + Bytes(1)));
}

// Guards against bytes that are lost or exceed the limit when requests on several threads change
// their shares at the same time.
TEST_F(ByteBudgetFixture, tryResize_fromSeveralThreads_withinLimitAndAllReturned)
{
    std::atomic<bool> isExceeded = false;
    std::vector<std::thread> threads;
    for (std::uint64_t thread = 0; thread < 4; ++thread) {
        threads.emplace_back([this, thread, &isExceeded] {
            for (std::uint64_t i = 0; i < 20000; ++i) {
                ByteShare share(m_budget);
                share.tryResize(Bytes(100 + 200 * ((i + thread) % 4)));
                if (m_budget->held() > Limit)
                    isExceeded = true;
            }
        });
    }
    for (std::thread &thread : threads)
        thread.join();
    EXPECT_FALSE(isExceeded);
    EXPECT_EQ(m_budget->held(), Bytes(0));
}

// Guards against bytes that are held beyond the limit and not counted, or not returned.
TEST_F(ByteBudgetFixture, resize_beyondLimitAndBack_counted)
{
    ByteShare share(m_budget);
    ByteShare other(m_budget);
    share.resize(Bytes(1500));
    EXPECT_EQ(m_budget->held(), Bytes(1500));
    EXPECT_FALSE(other.tryResize(Bytes(11)));
    share.resize(Bytes(200));
    EXPECT_EQ(m_budget->held(), Bytes(200));
    EXPECT_TRUE(other.tryResize(Bytes(800)));
}

} // namespace oriolerill::domain
