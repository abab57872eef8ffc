#pragma once

#include "protocol/control.pb.h"
#include "requests/answerchecksum.h"

#include <cstddef>
#include <cstdint>
#include <deque>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace oriolerill::requests {

/// Buffers the answer of one attempt for readers, including those that reattach.
///
/// When the buffer is full, the oldest data is evicted: memory stays bounded, and a reader that
/// lags too far behind loses the answer. Not safe for concurrent use.
class AnswerBuffer
{
public:
    /// Read position of one reader.
    struct Cursor
    {
        bool hasHead = false;
        bool hasEnd = false;
        /// Number of data bytes that the reader has received.
        std::uint64_t offset = 0;
    };

    explicit AnswerBuffer(std::size_t maxBytes);

    void setHead(protocol::AnswerHead head);
    void append(std::string_view data);
    /// Completes the answer; fills in the length and the checksum of an answered attempt.
    void finish(protocol::AnswerEnd end, std::uint64_t resumeOffset);

    bool hasHead() const { return m_head.has_value(); }
    bool isFinished() const { return m_end.has_value(); }
    const std::optional<protocol::AnswerEnd> &end() const { return m_end; }
    std::uint64_t length() const { return m_checksum.length(); }
    std::size_t heldBytes() const { return m_heldBytes; }
    /// True when a reader at this offset lags too far behind to append data of this size. Half of
    /// the buffer is reserved for data that was sent to a reader but lost with its connection.
    bool wouldOverrun(std::uint64_t offset, std::size_t size) const;
    /// True when data that the cursor still needs was evicted.
    bool isLost(const Cursor &cursor) const { return cursor.offset < m_firstOffset; }

    /// Returns the next frames for a reader and advances its cursor; empty when there are none yet.
    std::vector<protocol::AttemptFrame> next(Cursor &cursor) const;
    /// Frees the data; readers that still need it lose the answer.
    void release();

private:
    std::size_t m_maxBytes;
    std::optional<protocol::AnswerHead> m_head;
    std::optional<protocol::AnswerEnd> m_end;
    std::deque<std::string> m_pieces;
    std::uint64_t m_firstOffset = 0;
    std::size_t m_heldBytes = 0;
    AnswerChecksum m_checksum;
};

} // namespace oriolerill::requests
