#include "requests/runningattempt.h"

#include <boost/asio/this_coro.hpp>

#include <algorithm>
#include <utility>

namespace oriolerill::requests {

using domain::TimePoint;

namespace {

// A reader that reads nothing for this long no longer holds up the producer.
constexpr auto ReaderStallTimeout = std::chrono::seconds(5);

} // namespace

RunningAttempt::RunningAttempt(
        protocol::Attempt attempt, TimePoint startedAt, std::size_t maxBufferedBytes)
    : m_attempt(std::move(attempt))
    , m_deadline(startedAt + std::chrono::milliseconds(m_attempt.remaining_ms()))
    , m_buffer(maxBufferedBytes)
    , m_detachedAt(startedAt)
{}

void RunningAttempt::setHead(protocol::AnswerHead head)
{
    const std::scoped_lock lock(m_mutex);
    m_buffer.setHead(std::move(head));
    notifyReaders();
}

bool RunningAttempt::mustWait(std::size_t size) const
{
    const bool isAbandoned = TimePoint::clock::now() - m_detachedAt >= ReaderStallTimeout;
    if (m_readers.empty())
        return !isAbandoned && m_buffer.wouldOverrun(m_detachedOffset, size);
    return std::any_of(m_readers.begin(), m_readers.end(),
            [&](const auto &reader) { return m_buffer.wouldOverrun(reader.second.offset, size); });
}

boost::asio::awaitable<void> RunningAttempt::append(std::string data)
{
    const TimePoint giveUpAt = TimePoint::clock::now() + ReaderStallTimeout;
    for (;;) {
        std::shared_ptr<StrandSignal> signal;
        {
            const std::scoped_lock lock(m_mutex);
            if (!mustWait(data.size()) || TimePoint::clock::now() >= giveUpAt) {
                m_buffer.append(data);
                notifyReaders();
                co_return;
            }
            signal = m_producer;
        }
        if (!signal) {
            const auto executor = co_await boost::asio::this_coro::executor;
            signal = std::make_shared<StrandSignal>(executor);
            const std::scoped_lock lock(m_mutex);
            m_producer = signal;
            continue;
        }
        co_await signal->wait(giveUpAt);
    }
}

void RunningAttempt::finish(protocol::AnswerEnd end)
{
    end.set_request_id(m_attempt.request_id());
    end.set_attempt(m_attempt.attempt());
    const std::scoped_lock lock(m_mutex);
    m_buffer.finish(std::move(end), m_attempt.resume_offset());
    notifyReaders();
}

void RunningAttempt::fail(protocol::Outcome outcome, const domain::Error &error,
        domain::Duration retryAfter, const protocol::Load &load)
{
    using std::chrono::milliseconds;
    protocol::AnswerEnd end;
    end.set_outcome(outcome);
    end.mutable_error()->set_kind(std::string(toString(error.kind)));
    end.mutable_error()->set_message(error.message);
    end.mutable_error()->set_remedy(error.remedy);
    const auto retryAfterMs = std::chrono::duration_cast<milliseconds>(retryAfter).count();
    end.set_retry_after_ms(static_cast<std::uint32_t>(retryAfterMs));
    *end.mutable_load() = load;
    finish(std::move(end));
}

bool RunningAttempt::isFinished() const
{
    const std::scoped_lock lock(m_mutex);
    return m_buffer.isFinished();
}

bool RunningAttempt::hasHead() const
{
    const std::scoped_lock lock(m_mutex);
    return m_buffer.hasHead();
}

bool RunningAttempt::isDetachedSince(TimePoint time) const
{
    const std::scoped_lock lock(m_mutex);
    return m_readers.empty() && m_detachedAt < time;
}

void RunningAttempt::attach(const std::shared_ptr<StrandSignal> &reader, std::uint64_t offset)
{
    const std::scoped_lock lock(m_mutex);
    m_readers[reader].offset = offset;
}

void RunningAttempt::detach(const std::shared_ptr<StrandSignal> &reader)
{
    const std::scoped_lock lock(m_mutex);
    const auto found = m_readers.find(reader);
    if (found == m_readers.end())
        return;
    m_detachedOffset = found->second.offset;
    m_readers.erase(found);
    m_detachedAt = TimePoint::clock::now();
    if (m_producer)
        m_producer->notify();
}

RunningAttempt::Output RunningAttempt::next(const std::shared_ptr<StrandSignal> &reader)
{
    const std::scoped_lock lock(m_mutex);
    AnswerBuffer::Cursor &cursor = m_readers[reader];
    Output output;
    output.isLost = m_buffer.isLost(cursor);
    if (output.isLost)
        return output;
    output.frames = m_buffer.next(cursor);
    output.isEnd = cursor.hasEnd;
    if (m_producer)
        m_producer->notify();
    return output;
}

void RunningAttempt::release()
{
    const std::scoped_lock lock(m_mutex);
    m_buffer.release();
    // Only the run uses the request's body and headers, and it has finished.
    m_attempt.clear_body();
    m_attempt.clear_headers();
}

void RunningAttempt::notifyReaders()
{
    for (const auto &[reader, cursor] : m_readers)
        reader->notify();
}

} // namespace oriolerill::requests
