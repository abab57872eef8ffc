#pragma once

#include <boost/asio/socket_base.hpp>
#include <boost/system/error_code.hpp>

namespace oriolerill::relay::internal {

/// Bytes that the kernel buffers for one connection in each direction; it doubles the value for its
/// own overhead. Without a bound it grows to 4 to 6 MB, which counts as memory of the process. A
/// link of 40 Mbit/s with a round trip of 6 ms carries 30 KB in flight.
constexpr int SocketBufferBytes = 32 << 10;

/// Applies to a socket before it connects, or to a listener for the sockets that it accepts, so
/// that the window of the connection fits. A failure leaves the defaults of the system.
template<class Socket>
void boundSocketBuffers(Socket &socket, int bytes = SocketBufferBytes)
{
    boost::system::error_code code;
    socket.set_option(boost::asio::socket_base::receive_buffer_size(bytes), code);
    socket.set_option(boost::asio::socket_base::send_buffer_size(bytes), code);
}

} // namespace oriolerill::relay::internal
