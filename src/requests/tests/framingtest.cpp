#include "requests/answerbuffer.h"
#include "requests/attemptframecodec.h"
#include "requests/attemptregistry.h"
#include "requests/retryrule.h"
#include "requests/runningattempt.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <random>

namespace oriolerill::requests {

using namespace std::chrono_literals;
using domain::TimePoint;

namespace {

std::string dataOf(const std::vector<protocol::AttemptFrame> &frames)
{
    std::string data;
    for (const protocol::AttemptFrame &frame : frames)
        data += frame.data();
    return data;
}

protocol::Attempt attempt(std::uint64_t sequence, bool isReattach)
{
    protocol::Attempt attempt;
    attempt.set_request_id("r" + std::to_string(sequence));
    attempt.set_attempt(1);
    attempt.set_entry_incarnation(1);
    attempt.set_receiver_incarnation(7);
    attempt.set_sequence(sequence);
    attempt.set_reattach(isReattach);
    return attempt;
}

} // namespace

// Guards against frames that are lost or merged when the stream is split inside a frame.
TEST(AttemptFrameDecoderTest, feed_anySplit_sameFrames)
{
    std::string stream;
    for (int i = 0; i < 50; ++i) {
        protocol::AttemptFrame frame;
        frame.set_data(std::string(static_cast<std::size_t>(i * 7), 'x'));
        stream += encodeFrame(frame);
    }
    std::mt19937 random(1);
    for (int round = 0; round < 20; ++round) {
        AttemptFrameDecoder decoder;
        std::size_t frames = 0;
        for (std::size_t at = 0; at < stream.size();) {
            const std::size_t size = std::min<std::size_t>(1 + random() % 40, stream.size() - at);
            frames += decoder.feed(std::string_view(stream).substr(at, size))->size();
            at += size;
        }
        EXPECT_EQ(frames, 50U);
        EXPECT_TRUE(decoder.isAtBoundary());
    }
}

// Guards against memory exhaustion by a corrupted frame length.
TEST(AttemptFrameDecoderTest, feed_hugeLength_corrupted)
{
    AttemptFrameDecoder decoder;
    const auto frames = decoder.feed("\x7f\xff\xff\xff");
    ASSERT_FALSE(frames);
    EXPECT_EQ(frames.error().kind, domain::ErrorKind::Corrupted);
}

// Guards against duplicate or missing data when a reader reattaches.
TEST(AnswerBufferTest, next_twoReaders_eachReceivesDataFromItsOffset)
{
    AnswerBuffer buffer(100);
    buffer.setHead({});
    buffer.append("abc");
    AnswerBuffer::Cursor first;
    EXPECT_EQ(dataOf(buffer.next(first)), "abc");
    buffer.append("def");
    AnswerBuffer::Cursor second{false, false, 2};
    EXPECT_EQ(dataOf(buffer.next(first)), "def");
    EXPECT_EQ(dataOf(buffer.next(second)), "cdef");
}

// Guards against unbounded memory, and against an answer with a gap that passes for complete.
TEST(AnswerBufferTest, append_beyondLimit_laggingReaderLosesAnswer)
{
    AnswerBuffer buffer(100);
    for (int i = 0; i < 20; ++i)
        buffer.append(std::string(10, 'x'));
    EXPECT_LE(buffer.heldBytes(), 100U);
    EXPECT_TRUE(buffer.isLost(AnswerBuffer::Cursor{}));
    EXPECT_FALSE(buffer.isLost(AnswerBuffer::Cursor{false, false, 150}));
}

// Guards against a false "not run" for an attempt that ran and whose record was evicted.
TEST(AttemptRegistryTest, admit_reattachToEvictedAttempt_unknown)
{
    AttemptRegistryOptions options;
    options.recordRetention = 1min;
    AttemptRegistry registry(domain::Incarnation(7), options);
    const TimePoint start;
    const protocol::Attempt first = attempt(1, false);
    ASSERT_TRUE(std::holds_alternative<RunAttempt>(registry.admit(first, start)));
    registry.started(AttemptKey::of(first), 1, std::make_shared<RunningAttempt>(first, start, 10));
    registry.finished(AttemptKey::of(first), start);
    const auto late = registry.admit(attempt(1, true), start + 2min);
    EXPECT_TRUE(std::holds_alternative<UnknownAttempt>(late));
    const auto unseen = registry.admit(attempt(2, true), start + 2min);
    EXPECT_TRUE(std::holds_alternative<RefuseAttempt>(unseen));
}

// Guards against an unbounded number of records when many reattaches arrive.
TEST(AttemptRegistryTest, admit_manyReattaches_recordsBoundedAndRefusedAttemptNeverRuns)
{
    AttemptRegistryOptions options;
    options.maxRecords = 10;
    AttemptRegistry registry(domain::Incarnation(7), options);
    for (std::uint64_t i = 1; i <= 100; ++i)
        registry.admit(attempt(i, true), TimePoint());
    EXPECT_LE(registry.size(), 11U);
    EXPECT_FALSE(
            std::holds_alternative<RunAttempt>(registry.admit(attempt(5, false), TimePoint())));
}

// Guards against a second run of a non-idempotent request.
TEST(RetryRuleTest, mayRetry_nonIdempotent_onlyAfterProvedNotRun)
{
    RetryConditions conditions;
    conditions.isIdempotent = false;
    conditions.outcome = protocol::OUTCOME_UNKNOWN;
    EXPECT_FALSE(mayRetry(conditions));
    conditions.outcome = protocol::OUTCOME_NOT_RUN;
    EXPECT_TRUE(mayRetry(conditions));
    conditions.hasSentData = true;
    EXPECT_FALSE(mayRetry(conditions));
}

// Guards against a false "not run" when an earlier attempt has an unknown outcome.
TEST(RetryRuleTest, combineOutcomes_unknownThenNotRun_unknown)
{
    using namespace protocol;
    EXPECT_EQ(combineOutcomes(OUTCOME_UNKNOWN, OUTCOME_NOT_RUN), OUTCOME_UNKNOWN);
    EXPECT_EQ(combineOutcomes(OUTCOME_NOT_RUN, OUTCOME_NOT_RUN), OUTCOME_NOT_RUN);
    EXPECT_EQ(combineOutcomes(OUTCOME_UNSPECIFIED, OUTCOME_NOT_RUN), OUTCOME_NOT_RUN);
}

} // namespace oriolerill::requests
