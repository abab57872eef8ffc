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

/// One attempt that this process carries out: a producer adds the answer, connections read it.
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
    /// Waits while an attached reader has no room for the data.
    boost::asio::awaitable<void> append(std::string data);
    /// Completes the attempt; only the first call counts.
    void finish(protocol::AnswerEnd end);
    /// finish() for an attempt that was not answered.
    void fail(protocol::Outcome outcome, const domain::Error &error, domain::Duration retryAfter,
            const protocol::Load &load);
    bool isFinished() const;
    bool hasHead() const;
    /// True when no connection has read the answer since before the time point.
    bool isDetachedSince(domain::TimePoint time) const;

    /// What one connection has to send next.
    struct Output
    {
        std::vector<protocol::AttemptFrame> frames;
        /// True when data that the reader needs is no longer held.
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
    /// How far the reader had come that left last.
    std::uint64_t m_detachedOffset = 0;
};

} // namespace oriolerill::requests
