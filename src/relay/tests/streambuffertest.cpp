#include "relay/internal/streambuffer.h"

#include <gtest/gtest.h>

namespace oriolerill::relay::internal {

class StreamBufferFixture : public testing::Test
{
protected:
    static constexpr std::size_t Limit = 1U << 20U;

    static std::string text(const StreamBuffer &buffer)
    {
        std::string text;
        for (const boost::asio::const_buffer &part : buffer.front())
            text.append(static_cast<const char *>(part.data()), part.size());
        return text;
    }

    std::shared_ptr<domain::ByteBudget> m_budget
            = std::make_shared<domain::ByteBudget>(domain::Bytes(Limit), domain::Bytes(0));
};

// Guards against bytes that are written twice or left out where the kernel accepts a part of them.
TEST_F(StreamBufferFixture, consume_partOfPiece_restFollowsInOrder)
{
    StreamBuffer buffer(m_budget);
    buffer.append("first ");
    buffer.append("second ");
    buffer.consume(8);
    buffer.append("third");
    EXPECT_EQ(text(buffer), "cond third");
    EXPECT_EQ(m_budget->held().count(), 12U);
    buffer.consume(10);
    EXPECT_TRUE(buffer.isEmpty());
    EXPECT_EQ(m_budget->held().count(), 0U);
}

// Guards against one stream that buffers more than its bound while memory is left.
TEST_F(StreamBufferFixture, hasRoom_muchMemoryLeft_upToBoundOfStream)
{
    m_budget = std::make_shared<domain::ByteBudget>(domain::Bytes(8 * Limit), domain::Bytes(0));
    StreamBuffer buffer(m_budget);
    while (buffer.hasRoom())
        buffer.append(std::string(512, 'x'));
    EXPECT_LE(buffer.size() + StreamBuffer::MaxRead, StreamBuffer::MaxBytes + 512);
    EXPECT_GT(buffer.size(), 54U * 540U);
}

// Guards against slow callers that use up the memory of all: the streams that buffer most have to
// stop first, and one that buffers little goes on.
TEST_F(StreamBufferFixture, hasRoom_littleMemoryLeft_largeStopSmallGoesOn)
{
    StreamBuffer large(m_budget);
    large.append(std::string(40U << 10U, 'x'));
    ASSERT_TRUE(large.hasRoom());
    StreamBuffer small(m_budget);
    small.append(std::string(1U << 10U, 'x'));
    domain::ByteShare others(m_budget);
    others.resize(domain::Bytes(Limit / 2));
    EXPECT_FALSE(large.hasRoom());
    EXPECT_TRUE(small.hasRoom());
    others.resize(domain::Bytes(2 * Limit));
    EXPECT_TRUE(small.hasRoom());
    others.resize(domain::Bytes(0));
    EXPECT_TRUE(large.hasRoom());
}

} // namespace oriolerill::relay::internal
