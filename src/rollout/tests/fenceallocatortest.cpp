#include "rollout/fenceallocator.h"

#include <gtest/gtest.h>

#include <set>

namespace oriolerill::rollout {

using domain::ConfigVersion;
using domain::FencingNumber;
using domain::Incarnation;

class FenceAllocatorFixture : public testing::Test
{
protected:
    static void reserve(FenceAllocator &allocator, std::string &value, ConfigVersion &version)
    {
        if (version == ConfigVersion())
            allocator.onAbsent();
        else
            allocator.onRead(value, version);
        if (allocator.isSuperseded())
            return;
        value = allocator.nextReservation().value;
        version = {1, version.revision + 1};
        allocator.onReserved(version);
    }

    std::string m_value;
    ConfigVersion m_version;
};

// Guards against two processes that use the same number. Without blocks, a process that uses its
// last number plus one while the platform is unreachable would use the number that the next holder
// reserves.
TEST_F(FenceAllocatorFixture, allocate_offlineAndLaterHolder_numbersUnique)
{
    FenceAllocator old{Incarnation(1)};
    reserve(old, m_value, m_version);
    FenceAllocator later{Incarnation(2)};
    reserve(later, m_value, m_version);
    std::set<FencingNumber> offline;
    while (const auto fence = old.allocate())
        offline.insert(*fence);
    EXPECT_EQ(offline.size(), FenceAllocator::DefaultBlockSize);
    const auto first = later.allocate();
    ASSERT_TRUE(first);
    EXPECT_GT(*first, *offline.rbegin());
}

// Guards against an order by a process that never reserved a number.
TEST_F(FenceAllocatorFixture, allocate_onlyRead_none)
{
    FenceAllocator holder{Incarnation(1)};
    reserve(holder, m_value, m_version);
    FenceAllocator successor{Incarnation(2)};
    successor.onRead(m_value, m_version);
    EXPECT_FALSE(successor.allocate());
}

// Guards against a process that was paused and resumes orders although a later one has taken over.
TEST_F(FenceAllocatorFixture, onRead_laterWriter_superseded)
{
    FenceAllocator old{Incarnation(1)};
    reserve(old, m_value, m_version);
    FenceAllocator later{Incarnation(2)};
    reserve(later, m_value, m_version);
    old.onRead(m_value, m_version);
    EXPECT_TRUE(old.isSuperseded());
    EXPECT_FALSE(old.allocate());
}

// Guards against a successor that is locked out by the last write of its predecessor.
TEST_F(FenceAllocatorFixture, onRead_earlierWriter_takesOver)
{
    FenceAllocator later{Incarnation(2)};
    reserve(later, m_value, m_version);
    FenceAllocator old{Incarnation(1)};
    m_value = R"({"fence":20,"writer":1})";
    later.onRead(m_value, m_version);
    EXPECT_FALSE(later.allocate());
    reserve(later, m_value, m_version);
    EXPECT_EQ(later.allocate(), FencingNumber(21));
}

} // namespace oriolerill::rollout
