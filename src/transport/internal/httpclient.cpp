#include "transport/httpclient.h"

#include "transport/internal/beastfields.h"
#include "transport/unresponsivepeer.h"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/strand.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http.hpp>

#include <cerrno>
#include <map>
#include <mutex>
#include <utility>
#include <vector>

#include <sys/socket.h>

namespace oriolerill::transport {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;
using asio::ip::tcp;
using domain::Error;
using domain::ErrorKind;
using domain::Expected;
using domain::SocketAddress;
using domain::TimePoint;

namespace {

constexpr auto UseTuple = asio::as_tuple(asio::use_awaitable);

struct Connection
{
    explicit Connection(const asio::any_io_executor &executor)
        : strand(asio::make_strand(executor))
        , stream(strand)
    {}

    asio::strand<asio::any_io_executor> strand;
    beast::tcp_stream stream;
    /// Maximum size of an incomplete response head or chunk header; bodies are read through the
    /// buffer in pieces.
    static constexpr std::size_t MaxBuffered = 128U << 10U;

    beast::flat_buffer buffer{MaxBuffered};
    TimePoint idleUntil;
    bool isReused = false;
};

Error failure(const SocketAddress &peer, const char *step, beast::error_code code)
{
    if (code == beast::error::timeout) {
        return Error{ErrorKind::Timeout,
                std::string("deadline passed while ") + step + ' ' + peer.toString(),
                "check that the peer runs and can be reached, or allow more time"};
    }
    return Error{ErrorKind::Unavailable,
            std::string("failed ") + step + ' ' + peer.toString() + ": " + code.message(),
            "check that the peer runs and can be reached"};
}

/// False when the peer has closed the idle connection or has sent bytes on it, which belong to no
/// request.
bool isReusable(Connection &connection)
{
    char byte = 0;
    const auto size
            = ::recv(connection.stream.socket().native_handle(), &byte, 1, MSG_PEEK | MSG_DONTWAIT);
    return size < 0 && (errno == EAGAIN || errno == EWOULDBLOCK);
}

http::request<http::string_body> toBeast(const SocketAddress &peer, HttpRequest request)
{
    constexpr unsigned Http11 = 11;
    http::request<http::string_body> message;
    message.version(Http11);
    message.method_string(request.method);
    message.target(request.target);
    message.set(http::field::host, peer.toString());
    internal::copyToBeast(request.fields, message);
    message.body() = std::move(request.body);
    message.prepare_payload();
    return message;
}

} // namespace

class HttpClient::Implementation : public std::enable_shared_from_this<HttpClient::Implementation>
{
public:
    Implementation(asio::any_io_executor executor, HttpClientOptions options)
        : m_executor(std::move(executor))
        , m_options(std::move(options))
    {}

    const HttpClientOptions &options() const { return m_options; }

    std::unique_ptr<Connection> acquireIdle(const SocketAddress &peer)
    {
        const TimePoint now = TimePoint::clock::now();
        const std::scoped_lock lock(m_mutex);
        std::vector<std::unique_ptr<Connection>> &idle = m_idle[peer];
        while (!idle.empty()) {
            std::unique_ptr<Connection> connection = std::move(idle.back());
            idle.pop_back();
            if (connection->idleUntil > now && isReusable(*connection)) {
                connection->isReused = true;
                return connection;
            }
        }
        return nullptr;
    }

    void releaseIdle(const SocketAddress &peer, std::unique_ptr<Connection> connection)
    {
        connection->idleUntil = TimePoint::clock::now() + m_options.maxIdleTime;
        connection->stream.expires_never();
        const std::scoped_lock lock(m_mutex);
        std::vector<std::unique_ptr<Connection>> &idle = m_idle[peer];
        if (idle.size() < m_options.maxIdlePerPeer)
            idle.push_back(std::move(connection));
    }

    void closeIdle()
    {
        std::map<SocketAddress, std::vector<std::unique_ptr<Connection>>> closing;
        const std::scoped_lock lock(m_mutex);
        closing.swap(m_idle);
    }

    asio::awaitable<Expected<std::unique_ptr<HttpExchange>>> open(SocketAddress peer,
            HttpRequest request, TimePoint deadline, bool isFresh, bool *hasSent);

private:
    asio::awaitable<Expected<std::unique_ptr<HttpExchange>>> run(
            std::unique_ptr<Connection> connection, SocketAddress peer, HttpRequest request,
            TimePoint deadline, bool *hasSent);
    asio::awaitable<beast::error_code> connect(Connection &connection, const SocketAddress &peer);

