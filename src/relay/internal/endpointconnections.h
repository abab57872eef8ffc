#pragma once

#include "domain/expected.h"
#include "domain/socketaddress.h"
#include "domain/strongid.h"
#include "domain/timepoint.h"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/cancellation_signal.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>

#include <deque>
#include <list>
#include <map>
#include <memory>

namespace oriolerill::relay::internal {

/// A connection to an endpoint; it carries one request at a time.
struct EndpointConnection
{
    explicit EndpointConnection(boost::asio::io_context &context)
        : stream(context)
    {}

    /// Closes the connection of a request whose answer is no longer needed, and discards the bytes
    /// of the request that have not been delivered.
    void cancelRequest();
    /// Whether written bytes may not have reached the endpoint yet.
    bool hasUndeliveredBytes();
    /// Whether the endpoint has closed its side of the connection, and no reset has followed.
    bool isEndReceived();

    /// Limit of the head of an answer and of the head of a chunk; bodies are read through the
    /// buffer in parts.
    static constexpr std::size_t MaxBuffered = 64U << 10U;

    boost::beast::tcp_stream stream;
    boost::beast::flat_buffer buffer{MaxBuffered};
    /// Whether the connection has recently carried a request with this id: a late copy of its
    /// answer would match a further request with the same id.
    bool hasCarried(const domain::RequestId &request) const;
    void recordRequest(const domain::RequestId &request);

    /// The last requests, newest first.
    std::deque<domain::RequestId> requests;
    domain::TimePoint idleSince;
    domain::TimePoint idleDeadline;
    bool isReused = false;
    /// The head of an answer to the current request has been received.
    bool hasAnswerBegun = false;
    boost::asio::cancellation_signal idleWait;
};

/// Pool of idle connections to endpoints; also opens new connections.
///
/// An idle connection that receives bytes or is closed by the endpoint is removed at once: such
/// bytes belong to no request.
class EndpointConnections
{
public:
    explicit EndpointConnections(boost::asio::io_context &context);

    /// Returns the connection that became idle last, if it has been idle for at most `maxAge` and
    /// has not carried a request with the same id; otherwise null.
    std::shared_ptr<EndpointConnection> acquireIdle(const domain::EndpointId &endpoint,
            const domain::RequestId &request, domain::Duration maxAge, domain::TimePoint now);
    boost::asio::awaitable<domain::Expected<std::shared_ptr<EndpointConnection>>> connect(
            domain::SocketAddress address, domain::TimePoint deadline);
    /// Whether the address refuses connections, so that no process listens there. False when it
    /// accepts one, or cannot be reached by the deadline.
    boost::asio::awaitable<bool> isRefusing(
            domain::SocketAddress address, domain::TimePoint deadline);
    /// Returns a connection to the pool for at most `idleTime`; closes it instead if the endpoint
    /// already has `maxIdle` connections there.
    void returnToPool(const domain::EndpointId &endpoint,
            const std::shared_ptr<EndpointConnection> &connection, domain::Duration idleTime,
            std::size_t maxIdle, domain::TimePoint now);
    void closeIdle();
    std::uint64_t connectCount() const { return m_connects; }

private:
    using IdleList = std::list<std::shared_ptr<EndpointConnection>>;

    boost::asio::awaitable<boost::beast::error_code> open(EndpointConnection &connection,
            const domain::SocketAddress &address, domain::TimePoint deadline);
    void removeIdle(const domain::EndpointId &endpoint, const EndpointConnection *connection);

    boost::asio::io_context &m_context;
    std::map<domain::EndpointId, IdleList> m_idle;
    std::uint64_t m_connects = 0;
};

} // namespace oriolerill::relay::internal
