#include "relay/internal/callerwatch.h"

#include <boost/asio/bind_cancellation_slot.hpp>

#include <cerrno>

#include <sys/socket.h>

namespace oriolerill::relay::internal {

namespace asio = boost::asio;
using asio::ip::tcp;

void CallerWatch::start(tcp::socket &socket, std::function<void()> onGone)
{
    m_onGone = std::move(onGone);
    socket.async_wait(tcp::socket::wait_read,
            asio::bind_cancellation_slot(m_signal.slot(),
                    [self = shared_from_this(), &socket](boost::system::error_code code) {
                        if (self->m_isStopped || code == asio::error::operation_aborted)
                            return;
                        if (isDisconnected(socket))
                            self->m_onGone();
                    }));
}

bool CallerWatch::isDisconnected(tcp::socket &socket)
{
    char byte = 0;
    const auto size = ::recv(socket.native_handle(), &byte, 1, MSG_PEEK | MSG_DONTWAIT);
    // With bytes waiting the caller has sent its next request already; the end of the connection
    // cannot be seen behind them.
    return size == 0 || (size < 0 && errno != EAGAIN && errno != EWOULDBLOCK);
}

void CallerWatch::stop()
{
    m_isStopped = true;
    m_onGone = nullptr;
    m_signal.emit(asio::cancellation_type::all);
}

} // namespace oriolerill::relay::internal