    asio::any_io_executor m_executor;
    HttpClientOptions m_options;
    std::mutex m_mutex;
    std::map<SocketAddress, std::vector<std::unique_ptr<Connection>>> m_idle;
};

namespace {

template<class Owner>
class PooledExchange : public HttpExchange
{
public:
    PooledExchange(std::shared_ptr<Owner> owner, SocketAddress peer,
            std::unique_ptr<Connection> connection,
            std::unique_ptr<http::response_parser<http::buffer_body>> parser)
        : m_owner(std::move(owner))
        , m_peer(std::move(peer))
        , m_connection(std::move(connection))
        , m_parser(std::move(parser))
        , m_isReused(m_connection->isReused)
    {
        m_head.status = m_parser->get().result_int();
        m_head.fields = internal::fromBeast(m_parser->get());
    }

    const HttpResponseHead &head() const override { return m_head; }
    bool isReusedConnection() const override { return m_isReused; }

    asio::awaitable<Expected<std::string>> read(std::size_t maxBytes, TimePoint deadline) override
    {
        if (!m_connection)
            co_return std::string();
        if (m_parser->is_done()) {
            release();
            co_return std::string();
        }
        co_return co_await asio::co_spawn(
                m_connection->strand, readSome(maxBytes, deadline), asio::use_awaitable);
    }

private:
    asio::awaitable<Expected<std::string>> readSome(std::size_t maxBytes, TimePoint deadline)
    {
        std::string piece(maxBytes, '\0');
        auto &body = m_parser->get().body();
        m_connection->stream.expires_at(deadline);
        while (!m_parser->is_done()) {
            body.data = piece.data();
            body.size = maxBytes;
            auto [code, size] = co_await http::async_read_some(
                    m_connection->stream, m_connection->buffer, *m_parser, UseTuple);
            if (code && code != http::error::need_buffer)
                co_return failure(m_peer, "reading from", code);
            const std::size_t received = maxBytes - body.size;
            if (received > 0) {
                piece.resize(received);
                if (m_parser->is_done())
                    release();
                co_return piece;
            }
        }
        release();
        co_return std::string();
    }

    void release()
    {
        // Bytes after the answer belong to no request; the next request on the connection would
        // read them as its answer.
        if (m_parser->keep_alive() && m_connection->buffer.size() == 0)
            m_owner->releaseIdle(m_peer, std::move(m_connection));
        m_connection.reset();
    }

