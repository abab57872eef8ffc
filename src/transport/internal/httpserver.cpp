#include "transport/httpserver.h"

#include "domain/bytebudget.h"
#include "observability/log.h"
#include "transport/internal/beastfields.h"
#include "transport/requestbody.h"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/strand.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http.hpp>
#include <boost/json/serialize.hpp>
#include <boost/json/value.hpp>

#include <algorithm>
#include <atomic>
#include <mutex>
#include <set>
#include <tuple>
#include <utility>
#include <vector>

namespace oriolerill::transport {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;
using asio::ip::tcp;
using domain::Done;
using domain::Error;
using domain::ErrorKind;
using domain::Expected;

namespace {

constexpr auto UseTuple = asio::as_tuple(asio::use_awaitable);
constexpr unsigned Http11 = 11;
/// Of refusals for want of memory: most requests end within this time.
constexpr const char *RetryAfterSeconds = "1";
// Delay before a stop closes idle connections, so that requests already in transit are received.
constexpr auto IdleCloseDelay = std::chrono::milliseconds(500);

unsigned statusOf(ErrorKind kind)
{
    switch (kind) {
    case ErrorKind::InvalidInput:
        return 400;
    case ErrorKind::Unauthorized:
        return 401;
    case ErrorKind::NotFound:
        return 404;
    case ErrorKind::Conflict:
    case ErrorKind::Fenced:
        return 409;
    case ErrorKind::TooLarge:
        return 413;
    case ErrorKind::RateLimited:
        return 429;
    case ErrorKind::Overloaded:
    case ErrorKind::Unavailable:
    case ErrorKind::Cancelled:
        return 503;
    case ErrorKind::Timeout:
        return 504;
    case ErrorKind::Corrupted:
        return 502;
    case ErrorKind::Internal:
        return 500;
    }
    return 500;
}

struct Connection
{
    Connection(tcp::socket socket)
        : stream(std::move(socket))
    {}

    beast::tcp_stream stream;
    /// Maximum size of an incomplete request head or chunk header.
    static constexpr std::size_t MaxBuffered = 256U << 10U;

    beast::flat_buffer buffer{MaxBuffered};
    std::atomic<bool> isIdle = true;
};

class Exchange : public HttpServerExchange
{
public:
    Exchange(Connection &connection, HttpRequest request, const HttpServerOptions &options,
            bool isKeptAlive)
        : m_connection(connection)
        , m_request(std::move(request))
        , m_writeTimeout(options.writeTimeout)
        , m_isHeadRequest(m_request.method == "HEAD")
        , m_isKeptAlive(isKeptAlive)
    {}

    bool isKeptAlive() const { return m_isKeptAlive && m_isFinished; }
    bool isAnswered() const { return m_isStarted; }

    HttpRequest &request() override { return m_request; }

    std::string remoteHost() const override
    {
        beast::error_code code;
        const auto endpoint = m_connection.stream.socket().remote_endpoint(code);
        return code ? std::string() : endpoint.address().to_string();
    }

    asio::awaitable<Expected<Done>> respond(HttpResponse response) override
    {
        http::response<http::string_body> message;
        message.version(Http11);
        message.result(response.status);
        internal::copyToBeast(response.fields, message);
        message.body() = std::move(response.body);
        message.keep_alive(m_isKeptAlive);
        message.prepare_payload();
        m_isStarted = true;
        renewDeadline();
        beast::error_code code;
        std::size_t size = 0;
        if (m_isHeadRequest) {
            http::response_serializer<http::string_body> serializer(message);
            std::tie(code, size)
                    = co_await http::async_write_header(m_connection.stream, serializer, UseTuple);
        } else {
            std::tie(code, size)
                    = co_await http::async_write(m_connection.stream, message, UseTuple);
        }
        m_isFinished = !code;
        co_return toResult(code);
    }

    asio::awaitable<Expected<Done>> start(HttpResponseHead head) override
    {
        http::response<http::empty_body> message;
        message.version(Http11);
        message.result(head.status);
        internal::copyToBeast(head.fields, message);
        message.chunked(true);
        message.keep_alive(m_isKeptAlive);
        http::response_serializer<http::empty_body> serializer(message);
        m_isStarted = true;
        renewDeadline();
        auto [code, size]
                = co_await http::async_write_header(m_connection.stream, serializer, UseTuple);
        co_return toResult(code);
    }

