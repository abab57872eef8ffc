#include "relay/internal/callersession.h"

#include "observability/log.h"
#include "relay/internal/localanswer.h"
#include "relay/internal/requestrun.h"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/http/read.hpp>

#include <algorithm>
#include <memory>
#include <tuple>

namespace oriolerill::relay::internal {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;
using asio::ip::tcp;
using domain::ErrorKind;

namespace {

constexpr auto UseTuple = asio::as_tuple(asio::use_awaitable);
constexpr std::size_t ReadSize = 8U << 10U;

LocalAnswer invalid(unsigned status, std::string message, std::string remedy)
{
    return {status, {ErrorKind::InvalidInput, std::move(message), std::move(remedy)}, std::nullopt};
}

/// The answer to a request that could not be read; none when the caller has gone.
std::optional<LocalAnswer> answerTo(beast::error_code code, const routing::CallerLimits &limits)
{
    if (code == http::error::header_limit || code == http::error::buffer_overflow) {
        return invalid(431, "the request head is too large",
                "send at most " + std::to_string(limits.maxHeader.count()) + " bytes of head");
    }
    if (code == http::error::body_limit) {
        return invalid(413, "the request body is too large",
                "send at most " + std::to_string(limits.maxBody.count()) + " bytes of body");
    }
    if (code == beast::error::timeout)
        return invalid(408, "the request did not arrive in time; it has not run", "send it again");
    if (code.category() == http::make_error_code(http::error::bad_method).category()
            && code != http::error::end_of_stream && code != http::error::partial_message) {
        return invalid(
                400, "malformed request: " + code.message(), "send a well-formed HTTP/1.1 request");
    }
    return std::nullopt;
}

/// Faults that the parser lets pass but that let two readers see different requests.
std::optional<LocalAnswer> ambiguity(const http::request_header<> &head)
{
    if (head.count(http::field::transfer_encoding) > 0
            && !beast::iequals(head[http::field::transfer_encoding], "chunked")) {
        return invalid(400, "the transfer encoding is not supported",
                "send the body chunked or with its length");
    }
    if (head.count(http::field::transfer_encoding) > 0
            && head.count(http::field::content_length) > 0)
        return invalid(400, "the request has two lengths", "send one of them");
    if (head.count(http::field::content_length) > 1)
        return invalid(400, "the request has two lengths", "send one of them");
    if (head.count(http::field::host) != 1 && head.version() >= 11)
        return invalid(400, "the request needs one host", "send one Host field");
    return std::nullopt;
}

/// Ends a read at its deadline without closing the connection, which the timeout of the stream
/// would do: the caller is told that its request has not run.
class ReadLimit
{
public:
    ReadLimit(beast::tcp_stream &stream, domain::Duration time)
        : m_timer(stream.get_executor(), time)
        , m_state(std::make_shared<State>())
    {
        stream.expires_never();
        m_timer.async_wait([&stream, state = m_state](beast::error_code code) {
            // The read may have ended while the handler was on its way.
            if (code || state->isEnded)
                return;
            state->isOver = true;
            stream.cancel();
        });
    }
    ~ReadLimit() { m_state->isEnded = true; }
    ReadLimit(const ReadLimit &) = delete;
    ReadLimit &operator=(const ReadLimit &) = delete;

    /// The code of the read, or that it took too long.
    beast::error_code result(beast::error_code code) const
    {
        return code == asio::error::operation_aborted && m_state->isOver
                ? make_error_code(beast::error::timeout)
                : code;
    }

private:
    struct State
    {
        bool isOver = false;
        bool isEnded = false;
    };

    asio::steady_timer m_timer;
    std::shared_ptr<State> m_state;
};

} // namespace

CallerSession::CallerSession(RelayContext &context, tcp::socket socket)
    : m_context(context)
    , m_stream(std::move(socket))
{}

void CallerSession::endWait()
{
    // A read that has taken bytes already ends with them, though its handler has not run yet.
    m_stream.cancel();
}

asio::awaitable<void> CallerSession::run()
{
    const auto self = shared_from_this();
    try {
        // An answer that began before the stop has promised to keep its connection; closing it
        // unread lets the caller repeat at once, while a request taken now could not be ended.
        // The first request of a connection that was taken before the stop is served.
        bool isOpen = co_await serveOne();
        while (isOpen && !m_context.isIntakeClosed)
            isOpen = co_await serveOne();
    } catch (const std::exception &error) {
        observability::logEvent(observability::Severity::Error, "session_failed",
                {{"error", error.what()}, {"remedy", "report the line; the caller may repeat"}});
    }
    beast::error_code code;
    m_stream.socket().shutdown(tcp::socket::shutdown_both, code);
    m_stream.close();
}

asio::awaitable<bool> CallerSession::awaitFirstByte()
{
    if (m_buffer.size() > 0)
        co_return true;
    auto [code, size] = co_await m_stream.async_read_some(m_buffer.prepare(ReadSize), UseTuple);
    m_buffer.commit(size);
    if (code == asio::error::operation_aborted) {
        // The wait was ended; what came meanwhile is still taken.
        boost::system::error_code peekCode;
        const std::size_t waiting = m_stream.socket().available(peekCode);
        if (peekCode || waiting == 0)
            co_return false;
        std::tie(code, size) = co_await m_stream.async_read_some(
                m_buffer.prepare(std::min(waiting, ReadSize)), UseTuple);
        m_buffer.commit(size);
    }
    co_return !code;
}

asio::awaitable<bool> CallerSession::serveOne()
{
    const auto config = m_context.dispatcher.config();
    const routing::CallerLimits limits = config ? config->limits() : routing::CallerLimits();
    m_isIdle = m_buffer.size() == 0;
    m_stream.expires_after(limits.idleTimeout);
    if (!co_await awaitFirstByte())
        co_return false;
    m_isIdle = false;

    http::request_parser<http::string_body> parser;
    parser.header_limit(static_cast<std::uint32_t>(limits.maxHeader.count()));
    parser.body_limit(limits.maxBody.count());
    beast::error_code code;
    {
        const ReadLimit limit(m_stream, limits.headerTimeout);
        auto [headCode, headSize]
                = co_await http::async_read_header(m_stream, m_buffer, parser, UseTuple);
        code = limit.result(headCode);
    }
    std::optional<LocalAnswer> refusal;
    if (!code)
        refusal = ambiguity(parser.get());
    if (!code && !refusal && !parser.is_done()) {
        if (beast::iequals(parser.get()[http::field::expect], "100-continue")) {
            constexpr std::string_view Continue = "HTTP/1.1 100 Continue\r\n\r\n";
            co_await asio::async_write(m_stream, asio::buffer(Continue), UseTuple);
        }
        const ReadLimit limit(m_stream, limits.idleTimeout);
        auto [bodyCode, bodySize] = co_await http::async_read(m_stream, m_buffer, parser, UseTuple);
        code = limit.result(bodyCode);
    }
    if (code)
        refusal = answerTo(code, limits);
    if (refusal) {
        observability::logEvent(observability::Severity::Warning, "request_unreadable",
                {{"status", refusal->status}, {"reason", refusal->error.message}});
        co_await sendLocalAnswer(m_stream, std::move(*refusal), false);
        co_return false;
    }
    if (code)
        co_return false;
    const RequestRun::Request request = parser.release();
    RequestRun run(m_context, m_stream, request, request.keep_alive());
    co_return co_await run.run();
}

} // namespace oriolerill::relay::internal
