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

/// An HTTP request in progress; its response body is read in pieces.
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
    /// Whether the request was sent on a connection that an earlier exchange had used.
    virtual bool isReusedConnection() const = 0;
};

struct HttpClientOptions
{
    /// Local address of outgoing connections; empty for the system's choice.
    std::string sourceHost;
    std::size_t maxIdlePerPeer = 8;
    /// Receive buffer of each connection; zero for the system's choice. A receiver that limits its
    /// read rate needs a small one, because the peer fills it at the full rate of the link.
    domain::Bytes receiveBuffer;
    /// Maximum size of a response body that send() buffers.
    domain::Bytes maxBody = domain::Bytes(16U << 20U);
    /// A connection that is not established within this time fails; zero for the deadlines of
    /// calls.
    std::chrono::milliseconds connectTimeout{0};
    /// A connection fails when its peer has acknowledged neither data nor keep-alive probes for
    /// this long; with zero only the deadlines of calls apply.
    std::chrono::milliseconds peerAckTimeout{0};
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
    /// new source port. The deadline covers connecting, sending and the head. If hasSent is given,
    /// it is set to whether any byte of the request may have been sent; it must outlive the call.
    boost::asio::awaitable<domain::Expected<std::unique_ptr<HttpExchange>>> open(
            domain::SocketAddress peer, HttpRequest request, domain::TimePoint deadline,
            bool isFresh = false, bool *hasSent = nullptr);

    /// Sends a request and reads the complete response; TooLarge above HttpClientOptions::maxBody.
    boost::asio::awaitable<domain::Expected<HttpResponse>> send(domain::SocketAddress peer,
            HttpRequest request, domain::TimePoint deadline, bool isFresh = false);

    void closeIdle();

private:
    class Implementation;
    std::shared_ptr<Implementation> m_implementation;
};

} // namespace oriolerill::transport
