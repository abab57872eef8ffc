#pragma once

#include <boost/asio/cancellation_signal.hpp>
#include <boost/asio/ip/tcp.hpp>

#include <functional>
#include <memory>

namespace oriolerill::relay::internal {

/// Detects that a caller closes its connection while its request is served.
class CallerWatch : public std::enable_shared_from_this<CallerWatch>
{
public:
    /// The callback runs at most once, and never after stop().
    void start(boost::asio::ip::tcp::socket &socket, std::function<void()> onDisconnect);
    void stop();
    /// Checks the connection now. After a suspension, timers run before socket events, and a
    /// request must not be sent for a caller that has disconnected in the meantime.
    static bool isDisconnected(boost::asio::ip::tcp::socket &socket);

private:
    bool m_isStopped = false;
    std::function<void()> m_onDisconnect;
    boost::asio::cancellation_signal m_signal;
};

} // namespace oriolerill::relay::internal
