#pragma once

#include "relay/internal/streambuffer.h"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/beast/core/buffers_suffix.hpp>
#include <boost/beast/core/buffers_to_string.hpp>
#include <boost/beast/core/tcp_stream.hpp>

#include <functional>
#include <optional>

namespace oriolerill::relay::internal {

struct RelayContext;

/// Writes a stream to its caller without waiting: what the kernel does not accept is buffered and
/// written as the caller reads. A caller that reads nothing for some time is disconnected.
class CallerWriter
{
public:
    CallerWriter(RelayContext &context, boost::beast::tcp_stream &caller);
    ~CallerWriter();
    CallerWriter(const CallerWriter &) = delete;
    CallerWriter &operator=(const CallerWriter &) = delete;

    /// Called once when a write fails after write() has returned, and not after stop().
    void setFailureHandler(std::function<void()> handler) { m_onFailure = std::move(handler); }
    /// The close of the connection ends the stream: while bytes are buffered, it is a TCP reset.
    void setCloseDelimited(bool isCloseDelimited) { m_isCloseDelimited = isCloseDelimited; }

    /// False when the connection has failed.
    template<class Buffers>
    bool write(const Buffers &buffers)
    {
        boost::beast::buffers_suffix<Buffers> rest(buffers);
        if (!m_isWriting && !m_hasFailed) {
            Gathered gathered;
            for (auto at = boost::asio::buffer_sequence_begin(buffers);
                    at != boost::asio::buffer_sequence_end(buffers); ++at)
                gathered.add(*at);
            rest.consume(writeNow(gathered));
        }
        if (!m_hasFailed && boost::beast::buffer_bytes(rest) > 0)
            enqueue(boost::beast::buffers_to_string(rest));
        return !m_hasFailed;
    }

    bool isWriting() const { return m_isWriting; }
    /// Whether the stream may be read further.
    bool hasRoom() const { return !m_buffer || m_buffer->hasRoom(); }
    /// Waits until bytes were written, a write has failed, or wake(); no longer than a write lasts.
    boost::asio::awaitable<void> awaitProgress();
    void wake() { m_progress.cancel(); }
    /// Closes the connection if bytes are left, and waits for the end of the write.
    boost::asio::awaitable<void> stop();

private:
    /// Buffers of one chunk: its head, its content and its end.
    struct Gathered
    {
        void add(boost::asio::const_buffer buffer)
        {
            if (buffer.size() > 0 && count < buffers.size())
                buffers[count++] = buffer;
        }

        StreamBuffer::Buffers buffers;
        std::size_t count = 0;
    };

    /// Number of bytes that the kernel accepts now.
    std::size_t writeNow(const Gathered &gathered);
    void enqueue(std::string bytes);
    void startWriting();
    void onWritten(boost::beast::error_code code, std::size_t size);
    void setResetOnClose(bool isReset);

    RelayContext &m_context;
    boost::beast::tcp_stream &m_caller;
    /// Empty until the kernel has not accepted some bytes: most callers are never slow.
    std::optional<StreamBuffer> m_buffer;
    boost::asio::steady_timer m_progress;
    std::function<void()> m_onFailure;
    bool m_isCloseDelimited = false;
    bool m_isWriting = false;
    bool m_hasFailed = false;
};

} // namespace oriolerill::relay::internal
