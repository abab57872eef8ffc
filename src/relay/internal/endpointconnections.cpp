#include "relay/internal/endpointconnections.h"

#include "relay/internal/socketbuffers.h"
#include "transport/unresponsivepeer.h"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/bind_cancellation_slot.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <algorithm>

#include <linux/sockios.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/ioctl.h>

namespace oriolerill::relay::internal {

namespace asio = boost::asio;
namespace beast = boost::beast;
using asio::ip::tcp;
using domain::Error;
using domain::ErrorKind;
using domain::TimePoint;

namespace {

constexpr auto UseTuple = asio::as_tuple(asio::use_awaitable);
/// An endpoint that acknowledges no data for this long counts as unreachable. The platform's links
/// lose packets at times; the time allows for two retransmissions of one.
constexpr auto EndpointAckTimeout = std::chrono::milliseconds(1500);

} // namespace

bool EndpointConnection::hasUndeliveredBytes()
{
    int bytes = 0;
    if (::ioctl(stream.socket().native_handle(), SIOCOUTQ, &bytes) == 0)
        return bytes > 0;
    // Without the kernel's count, an answer shows that the request was delivered.
    return !hasAnswerBegun;
}

bool EndpointConnection::isEndReceived()
{
    tcp_info info = {};
    socklen_t size = sizeof(info);
    const int socket = stream.socket().native_handle();
    return ::getsockopt(socket, IPPROTO_TCP, TCP_INFO, &info, &size) == 0
            && info.tcpi_state == TCP_CLOSE_WAIT;
}

void EndpointConnection::cancelRequest()
{
    // After a plain close the kernel still delivers the bytes delayed by a narrow or lossy link, so
    // the endpoint may begin the request seconds after its caller has left. A reset discards them.
    // A lost reset is not retransmitted, so a fully delivered request gets a plain close.
    if (stream.socket().is_open() && hasUndeliveredBytes()) {
        beast::error_code code;
        stream.socket().set_option(asio::socket_base::linger(true, 0), code);
        // If the option cannot be set, the close delivers the remaining bytes.
    }
    stream.close();
}

bool EndpointConnection::hasCarried(const domain::RequestId &request) const
{
    return std::find(requests.begin(), requests.end(), request) != requests.end();
}

void EndpointConnection::recordRequest(const domain::RequestId &request)
{
    // An id is repeated only by the few retries of one caller.
    constexpr std::size_t MaxRecorded = 8;
    requests.push_front(request);
    if (requests.size() > MaxRecorded)
        requests.pop_back();
}

EndpointConnections::EndpointConnections(asio::io_context &context)
    : m_context(context)
{}

std::shared_ptr<EndpointConnection> EndpointConnections::acquireIdle(
        const domain::EndpointId &endpoint, const domain::RequestId &request,
        domain::Duration maxAge, domain::TimePoint now)
{
    const auto found = m_idle.find(endpoint);
    if (found == m_idle.end())
        return nullptr;
    IdleList &idle = found->second;
    while (!idle.empty()) {
        std::shared_ptr<EndpointConnection> connection = idle.back();
        if (now < connection->idleDeadline && now - connection->idleSince > maxAge)
            return nullptr;
        if (connection->hasCarried(request))
            return nullptr;
        idle.pop_back();
        connection->idleWait.emit(asio::cancellation_type::all);
        if (now < connection->idleDeadline) {
            connection->isReused = true;
            return connection;
        }
    }
    return nullptr;
}

asio::awaitable<domain::Expected<std::shared_ptr<EndpointConnection>>> EndpointConnections::connect(
        domain::SocketAddress address, domain::TimePoint deadline)
{
    auto connection = std::make_shared<EndpointConnection>(m_context);
    beast::error_code code = co_await open(*connection, address, deadline);
    if (code) {
        co_return Error{code == beast::error::timeout ? ErrorKind::Timeout : ErrorKind::Unavailable,
                "cannot connect to " + address.toString() + ": " + code.message(),
                "check that the endpoint runs and can be reached"};
    }
    connection->stream.socket().set_option(tcp::no_delay(true), code);
    transport::detectUnresponsivePeer(connection->stream.socket(), EndpointAckTimeout);
    co_return connection;
}

asio::awaitable<beast::error_code> EndpointConnections::open(
        EndpointConnection &connection, const domain::SocketAddress &address, TimePoint deadline)
{
    ++m_connects;
    beast::error_code code;
    const tcp::endpoint target(asio::ip::make_address_v4(address.host, code), address.port);
    if (!code)
        connection.stream.socket().open(tcp::v4(), code);
    if (!code) {
        boundSocketBuffers(connection.stream.socket());
        connection.stream.expires_at(deadline);
        std::tie(code) = co_await connection.stream.async_connect(target, UseTuple);
    }
    co_return code;
}

asio::awaitable<bool> EndpointConnections::isRefusing(
        domain::SocketAddress address, TimePoint deadline)
{
    EndpointConnection connection(m_context);
    const beast::error_code code = co_await open(connection, address, deadline);
    co_return code == asio::error::connection_refused;
}

void EndpointConnections::returnToPool(const domain::EndpointId &endpoint,
        const std::shared_ptr<EndpointConnection> &connection, domain::Duration idleTime,
        std::size_t maxIdle, domain::TimePoint now)
{
    IdleList &idle = m_idle[endpoint];
    // Bytes after the answer belong to no request, so the connection is not reused.
    if (connection->buffer.size() > 0 || idle.size() >= maxIdle)
        return;
    connection->idleSince = now;
    connection->idleDeadline = now + idleTime;
    connection->stream.expires_never();
    idle.push_back(connection);
    connection->stream.socket().async_wait(tcp::socket::wait_read,
            asio::bind_cancellation_slot(connection->idleWait.slot(),
                    [this, endpoint, pointer = connection.get()](beast::error_code code) {
                        if (code != asio::error::operation_aborted)
                            removeIdle(endpoint, pointer);
                    }));
}

void EndpointConnections::removeIdle(
        const domain::EndpointId &endpoint, const EndpointConnection *connection)
{
    const auto found = m_idle.find(endpoint);
    if (found == m_idle.end())
        return;
    found->second.remove_if([connection](const auto &idle) { return idle.get() == connection; });
}

void EndpointConnections::closeIdle()
{
    m_idle.clear();
}

} // namespace oriolerill::relay::internal
