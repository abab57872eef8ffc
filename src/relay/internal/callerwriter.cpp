#include "relay/internal/callerwriter.h"

#include "relay/internal/relaycontext.h"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <cerrno>
#include <utility>

#include <sys/socket.h>
#include <sys/uio.h>

namespace oriolerill::relay::internal {

namespace asio = boost::asio;
namespace beast = boost::beast;

CallerWriter::CallerWriter(RelayContext &context, beast::tcp_stream &caller)
    : m_context(context)
    , m_caller(caller)
    , m_progress(caller.get_executor())
{}

CallerWriter::~CallerWriter() = default;

/// An asynchronous write needs a timer and a further pass of the event loop, also where the kernel
/// accepts all bytes at once, as it does for callers that are not slow.
std::size_t CallerWriter::writeNow(const Gathered &gathered)
{
    std::array<iovec, std::tuple_size_v<StreamBuffer::Buffers>> parts{};
    for (std::size_t i = 0; i < gathered.count; ++i) {
        const asio::const_buffer &buffer = gathered.buffers[i];
        parts[i] = {const_cast<void *>(buffer.data()), buffer.size()};
    }
    msghdr message{};
    message.msg_iov = parts.data();
    message.msg_iovlen = gathered.count;
    const auto size
            = ::sendmsg(m_caller.socket().native_handle(), &message, MSG_DONTWAIT | MSG_NOSIGNAL);
    if (size >= 0)
        return static_cast<std::size_t>(size);
    m_hasFailed = errno != EAGAIN && errno != EWOULDBLOCK && errno != EINTR && errno != ENOBUFS;
    return 0;
}

void CallerWriter::enqueue(std::string bytes)
{
    if (!m_buffer)
        m_buffer.emplace(m_context.callerStreams);
    m_buffer->append(std::move(bytes));
    if (m_isWriting)
        return;
    setResetOnClose(true);
    startWriting();
}

void CallerWriter::startWriting()
{
    m_isWriting = true;
    m_caller.expires_after(m_context.callerWriteTimeout);
    m_caller.async_write_some(m_buffer->front(),
            [this](beast::error_code code, std::size_t size) { onWritten(code, size); });
}

void CallerWriter::onWritten(beast::error_code code, std::size_t size)
{
    m_isWriting = false;
    if (code) {
        m_hasFailed = true;
        m_buffer->clear();
        if (const auto onFailure = std::exchange(m_onFailure, nullptr))
            onFailure();
    } else {
        m_buffer->consume(size);
        if (m_buffer->isEmpty())
            setResetOnClose(false);
        else
            startWriting();
    }
    m_progress.cancel();
}

/// A plain close would mark a stream that ends with its connection as complete.
void CallerWriter::setResetOnClose(bool isReset)
{
    if (!m_isCloseDelimited)
        return;
    beast::error_code code;
    m_caller.socket().set_option(asio::socket_base::linger(isReset, 0), code);
}

asio::awaitable<void> CallerWriter::awaitProgress()
{
    if (!m_isWriting)
        co_return;
    m_progress.expires_at(domain::TimePoint::max());
    co_await m_progress.async_wait(asio::as_tuple(asio::use_awaitable));
}

asio::awaitable<void> CallerWriter::stop()
{
    m_onFailure = nullptr;
    if (m_isWriting)
        m_caller.close();
    while (m_isWriting)
        co_await awaitProgress();
}

} // namespace oriolerill::relay::internal
