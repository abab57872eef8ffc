#include "distribution/chunkstore.h"

#include <gtest/gtest.h>

namespace oriolerill::distribution {

class ChunkStoreFixture : public testing::Test
{
protected:
    static std::shared_ptr<const Manifest> manifestOf(const std::vector<std::string> &data)
    {
        std::vector<ChunkInfo> chunks;
        chunks.reserve(data.size());
        for (const std::string &chunk : data)
            chunks.push_back({domain::Digest::of(chunk), domain::Bytes(chunk.size()), {}});
        const std::string text = Manifest::format("model", data.front(), chunks);
        return std::make_shared<const Manifest>(*Manifest::parse(text, domain::Digest::of(text)));
    }

    ChunkStore m_store{domain::Bytes(12)};
};

// Guards against a manifest that is accepted without a check of its digest.
TEST_F(ChunkStoreFixture, parse_changedText_corrupted)
{
    const auto manifest = manifestOf({"aaaa", "bbb"});
    EXPECT_EQ(manifest->chunks().at(1).offset, domain::Bytes(4));
    const auto parsed = Manifest::parse(manifest->text() + " ", manifest->digest());
    ASSERT_FALSE(parsed);
    EXPECT_EQ(parsed.error().kind, domain::ErrorKind::Corrupted);
}

// Guards against a malformed manifest that makes the agent reserve excessive memory or fail later.
TEST_F(ChunkStoreFixture, parse_malformedManifests_invalidInput)
{
    const std::string digest(64, 'a');
    for (const std::string &text :
            {std::string("{"), std::string("[]"), std::string(R"({"chunks":[]})"),
                    std::string(R"({"chunks":[{"digest":"12","size":1}]})"),
                    R"({"chunks":[{"digest":")" + digest + R"(","size":0}]})",
                    R"({"chunks":[{"digest":")" + digest + R"(","size":999999999999}]})"}) {
        const auto parsed = Manifest::parse(text, domain::Digest::of(text));
        ASSERT_FALSE(parsed) << text;
        EXPECT_EQ(parsed.error().kind, domain::ErrorKind::InvalidInput) << text;
    }
}

// Guards against corrupted data that is stored as a chunk and then served to peers.
TEST_F(ChunkStoreFixture, put_corruptedData_notStored)
{
    ASSERT_TRUE(m_store.hold(manifestOf({"aaaa"})));
    const auto stored = m_store.put(domain::Digest::of("aaaa"), "aaab");
    ASSERT_FALSE(stored);
    EXPECT_EQ(stored.error().kind, domain::ErrorKind::Corrupted);
    EXPECT_EQ(m_store.find(domain::Digest::of("aaaa")), nullptr);
}

// Guards against memory that grows with each version and against freeing a chunk still in use.
TEST_F(ChunkStoreFixture, release_sharedChunk_keptOnceUntilLastVersion)
{
    const auto first = manifestOf({"aaaa", "bbbb"});
    const auto second = manifestOf({"cccc", "bbbb"});
    ASSERT_TRUE(m_store.hold(first));
    ASSERT_TRUE(m_store.hold(second));
    EXPECT_EQ(m_store.reserved(), domain::Bytes(12));
    ASSERT_TRUE(m_store.put(domain::Digest::of("bbbb"), "bbbb"));
    EXPECT_TRUE(m_store.haveMap(second->digest()).test(1));
    m_store.release(first->digest());
    EXPECT_EQ(m_store.reserved(), domain::Bytes(8));
    EXPECT_NE(m_store.find(domain::Digest::of("bbbb")), nullptr);
    m_store.release(second->digest());
    EXPECT_EQ(m_store.reserved(), domain::Bytes());
    EXPECT_EQ(m_store.stored(), domain::Bytes());
}

// Guards against a version that fails after a part of it has been fetched into memory.
TEST_F(ChunkStoreFixture, hold_versionBeyondCapacity_refusedAtOnce)
{
    ASSERT_TRUE(m_store.hold(manifestOf({"aaaa", "bbbb"})));
    const auto held = m_store.hold(manifestOf({"ccccccccc"}));
    ASSERT_FALSE(held);
    EXPECT_EQ(held.error().kind, domain::ErrorKind::TooLarge);
    EXPECT_EQ(m_store.reserved(), domain::Bytes(8));
}

// Guards against bits beyond the number of chunks that count as held chunks, and against bits that
// the encoding loses.
TEST(HaveMap, toBytes_oddSize_roundTripWithoutExtraBits)
{
    const HaveMap map = HaveMap::fromBytes("\xff\xff", 11);
    EXPECT_EQ(map.count(), 11U);
    EXPECT_EQ(HaveMap::fromBytes(map.toBytes(), 11).count(), 11U);
    EXPECT_FALSE(HaveMap::fromBytes("\x01", 11).test(8));
}

} // namespace oriolerill::distribution
