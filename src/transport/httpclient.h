#pragma once

#include "domain/expected.h"
#include "domain/quantity.h"
#include "domain/socketaddress.h"
#include "domain/timepoint.h"
#include "transport/httpmessage.h"

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>

#include <cstddef>
#include <memory>
#include <string>

namespace oriolerill::transport {

/// An open HTTP exchange whose response body is read piece by piece.
///
/// Destroying it before the end of the body closes the connection, which cancels the exchange.
class HttpExchange
{
public:
    virtual ~HttpExchange() = default;

    virtual const HttpResponseHead &head() const = 0;
    /// Next piece of the body, at most maxBytes long; empty at the end of a complete body.
    /// Unavailable when the connection ends before the body does; Timeout at the deadline.
    virtual boost::asio::awaitable<domain::Expected<std::string>> read(
            std::size_t maxBytes, domain::TimePoint deadline)
            = 0;
    /// True when the request went out on a connection that had served an earlier exchange.
    virtual bool isReusedConnection() const = 0;
};

struct HttpClientOptions
{
    /// Local address of outgoing connections; empty for the system's choice.
    std::string sourceHost;
    std::size_t maxIdlePerPeer = 8;
    /// Receive buffer of each connection; zero for the system's choice. A receiver that paces its
    /// reads needs a small one, since the peer fills it at full speed.
    domain::Bytes receiveBuffer;
    /// Largest whole body that send() accepts.
    domain::Bytes maxBody = domain::Bytes(16U << 20U);
    /// A peer that acknowledges nothing for this long counts as gone; zero leaves it to deadlines.
    std::chrono::milliseconds peerSilence{0};
    /// Idle connections older than this are closed rather than reused.
    domain::Duration maxIdleTime = std::chrono::seconds(5);
};

/// HTTP/1.1 client with a pool of kept-alive connections per peer. Safe to use from all workers.
class HttpClient
{
public:
    HttpClient(boost::asio::any_io_executor executor, HttpClientOptions options);
    ~HttpClient();
    HttpClient(const HttpClient &) = delete;
    HttpClient &operator=(const HttpClient &) = delete;

    /// Sends a request and reads the response head. With isFresh a new connection is used, from a
    /// new source port. The deadline covers connecting, sending and the head. When hasSent is given
    /// it is set to whether any byte may have left; it has to outlive the call.
    boost::asio::awaitable<domain::Expected<std::unique_ptr<HttpExchange>>> open(
            domain::SocketAddress peer, HttpRequest request, domain::TimePoint deadline,
            bool isFresh = false, bool *hasSent = nullptr);

    /// Sends a request and reads the whole response; TooLarge above HttpClientOptions::maxBody.
    boost::asio::awaitable<domain::Expected<HttpResponse>> send(domain::SocketAddress peer,
            HttpRequest request, domain::TimePoint deadline, bool isFresh = false);

    /// Closes the idle connections.
    void closeIdle();

private:
    class Implementation;
    std::shared_ptr<Implementation> m_implementation;
};

} // namespace oriolerill::transport
