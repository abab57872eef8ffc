#pragma once

#include "domain/expected.h"
#include "domain/quantity.h"
#include "domain/socketaddress.h"
#include "domain/timepoint.h"
#include "transport/httpmessage.h"

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>

#include <cstddef>
#include <functional>
#include <memory>
#include <string>

namespace oriolerill::transport {

/// A request received by an HttpServer; sends the response.
class HttpServerExchange
{
public:
    virtual ~HttpServerExchange() = default;

    virtual HttpRequest &request() = 0;
    virtual std::string remoteHost() const = 0;

    /// Sends a complete response. All sends fail with Unavailable after the client has
    /// disconnected.
    virtual boost::asio::awaitable<domain::Expected<domain::Done>> respond(HttpResponse response)
            = 0;
    /// Starts a chunked response; write() and finish() follow.
    virtual boost::asio::awaitable<domain::Expected<domain::Done>> start(HttpResponseHead head) = 0;
    virtual boost::asio::awaitable<domain::Expected<domain::Done>> write(std::string data) = 0;
    /// Ends a chunked response; the fields are sent as trailers.
    virtual boost::asio::awaitable<domain::Expected<domain::Done>> finish(HttpFields trailers) = 0;
    /// Closes the connection without ending the response, so that the client detects the
    /// truncation.
    virtual void abort() = 0;
};

struct HttpServerOptions
{
    domain::Bytes maxHeader = domain::Bytes(16U << 10U);
    domain::Bytes maxBody = domain::Bytes(1U << 20U);
    /// Limit on the bodies of all requests in progress; further ones are refused with 503.
    domain::Bytes maxTotalBodies = domain::Bytes(32U << 20U);
    /// Bodies of up to this size are accepted although that limit has been reached.
    domain::Bytes alwaysAcceptedBody = domain::Bytes(4U << 10U);
    /// A client that sends no complete request within this time is disconnected.
    domain::Duration readTimeout = std::chrono::seconds(30);
    /// A client that has not accepted the data of one send within this time is disconnected.
    domain::Duration writeTimeout = std::chrono::seconds(30);
    std::size_t maxConnections = 4096;
};

/// HTTP/1.1 server. Malformed and oversized requests get a JSON error with a remedy; a connection
/// that ends or times out within a request is closed without an answer.
class HttpServer
{
public:
    /// Runs as a coroutine on the worker pool, once per request.
    using Handler = std::function<boost::asio::awaitable<void>(HttpServerExchange &)>;

    HttpServer(boost::asio::any_io_executor executor, HttpServerOptions options);
    ~HttpServer();
    HttpServer(const HttpServer &) = delete;
    HttpServer &operator=(const HttpServer &) = delete;

    /// Starts to listen; Unavailable when the address cannot be bound. Port 0 selects a free port.
    domain::Expected<domain::SocketAddress> start(
            const domain::SocketAddress &address, Handler handler);

    /// Stops accepting and closes idle connections; requests in progress continue.
    void stopAccepting();
    /// Requests whose handler has not returned yet.
    std::size_t activeExchanges() const;
    /// Closes every connection.
    void closeAll();

private:
    class Implementation;
    std::shared_ptr<Implementation> m_implementation;
};

/// A JSON body {"error":{"kind","message","remedy"}} with the status for the kind of error.
HttpResponse errorResponse(const domain::Error &error);

} // namespace oriolerill::transport
