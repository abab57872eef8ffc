#pragma once

#include "domain/bytebudget.h"

#include <boost/asio/buffer.hpp>

#include <array>
#include <cstddef>
#include <deque>
#include <memory>
#include <string>

namespace oriolerill::relay::internal {

/// Bytes of one stream that were read from its endpoint and not yet written to its caller, and the
/// decision whether more may be read.
///
/// Handles many callers that read more slowly than their endpoints send. Each stream has a bound;
/// the less memory is left for all streams together, the lower it is, so that the streams that
/// buffer most stop first and small ones go on. Does no I/O. Not thread-safe.
class StreamBuffer
{
public:
    /// Bound of one stream. A whole answer of today's deployments fits: 54 events of 540 bytes.
    static constexpr std::size_t MaxBytes = 64U << 10U;
    /// A stream that buffers less than this always goes on.
    static constexpr std::size_t MinBytes = 4U << 10U;
    /// Largest read from an endpoint. Only a single larger event exceeds the bound.
    static constexpr std::size_t MaxRead = 16U << 10U;
    /// A stream may buffer this part of the memory that is left.
    static constexpr std::size_t RemainderDivisor = 16;

    using Buffers = std::array<boost::asio::const_buffer, 16>;

    explicit StreamBuffer(std::shared_ptr<domain::ByteBudget> budget);

    /// Whether more may be read from the endpoint.
    bool hasRoom() const;
    void append(std::string bytes);
    /// The next bytes to write; valid until they are consumed.
    Buffers front() const;
    /// Removes bytes that were written.
    void consume(std::size_t size);
    void clear();
    bool isEmpty() const { return m_pieces.empty(); }
    /// Memory held; a piece counts until all of it is written.
    std::size_t size() const { return m_size; }

private:
    void updateShare() { m_share.resize(domain::Bytes(m_size)); }

    std::shared_ptr<domain::ByteBudget> m_budget;
    domain::ByteShare m_share;
    std::deque<std::string> m_pieces;
    /// Written bytes of the first piece.
    std::size_t m_offset = 0;
    std::size_t m_size = 0;
};

} // namespace oriolerill::relay::internal