    std::shared_ptr<Owner> m_owner;
    SocketAddress m_peer;
    std::unique_ptr<Connection> m_connection;
    std::unique_ptr<http::response_parser<http::buffer_body>> m_parser;
    HttpResponseHead m_head;
    bool m_isReused = false;
};

} // namespace

asio::awaitable<beast::error_code> HttpClient::Implementation::connect(
        Connection &connection, const SocketAddress &peer)
{
    beast::error_code code;
    tcp::socket &socket = connection.stream.socket();
    socket.open(tcp::v4(), code);
    if (!code && !m_options.sourceHost.empty()) {
        socket.bind(tcp::endpoint(asio::ip::make_address_v4(m_options.sourceHost), 0), code);
    }
    if (!code && m_options.receiveBuffer.count() > 0) {
        const auto size = static_cast<int>(m_options.receiveBuffer.count());
        socket.set_option(asio::socket_base::receive_buffer_size(size), code);
    }
    // Peers come from lists written by other processes; an invalid address must fail the call. An
    // exception would end the calling loop.
    const asio::ip::address_v4 host
            = code ? asio::ip::address_v4() : asio::ip::make_address_v4(peer.host, code);
    if (code)
        co_return code;
    const tcp::endpoint target(host, peer.port);
    std::tie(code) = co_await connection.stream.async_connect(target, UseTuple);
    if (!code)
        socket.set_option(tcp::no_delay(true), code);
    if (!code && m_options.peerAckTimeout.count() > 0)
        detectUnresponsivePeer(socket, m_options.peerAckTimeout);
    co_return code;
}

asio::awaitable<Expected<std::unique_ptr<HttpExchange>>> HttpClient::Implementation::run(
        std::unique_ptr<Connection> connection, SocketAddress peer, HttpRequest request,
        TimePoint deadline, bool *hasSent)
{
    if (!connection->isReused) {
        const TimePoint connectDeadline = m_options.connectTimeout.count() > 0
                ? std::min(deadline, TimePoint::clock::now() + m_options.connectTimeout)
                : deadline;
        connection->stream.expires_at(connectDeadline);
        const beast::error_code code = co_await connect(*connection, peer);
        if (code)
            co_return failure(peer, "connecting to", code);
    }
    connection->stream.expires_at(deadline);
    const http::request<http::string_body> message = toBeast(peer, std::move(request));
    if (hasSent != nullptr)
        *hasSent = true;
    auto [writeCode, written] = co_await http::async_write(connection->stream, message, UseTuple);
    if (writeCode)
        co_return failure(peer, "sending to", writeCode);

    constexpr int MaxInterimAnswers = 4;
    constexpr unsigned FirstFinalStatus = 200;
    std::unique_ptr<http::response_parser<http::buffer_body>> parser;
    for (int interim = 0;; ++interim) {
        if (interim > MaxInterimAnswers) {
            co_return Error{ErrorKind::Corrupted,
                    "only interim answers came from " + peer.toString(), "check the peer"};
        }
        parser = std::make_unique<http::response_parser<http::buffer_body>>();
        parser->body_limit(boost::none);
        if (message.method() == http::verb::head)
            parser->skip(true);
        auto [readCode, size] = co_await http::async_read_header(
                connection->stream, connection->buffer, *parser, UseTuple);
        if (readCode)
            co_return failure(peer, "awaiting the answer of", readCode);
        const unsigned status = parser->get().result_int();
        if (!isValidStatus(status)) {
            co_return Error{ErrorKind::Corrupted,
                    peer.toString() + " answered with the invalid status " + std::to_string(status),
                    "check the peer, and send the request again only if it may run twice"};
        }
        if (status >= FirstFinalStatus)
            break;
    }
    std::unique_ptr<HttpExchange> exchange = std::make_unique<PooledExchange<Implementation>>(
            shared_from_this(), std::move(peer), std::move(connection), std::move(parser));
    co_return std::move(exchange);
}

asio::awaitable<Expected<std::unique_ptr<HttpExchange>>> HttpClient::Implementation::open(
        SocketAddress peer, HttpRequest request, TimePoint deadline, bool isFresh, bool *hasSent)
{
    if (hasSent != nullptr)
        *hasSent = false;
    std::unique_ptr<Connection> connection = isFresh ? nullptr : acquireIdle(peer);
    if (!connection)
        connection = std::make_unique<Connection>(m_executor);
    const auto strand = connection->strand;
    co_return co_await asio::co_spawn(strand,
            run(std::move(connection), std::move(peer), std::move(request), deadline, hasSent),
            asio::use_awaitable);
}

HttpClient::HttpClient(asio::any_io_executor executor, HttpClientOptions options)
    : m_implementation(std::make_shared<Implementation>(std::move(executor), std::move(options)))
{}

HttpClient::~HttpClient()
{
    m_implementation->closeIdle();
}

asio::awaitable<Expected<std::unique_ptr<HttpExchange>>> HttpClient::open(
        SocketAddress peer, HttpRequest request, TimePoint deadline, bool isFresh, bool *hasSent)
{
    return m_implementation->open(std::move(peer), std::move(request), deadline, isFresh, hasSent);
}

asio::awaitable<Expected<HttpResponse>> HttpClient::send(
        SocketAddress peer, HttpRequest request, TimePoint deadline, bool isFresh)
{
    constexpr std::size_t PieceSize = 64U << 10U;
    const std::size_t maxBody = m_implementation->options().maxBody.count();
    Expected<std::unique_ptr<HttpExchange>> exchange
            = co_await open(peer, std::move(request), deadline, isFresh);
    if (!exchange)
        co_return exchange.error();
    HttpResponse response;
    response.status = (*exchange)->head().status;
    response.fields = (*exchange)->head().fields;
    for (;;) {
        Expected<std::string> piece = co_await (*exchange)->read(PieceSize, deadline);
        if (!piece)
            co_return piece.error();
        if (piece->empty())
            co_return response;
        if (response.body.size() + piece->size() > maxBody) {
            co_return Error{ErrorKind::TooLarge, "answer of " + peer.toString() + " is too large",
                    "ask for less at once"};
        }
        response.body += *piece;
    }
}

void HttpClient::closeIdle()
{
    m_implementation->closeIdle();
}

} // namespace oriolerill::transport
