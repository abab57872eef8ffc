#pragma once

#include "relay/internal/localanswer.h"
#include "relay/internal/relaycontext.h"
#include "transport/requestbody.h"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>

#include <memory>

namespace oriolerill::relay::internal {

/// One connection of a caller: reads and serves its requests one after another.
class CallerSession : public std::enable_shared_from_this<CallerSession>
{
public:
    CallerSession(RelayContext &context, boost::asio::ip::tcp::socket socket);

    boost::asio::awaitable<void> run();
    /// No byte of a further request has been received since the last answer.
    bool isIdle() const { return m_isIdle; }
    /// Cancels the wait for a request; one whose first bytes have arrived is still served.
    void cancelWait();

private:
    routing::CallerLimits callerLimits() const;
    boost::asio::awaitable<bool> awaitFirstByte();
    boost::asio::awaitable<bool> serveOne();
    /// Sends the answer to a request of which a part may be unread.
    boost::asio::awaitable<void> refuse(const transport::RequestParser &parser, LocalAnswer answer);

    RelayContext &m_context;
    boost::beast::tcp_stream m_stream;
    /// Larger than any head that operators allow callers; bodies are read through it in parts.
    static constexpr std::size_t MaxBuffered = 256U << 10U;

    boost::beast::flat_buffer m_buffer{MaxBuffered};
    bool m_isIdle = true;
};

} // namespace oriolerill::relay::internal