    asio::awaitable<Expected<Done>> write(std::string data) override
    {
        if (data.empty() || m_isHeadRequest)
            co_return Done{};
        renewDeadline();
        auto [code, size] = co_await asio::async_write(m_connection.stream,
                http::make_chunk(asio::const_buffer(data.data(), data.size())), UseTuple);
        co_return toResult(code);
    }

    asio::awaitable<Expected<Done>> finish(HttpFields trailers) override
    {
        if (m_isHeadRequest) {
            m_isFinished = true;
            co_return Done{};
        }
        http::fields fields;
        internal::copyToBeast(trailers, fields);
        renewDeadline();
        auto [code, size] = co_await asio::async_write(
                m_connection.stream, http::make_chunk_last(fields), UseTuple);
        m_isFinished = !code;
        co_return toResult(code);
    }

    void abort() override
    {
        beast::error_code code;
        m_isStarted = true;
        m_isFinished = false;
        m_connection.stream.socket().close(code);
    }

private:
    void renewDeadline() { m_connection.stream.expires_after(m_writeTimeout); }

    static Expected<Done> toResult(beast::error_code code)
    {
        if (!code)
            return Done{};
        return Error{ErrorKind::Unavailable, "the client has disconnected: " + code.message(),
                "the client may send the request again"};
    }

    Connection &m_connection;
    HttpRequest m_request;
    domain::Duration m_writeTimeout;
    /// An answer without a body, whose head states that of a GET request.
    bool m_isHeadRequest;
    bool m_isKeptAlive;
    bool m_isStarted = false;
    bool m_isFinished = false;
};

Error readError(beast::error_code code, const HttpServerOptions &options)
{
    if (code == asio::error::no_buffer_space) {
        return Error{ErrorKind::Overloaded, "the bodies of other requests leave no room",
                "send the request again after Retry-After; it has not run"};
    }
    if (code == http::error::body_limit) {
        return Error{ErrorKind::TooLarge, "the request body is too large",
                "send at most " + std::to_string(options.maxBody.count()) + " bytes"};
    }
    if (code == http::error::header_limit) {
        return Error{ErrorKind::TooLarge, "the request header is too large",
                "send at most " + std::to_string(options.maxHeader.count()) + " bytes of header"};
    }
    return Error{ErrorKind::InvalidInput, "malformed HTTP request: " + code.message(),
            "send a well-formed HTTP/1.1 request"};
}

bool isConnectionLoss(beast::error_code code)
{
    return code == http::error::end_of_stream || code == beast::error::timeout
            || code == asio::error::connection_reset || code == asio::error::operation_aborted
            || code == asio::error::eof || code == asio::error::bad_descriptor
            || code == http::error::partial_message;
}

} // namespace

class HttpServer::Implementation : public std::enable_shared_from_this<HttpServer::Implementation>
{
public:
    Implementation(asio::any_io_executor executor, HttpServerOptions options)
        : m_executor(std::move(executor))
        , m_options(options)
        // A body of the largest size fits while there is no other.
        , m_bodies(std::make_shared<domain::ByteBudget>(
                  std::max(options.maxTotalBodies, options.maxBody), options.alwaysAcceptedBody))
        , m_acceptor(asio::make_strand(m_executor))
    {}

    Expected<domain::SocketAddress> start(const domain::SocketAddress &address, Handler handler)
    {
        m_handler = std::move(handler);
        beast::error_code code;
        const asio::ip::address host = asio::ip::make_address(address.host, code);
        if (!code)
            m_acceptor.open(tcp::v4(), code);
        if (!code)
            m_acceptor.set_option(asio::socket_base::reuse_address(true), code);
        if (!code)
            m_acceptor.bind(tcp::endpoint(host, address.port), code);
        if (!code)
            m_acceptor.listen(asio::socket_base::max_listen_connections, code);
        if (code) {
            return Error{ErrorKind::Unavailable,
                    "cannot listen on " + address.toString() + ": " + code.message(),
                    "choose a free address of this machine in the settings"};
        }
        const std::uint16_t port = m_acceptor.local_endpoint().port();
        asio::co_spawn(m_acceptor.get_executor(), acceptLoop(shared_from_this()), asio::detached);
        return domain::SocketAddress{address.host, port};
    }

