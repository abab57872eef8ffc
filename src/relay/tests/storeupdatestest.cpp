#include "relay/internal/storeupdates.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <random>

namespace oriolerill::relay::internal {

using namespace std::chrono_literals;

class StoreUpdateFixture : public testing::Test
{
protected:
    static PublishedChanges engines(int count, std::size_t valueSize = 300)
    {
        PublishedChanges told{"endpoints", 40, {}};
        told.changes.storeVersion = {0, 40 + static_cast<std::uint64_t>(count)};
        for (int i = 0; i < count; ++i) {
            const auto revision = 41 + static_cast<std::uint64_t>(i);
            told.changes.objects.push_back({"endpoints/e" + std::to_string(i),
                    std::string(valueSize, 'v'), {0, revision}, i % 5 == 0});
        }
        return told;
    }

    domain::TimePoint m_now{1h};
};

// Guards against changes of a whole data centre at a push that do not fit a datagram, or arrive
// changed: parts in any order, some of them twice.
TEST_F(StoreUpdateFixture, splitAndAdd_changesOfAPush_sameChanges)
{
    const PublishedChanges told = engines(58);
    std::vector<protocol::StoreChanges> parts = splitChanges(told);
    ASSERT_GT(parts.size(), 5U);
    for (const auto &part : parts)
        EXPECT_LE(part.ByteSizeLong(), 1300U);
    parts.push_back(parts[2]);
    std::mt19937 random(7);
    std::shuffle(parts.begin(), parts.end(), random);
    StoreUpdateAssembler assembler;
    std::optional<PublishedChanges> got;
    int whole = 0;
    for (const auto &part : parts) {
        if (auto changes = assembler.add(part, m_now)) {
            got = std::move(changes);
            ++whole;
        }
    }
    ASSERT_EQ(whole, 1);
    EXPECT_EQ(got->collection, told.collection);
    EXPECT_EQ(got->after, told.after);
    EXPECT_EQ(got->changes.storeVersion.revision, told.changes.storeVersion.revision);
    ASSERT_EQ(got->changes.objects.size(), told.changes.objects.size());
    for (std::size_t i = 0; i < told.changes.objects.size(); ++i) {
        EXPECT_EQ(got->changes.objects[i].key, told.changes.objects[i].key);
        EXPECT_EQ(got->changes.objects[i].isDeleted, told.changes.objects[i].isDeleted);
        EXPECT_EQ(
                got->changes.objects[i].version.revision, told.changes.objects[i].version.revision);
    }
}

// Guards against half of the changes taken for all of them, and against parts that pile up.
TEST_F(StoreUpdateFixture, add_partLostOrMalformed_nothingTaken)
{
    StoreUpdateAssembler assembler;
    std::vector<protocol::StoreChanges> parts = splitChanges(engines(30));
    for (std::size_t i = 1; i < parts.size(); ++i)
        EXPECT_FALSE(assembler.add(parts[i], m_now));
    m_now += 3s;
    EXPECT_FALSE(assembler.add(parts[0], m_now));
    protocol::StoreChanges malformed = parts[0];
    malformed.set_parts(0);
    EXPECT_FALSE(assembler.add(malformed, m_now));
    malformed.set_parts(2);
    malformed.set_part(7);
    EXPECT_FALSE(assembler.add(malformed, m_now));
}

// Guards against a datagram that is too large to arrive: such changes are left to the store.
TEST_F(StoreUpdateFixture, splitChanges_objectBeyondADatagram_none)
{
    EXPECT_TRUE(splitChanges(engines(3, 5000)).empty());
    EXPECT_EQ(splitChanges({"weights", 7, {{}, {0, 7}}}).size(), 1U);
}

} // namespace oriolerill::relay::internal
