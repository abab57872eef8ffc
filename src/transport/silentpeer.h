#pragma once

#include <boost/asio/ip/tcp.hpp>

#include <chrono>

namespace oriolerill::transport {

/// Makes the system notice a peer that went silent for good: unanswered bytes fail the connection
/// after the time given, and short probes do so on a connection with nothing to send.
void detectSilence(boost::asio::ip::tcp::socket &socket, std::chrono::milliseconds ackTimeout);

} // namespace oriolerill::transport