    void stopAccepting()
    {
        m_isStopping = true;
        asio::post(m_acceptor.get_executor(), [self = shared_from_this()] {
            beast::error_code code;
            self->m_acceptor.close(code);
        });
        const auto timer = std::make_shared<asio::steady_timer>(m_executor, IdleCloseDelay);
        timer->async_wait([self = shared_from_this(), timer](
                                  beast::error_code) { self->closeConnections(true); });
    }

    void closeAll() { closeConnections(false); }

    std::size_t activeExchanges() const { return m_activeExchanges; }

private:
    static asio::awaitable<void> acceptLoop(std::shared_ptr<Implementation> self)
    {
        while (self->m_acceptor.is_open()) {
            auto [code, socket] = co_await self->m_acceptor.async_accept(
                    asio::make_strand(self->m_executor), UseTuple);
            if (code == asio::error::operation_aborted || code == asio::error::bad_descriptor)
                co_return;
            if (code) {
                // For example, no file descriptors are left; the delay prevents a busy loop.
                constexpr auto AcceptRetryDelay = std::chrono::milliseconds(50);
                asio::steady_timer timer(self->m_acceptor.get_executor(), AcceptRetryDelay);
                co_await timer.async_wait(UseTuple);
                continue;
            }
            self->accept(std::move(socket));
        }
    }

    void accept(tcp::socket socket)
    {
        beast::error_code code;
        socket.set_option(tcp::no_delay(true), code);
        const auto executor = socket.get_executor();
        auto connection = std::make_shared<Connection>(std::move(socket));
        {
            const std::scoped_lock lock(m_mutex);
            if (m_connections.size() >= m_options.maxConnections)
                return;
            m_connections.insert(connection);
        }
        asio::co_spawn(executor, serve(shared_from_this(), std::move(connection)), asio::detached);
    }

    static asio::awaitable<void> serve(
            std::shared_ptr<Implementation> self, std::shared_ptr<Connection> connection)
    {
        try {
            bool isOpen = true;
            while (isOpen)
                isOpen = co_await self->serveOne(*connection);
        } catch (const std::exception &) {
            // An exception in a handler closes only that handler's connection.
        }
        beast::error_code code;
        connection->stream.socket().shutdown(tcp::socket::shutdown_both, code);
        connection->stream.socket().close(code);
        const std::scoped_lock lock(self->m_mutex);
        self->m_connections.erase(connection);
    }

    asio::awaitable<bool> serveOne(Connection &connection)
    {
        domain::ByteShare share(m_bodies);
        RequestParser parser;
        parser.header_limit(static_cast<std::uint32_t>(m_options.maxHeader.count()));
        parser.body_limit(m_options.maxBody.count());
        connection.stream.expires_after(m_options.readTimeout);
        auto [headCode, headSize] = co_await http::async_read_header(
                connection.stream, connection.buffer, parser, UseTuple);
        connection.isIdle = false;
        beast::error_code code = headCode;
        if (!code && !parser.is_done())
            code = co_await readRequestBody(connection.stream, connection.buffer, parser, share);
        if (code) {
            // Nothing is held while the rest of the request is discarded.
            std::string().swap(parser.get().body());
            share.tryResize(domain::Bytes(0));
            if (!isConnectionLoss(code))
                co_await refuse(connection, readError(code, m_options));
            co_return false;
        }
        const bool isOpen = co_await handle(connection, parser.release());
        connection.isIdle = isOpen;
        co_return isOpen && !m_isStopping;
    }

