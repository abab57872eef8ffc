#include "requests/answerbuffer.h"

#include "requests/attemptframecodec.h"

#include <utility>

namespace oriolerill::requests {

AnswerBuffer::AnswerBuffer(std::size_t maxBytes)
    : m_maxBytes(maxBytes)
{}

void AnswerBuffer::setHead(protocol::AnswerHead head)
{
    m_head = std::move(head);
}

void AnswerBuffer::append(std::string_view data)
{
    m_checksum.add(data);
    while (!data.empty()) {
        const std::string_view piece = data.substr(0, MaxFrameData);
        m_pieces.emplace_back(piece);
        m_heldBytes += piece.size();
        data.remove_prefix(piece.size());
    }
    while (m_heldBytes > m_maxBytes) {
        m_heldBytes -= m_pieces.front().size();
        m_firstOffset += m_pieces.front().size();
        m_pieces.pop_front();
    }
}

void AnswerBuffer::finish(protocol::AnswerEnd end, std::uint64_t resumeOffset)
{
    if (m_end)
        return;
    if (end.outcome() == protocol::OUTCOME_ANSWERED) {
        end.set_length(resumeOffset + m_checksum.length());
        end.set_checksum(m_checksum.value());
    }
    m_end = std::move(end);
}

bool AnswerBuffer::wouldOverrun(std::uint64_t offset, std::size_t size) const
{
    return m_checksum.length() + size > offset + m_maxBytes / 2;
}

std::vector<protocol::AttemptFrame> AnswerBuffer::next(Cursor &cursor) const
{
    std::vector<protocol::AttemptFrame> frames;
    if (m_head && !cursor.hasHead) {
        *frames.emplace_back().mutable_head() = *m_head;
        cursor.hasHead = true;
    }
    std::uint64_t offset = m_firstOffset;
    for (const std::string &piece : m_pieces) {
        const std::uint64_t pieceEnd = offset + piece.size();
        if (pieceEnd > cursor.offset) {
            frames.emplace_back().set_data(piece.substr(cursor.offset - offset));
            cursor.offset = pieceEnd;
        }
        offset = pieceEnd;
    }
    if (m_end && !cursor.hasEnd) {
        *frames.emplace_back().mutable_end() = *m_end;
        cursor.hasEnd = true;
    }
    return frames;
}

void AnswerBuffer::release()
{
    m_pieces.clear();
    m_heldBytes = 0;
    m_firstOffset = m_checksum.length();
}

} // namespace oriolerill::requests
