#include "relay/internal/callersession.h"

#include "observability/log.h"
#include "platform/callercodec.h"
#include "relay/internal/heldrequest.h"
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
using observability::logEvent;
using observability::Severity;

namespace {

constexpr auto UseTuple = asio::as_tuple(asio::use_awaitable);
constexpr std::size_t ReadSize = 8U << 10U;
/// The rest of a refused request is read for at most this long: the largest body that entries
/// usually allow, 4 MB, at 20 Mbit/s.
constexpr auto DiscardTimeout = std::chrono::milliseconds(2000);

LocalAnswer invalid(unsigned status, std::string message, std::string remedy)
{
    return {status, {ErrorKind::InvalidInput, std::move(message), std::move(remedy)}, std::nullopt};
}

/// The answer to a request that could not be read; empty when the caller has disconnected.
std::optional<LocalAnswer> readErrorAnswer(
        beast::error_code code, const routing::CallerLimits &limits)
{
    if (code == http::error::header_limit || code == http::error::buffer_overflow) {
        return invalid(431, "the request head is too large",
                "send at most " + std::to_string(limits.maxHeader.count()) + " bytes of head");
    }
    if (code == http::error::body_limit) {
        return invalid(413, "the request body is too large",
                "send at most " + std::to_string(limits.maxBody.count()) + " bytes of body");
    }
    if (code == asio::error::no_buffer_space) {
        return LocalAnswer{503,
                {ErrorKind::Overloaded, "not run: the bodies of other requests leave no room",
                        "come back after Retry-After"},
                DefaultRetryAfter};
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

/// The answer to a request that the parser accepts but that allows request smuggling: another
/// parser may split the same bytes into different requests. Empty for an unambiguous head.
std::optional<LocalAnswer> ambiguousRequestAnswer(const http::request_header<> &head)
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

/// Cancels a read at its deadline. The timeout of the stream would close the connection, but the
/// caller still gets an answer which states that its request was not run.
class ReadTimeout
{
public:
    ReadTimeout(beast::tcp_stream &stream, domain::Duration time)
        : m_timer(stream.get_executor(), time)
        , m_state(std::make_shared<State>())
    {
        stream.expires_never();
        m_timer.async_wait([&stream, state = m_state](beast::error_code code) {
            // The read may have completed while this handler was queued.
            if (code || state->isEnded)
                return;
            state->isTimedOut = true;
            stream.cancel();
        });
    }
    ~ReadTimeout() { m_state->isEnded = true; }
    ReadTimeout(const ReadTimeout &) = delete;
    ReadTimeout &operator=(const ReadTimeout &) = delete;

    /// The code of the read; a timeout if the deadline has cancelled it.
    beast::error_code result(beast::error_code code) const
    {
        return code == asio::error::operation_aborted && m_state->isTimedOut
                ? make_error_code(beast::error::timeout)
                : code;
    }

private:
    struct State
    {
        bool isTimedOut = false;
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

void CallerSession::cancelWait()
{
    // A read that has already received bytes completes with them, although its handler has not run.
    m_stream.cancel();
}

asio::awaitable<void> CallerSession::run()
{
    const auto self = shared_from_this();
    try {
        // The first request of a connection that was accepted before the intake closed is served.
        // After that no further one is read, although an answer may have announced keep-alive: the
        // request could not finish before the exit, whereas the close lets the caller repeat it.
        bool isOpen = co_await serveOne();
        while (isOpen && !m_context.isIntakeClosed)
            isOpen = co_await serveOne();
    } catch (const std::exception &error) {
        logEvent(Severity::Error, "session_failed",
                {{"error", error.what()},
                        {"remedy", "report this line; the caller may repeat the request"}});
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
        // The wait was cancelled; bytes that have arrived in the meantime are still read.
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

routing::CallerLimits CallerSession::callerLimits() const
{
    const auto config = m_context.dispatcher.config();
    routing::CallerLimits limits = config ? config->limits() : routing::CallerLimits();
    // A larger body would never fit.
    limits.maxBody = std::min(limits.maxBody, m_context.requestBodies->limit());
    return limits;
}

asio::awaitable<bool> CallerSession::serveOne()
{
    const routing::CallerLimits limits = callerLimits();
    m_isIdle = m_buffer.size() == 0;
    m_stream.expires_after(limits.idleTimeout);
    if (!co_await awaitFirstByte())
        co_return false;
    m_isIdle = false;

    const auto request = std::make_shared<HeldRequest>(m_context.requestBodies);
    transport::RequestParser parser;
    parser.header_limit(static_cast<std::uint32_t>(limits.maxHeader.count()));
    parser.body_limit(limits.maxBody.count());
    beast::error_code code;
    {
        const ReadTimeout limit(m_stream, limits.headerTimeout);
        auto [headCode, headSize]
                = co_await http::async_read_header(m_stream, m_buffer, parser, UseTuple);
        code = limit.result(headCode);
    }
    std::optional<LocalAnswer> refusal;
    if (!code)
        refusal = ambiguousRequestAnswer(parser.get());
    if (!code && !refusal && !parser.is_done()) {
        const ReadTimeout limit(m_stream, limits.idleTimeout);
        code = limit.result(
                co_await transport::readRequestBody(m_stream, m_buffer, parser, request->share));
    }
    if (code)
        refusal = readErrorAnswer(code, limits);
    if (refusal) {
        // Nothing is held while the rest of the request is discarded.
        std::string().swap(parser.get().body());
        request->share.tryResize(domain::Bytes(0));
        co_await refuse(parser, std::move(*refusal));
        co_return false;
    }
    if (code)
        co_return false;
    request->message = parser.release();
    const auto run = std::make_shared<RequestRun>(m_context, m_stream, request);
    co_return co_await run->run();
}

asio::awaitable<void> CallerSession::refuse(
        const transport::RequestParser &parser, LocalAnswer answer)
{
    const auto request = platform::readCallerRequest(parser.get(), domain::TimePoint::clock::now());
    logEvent(Severity::Warning, "request_unreadable",
            {{"request", request ? request->id.value() : std::string()}, {"status", answer.status},
                    {"reason", answer.error.message},
                    {"length", std::string(parser.get()[http::field::content_length])},
                    {"bodies", m_context.requestBodies->held().count()}});
    if (answer.error.kind == ErrorKind::Overloaded)
        m_context.metrics.increment("oriolerill_relay_refusals_total", {{"reason", "bodies"}});
    if (!co_await sendLocalAnswer(m_stream, std::move(answer), false))
        co_return;
    // Closing a socket with unread input resets the connection, and the caller could lose the
    // answer. So the rest of the request is read and discarded first.
    beast::error_code code;
    m_stream.socket().shutdown(tcp::socket::shutdown_send, code);
    m_buffer.clear();
    m_stream.expires_after(DiscardTimeout);
    while (!code) {
        auto [readCode, size]
                = co_await m_stream.async_read_some(m_buffer.prepare(ReadSize), UseTuple);
        code = readCode;
    }
}

} // namespace oriolerill::relay::internal
