#pragma once

#include "domain/error.h"
#include "domain/timepoint.h"
#include "protocol/control.pb.h"
#include "requests/answerbuffer.h"
#include "requests/strandsignal.h"

#include <boost/asio/awaitable.hpp>

#include <cstddef>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <vector>

namespace oriolerill::requests {

/// An attempt that this process executes: a producer appends the answer and connections read it.
/// Safe to use from all workers.
class RunningAttempt
{
public:
    RunningAttempt(
            protocol::Attempt attempt, domain::TimePoint startedAt, std::size_t maxBufferedBytes);

    const protocol::Attempt &attempt() const { return m_attempt; }
    /// The caller's deadline.
    domain::TimePoint deadline() const { return m_deadline; }

    void setHead(protocol::AnswerHead head);
    /// Waits, for some seconds at most, while a reader that is attached or has just detached lags
    /// too far behind for the data to be buffered.
    boost::asio::awaitable<void> append(std::string data);
    /// Completes the attempt; only the first call has an effect.
    void finish(protocol::AnswerEnd end);
    /// finish() for an attempt that was not answered.
    void fail(protocol::Outcome outcome, const domain::Error &error, domain::Duration retryAfter,
            const protocol::Load &load);
    bool isFinished() const;
    bool hasHead() const;
    /// True when no reader has been attached since before the time point.
    bool isDetachedSince(domain::TimePoint time) const;

    /// The next output for one connection.
    struct Output
    {
        std::vector<protocol::AttemptFrame> frames;
        /// True when data that the reader still needs was evicted from the buffer.
        bool isLost = false;
        bool isEnd = false;
    };

    void attach(const std::shared_ptr<StrandSignal> &reader, std::uint64_t offset);
    void detach(const std::shared_ptr<StrandSignal> &reader);
    Output next(const std::shared_ptr<StrandSignal> &reader);
    /// Frees the buffered answer and the request of a finished attempt.
    void release();

private:
    void notifyReaders();
    bool mustWait(std::size_t size) const;

    protocol::Attempt m_attempt;
    domain::TimePoint m_deadline;
    mutable std::mutex m_mutex;
    AnswerBuffer m_buffer;
    std::map<std::shared_ptr<StrandSignal>, AnswerBuffer::Cursor> m_readers;
    std::shared_ptr<StrandSignal> m_producer;
    domain::TimePoint m_detachedAt;
    /// Offset of the reader that detached last.
    std::uint64_t m_detachedOffset = 0;
};

} // namespace oriolerill::requests
