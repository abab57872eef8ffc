#pragma once

#include <boost/asio/ip/tcp.hpp>

#include <chrono>

namespace oriolerill::transport {

/// Fails the connection when its peer becomes unresponsive: when sent bytes are not acknowledged
/// within ackTimeout or, on a connection without data to send, when keep-alive probes are not
/// answered.
void detectUnresponsivePeer(
        boost::asio::ip::tcp::socket &socket, std::chrono::milliseconds ackTimeout);

} // namespace oriolerill::transport
