#include "relay/internal/streambuffer.h"

#include <algorithm>
#include <utility>

namespace oriolerill::relay::internal {

StreamBuffer::StreamBuffer(std::shared_ptr<domain::ByteBudget> budget)
    : m_budget(std::move(budget))
    , m_share(m_budget)
{}

bool StreamBuffer::hasRoom() const
{
    if (m_size < MinBytes)
        return true;
    const std::uint64_t limit = m_budget->limit().count();
    const std::uint64_t left = limit - std::min(limit, m_budget->held().count());
    return m_size + MaxRead <= std::min<std::uint64_t>(MaxBytes, left / RemainderDivisor);
}

void StreamBuffer::append(std::string bytes)
{
    if (bytes.empty())
        return;
    m_size += bytes.size();
    m_pieces.push_back(std::move(bytes));
    updateShare();
}

StreamBuffer::Buffers StreamBuffer::front() const
{
    Buffers buffers;
    const std::size_t count = std::min(buffers.size(), m_pieces.size());
    for (std::size_t i = 0; i < count; ++i)
        buffers[i] = boost::asio::buffer(m_pieces[i]);
    buffers[0] += m_offset;
    return buffers;
}

void StreamBuffer::consume(std::size_t size)
{
    m_offset += size;
    while (!m_pieces.empty() && m_offset >= m_pieces.front().size()) {
        m_offset -= m_pieces.front().size();
        m_size -= m_pieces.front().size();
        m_pieces.pop_front();
    }
    updateShare();
}

void StreamBuffer::clear()
{
    m_pieces.clear();
    m_offset = 0;
    m_size = 0;
    updateShare();
}

} // namespace oriolerill::relay::internal
