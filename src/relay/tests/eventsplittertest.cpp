#include "relay/eventsplitter.h"

#include <gtest/gtest.h>

#include <random>

namespace oriolerill::relay {

class EventSplitterFixture : public testing::Test
{
protected:
    EventSplitter m_splitter;
};

// Guards against a caller that gets the half of an event, which nobody can complete.
TEST_F(EventSplitterFixture, feed_eventInParts_passedOnWhole)
{
    EXPECT_EQ(m_splitter.feed("id: 1\ndata: a\n"), "");
    EXPECT_EQ(m_splitter.feed("\nid: 2\nda"), "id: 1\ndata: a\n\n");
    EXPECT_EQ(m_splitter.lastEventId(), "1");
    EXPECT_EQ(m_splitter.partialEvent(), "id: 2\nda");
    m_splitter.discardPartialEvent();
    EXPECT_EQ(m_splitter.feed("id:2\r\ndata: b\r\n\r\n"), "id:2\r\ndata: b\r\n\r\n");
    EXPECT_EQ(m_splitter.lastEventId(), "2");
    EXPECT_EQ(m_splitter.eventCount(), 2U);
}

// Guards against bytes that are lost, doubled or split wrongly, wherever reads end.
TEST_F(EventSplitterFixture, feed_randomCuts_sameBytesInWholeEvents)
{
    std::string stream;
    for (int i = 1; i <= 40; ++i)
        stream += "id: " + std::to_string(i) + "\ndata: x\ndata:\n\n";
    for (unsigned seed = 0; seed < 300; ++seed) {
        std::mt19937 random(seed);
        EventSplitter splitter;
        std::string out;
        for (std::size_t at = 0; at < stream.size();) {
            const std::size_t size = 1 + random() % 23;
            const std::string events = splitter.feed(std::string_view(stream).substr(at, size));
            const bool endsWhole = events.empty() || events.substr(events.size() - 2) == "\n\n";
            ASSERT_TRUE(endsWhole) << "seed " << seed;
            out += events;
            at += size;
        }
        ASSERT_EQ(out, stream) << "seed " << seed;
        ASSERT_EQ(splitter.lastEventId(), "40");
    }
}

} // namespace oriolerill::relay