    asio::awaitable<bool> handle(Connection &connection, http::request<http::string_body> message)
    {
        HttpRequest request;
        request.method = std::string(message.method_string());
        request.target = std::string(message.target());
        request.fields = internal::fromBeast(message);
        request.body = std::move(message.body());
        const bool isKeptAlive = message.keep_alive() && !m_isStopping;
        Exchange exchange(connection, std::move(request), m_options, isKeptAlive);
        if (message.version() < Http11) {
            co_await exchange.respond(errorResponse(Error{ErrorKind::InvalidInput,
                    "HTTP version is not supported", "send the request with HTTP/1.1"}));
            co_return false;
        }
        connection.stream.expires_never();
        const ActiveCount count(m_activeExchanges);
        co_await m_handler(exchange);
        if (!exchange.isAnswered()) {
            co_await exchange.respond(errorResponse(Error{
                    ErrorKind::Internal, "the request was not handled", "report this as a fault"}));
        }
        co_return exchange.isKeptAlive();
    }

    asio::awaitable<void> refuse(Connection &connection, Error error)
    {
        observability::logEvent(observability::Severity::Warning, "request_unreadable",
                {{"reason", error.message}, {"bodies", m_bodies->held().count()}});
        HttpResponse response = errorResponse(error);
        if (error.kind == ErrorKind::Overloaded)
            response.fields.add("Retry-After", RetryAfterSeconds);
        Exchange exchange(connection, HttpRequest(), m_options, false);
        co_await exchange.respond(std::move(response));
        // Closing a socket with unread input resets the connection, and the client could lose the
        // answer. So the rest of the request is read and discarded first.
        beast::error_code code;
        connection.stream.socket().shutdown(tcp::socket::shutdown_send, code);
        constexpr auto DrainTimeout = std::chrono::milliseconds(200);
        connection.stream.expires_after(DrainTimeout);
        std::vector<char> discarded(16U << 10U);
        while (!code) {
            auto [readCode, size]
                    = co_await connection.stream.async_read_some(asio::buffer(discarded), UseTuple);
            code = readCode;
        }
    }

    void closeConnections(bool onlyIdle)
    {
        std::set<std::shared_ptr<Connection>> connections;
        {
            const std::scoped_lock lock(m_mutex);
            connections = m_connections;
        }
        for (const std::shared_ptr<Connection> &connection : connections) {
            asio::post(connection->stream.get_executor(), [connection, onlyIdle] {
                beast::error_code code;
                if (!onlyIdle || connection->isIdle)
                    connection->stream.socket().close(code);
            });
        }
    }

    struct ActiveCount
    {
        explicit ActiveCount(std::atomic<std::size_t> &counter)
            : count(counter)
        {
            ++count;
        }
        ~ActiveCount() { --count; }
        ActiveCount(const ActiveCount &) = delete;
        ActiveCount &operator=(const ActiveCount &) = delete;
        std::atomic<std::size_t> &count;
    };

    asio::any_io_executor m_executor;
    HttpServerOptions m_options;
    std::shared_ptr<domain::ByteBudget> m_bodies;
    tcp::acceptor m_acceptor;
    Handler m_handler;
    std::atomic<bool> m_isStopping = false;
    std::atomic<std::size_t> m_activeExchanges = 0;
    std::mutex m_mutex;
    std::set<std::shared_ptr<Connection>> m_connections;
};

HttpServer::HttpServer(asio::any_io_executor executor, HttpServerOptions options)
    : m_implementation(std::make_shared<Implementation>(std::move(executor), options))
{}

HttpServer::~HttpServer()
{
    m_implementation->stopAccepting();
    m_implementation->closeAll();
}

Expected<domain::SocketAddress> HttpServer::start(
        const domain::SocketAddress &address, Handler handler)
{
    return m_implementation->start(address, std::move(handler));
}

void HttpServer::stopAccepting()
{
    m_implementation->stopAccepting();
}

std::size_t HttpServer::activeExchanges() const
{
    return m_implementation->activeExchanges();
}

void HttpServer::closeAll()
{
    m_implementation->closeAll();
}

HttpResponse errorResponse(const Error &error)
{
    HttpResponse response;
    response.status = statusOf(error.kind);
    response.fields.add("Content-Type", "application/json");
    response.body = boost::json::serialize(boost::json::value{{"error",
            {{"kind", std::string(toString(error.kind))}, {"message", error.message},
                    {"remedy", error.remedy}}}});
    return response;
}

} // namespace oriolerill::transport
