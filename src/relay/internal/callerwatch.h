#pragma once

#include <boost/asio/cancellation_signal.hpp>
#include <boost/asio/ip/tcp.hpp>

#include <functional>
#include <memory>

namespace oriolerill::relay::internal {

/// Notices that a caller has closed its connection while its request is served.
class CallerWatch : public std::enable_shared_from_this<CallerWatch>
{
public:
    /// The callback runs at most once, and never after stop().
    void start(boost::asio::ip::tcp::socket &socket, std::function<void()> onGone);
    void stop();
    /// Looks at the connection now. After the process stood still, timers run before the events of
    /// connections, and a request must not be sent on for a caller that left meanwhile.
    static bool isDisconnected(boost::asio::ip::tcp::socket &socket);

private:
    bool m_isStopped = false;
    std::function<void()> m_onGone;
    boost::asio::cancellation_signal m_signal;
};

} // namespace oriolerill::relay::internal
