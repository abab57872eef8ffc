#include "transport/unresponsivepeer.h"

#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>

namespace oriolerill::transport {

namespace {

void setOption(int socket, int level, int name, int value)
{
    // Without the option an unresponsive peer is detected later, at the deadline of the call.
    static_cast<void>(::setsockopt(socket, level, name, &value, sizeof value));
}

} // namespace

void detectUnresponsivePeer(
        boost::asio::ip::tcp::socket &socket, std::chrono::milliseconds ackTimeout)
{
    constexpr int ProbeIdleSeconds = 1;
    constexpr int ProbeIntervalSeconds = 1;
    constexpr int ProbeCount = 2;
    const int handle = socket.native_handle();
    setOption(handle, IPPROTO_TCP, TCP_USER_TIMEOUT, static_cast<int>(ackTimeout.count()));
    setOption(handle, SOL_SOCKET, SO_KEEPALIVE, 1);
    setOption(handle, IPPROTO_TCP, TCP_KEEPIDLE, ProbeIdleSeconds);
    setOption(handle, IPPROTO_TCP, TCP_KEEPINTVL, ProbeIntervalSeconds);
    setOption(handle, IPPROTO_TCP, TCP_KEEPCNT, ProbeCount);
}

} // namespace oriolerill::transport
