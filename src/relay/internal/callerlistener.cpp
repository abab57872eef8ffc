#include "relay/internal/callerlistener.h"

#include "observability/log.h"
#include "relay/internal/socketbuffers.h"
#include "transport/unresponsivepeer.h"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>

namespace oriolerill::relay::internal {

namespace asio = boost::asio;
using asio::ip::tcp;
using domain::Done;
using domain::Error;
using domain::ErrorKind;
using observability::logEvent;
using observability::Severity;

namespace {

constexpr auto UseTuple = asio::as_tuple(asio::use_awaitable);
/// A caller that acknowledges no data for this long counts as disconnected.
constexpr auto CallerAckTimeout = std::chrono::milliseconds(10000);
constexpr auto AcceptRetryDelay = std::chrono::milliseconds(20);

} // namespace

CallerListener::CallerListener(
        asio::io_context &context, RelayContext &relay, std::size_t maxConnections)
    : m_context(context)
    , m_relay(relay)
    , m_maxConnections(maxConnections)
    , m_acceptor(context)
{}

domain::Expected<Done> CallerListener::open(const domain::SocketAddress &address)
{
    boost::system::error_code code;
    const auto host = asio::ip::make_address_v4(address.host, code);
    if (!code)
        m_acceptor.open(tcp::v4(), code);
    if (!code)
        m_acceptor.set_option(asio::socket_base::reuse_address(true), code);
    if (!code)
        boundSocketBuffers(m_acceptor);
    if (!code)
        m_acceptor.bind({host, address.port}, code);
    if (!code)
        m_acceptor.listen(asio::socket_base::max_listen_connections, code);
    if (code) {
        return Error{ErrorKind::Unavailable,
                "cannot listen on " + address.toString() + ": " + code.message(),
                "choose a free address of this machine in the settings"};
    }
    return Done{};
}

domain::SocketAddress CallerListener::address() const
{
    const auto local = m_acceptor.local_endpoint();
    return {local.address().to_string(), local.port()};
}

asio::awaitable<void> CallerListener::acceptAll()
{
    for (;;) {
        tcp::socket socket(m_context);
        auto [code] = co_await m_acceptor.async_accept(socket, UseTuple);
        if (code == asio::error::operation_aborted || !m_acceptor.is_open())
            co_return;
        if (code) {
            // For example out of descriptors; the delay avoids a busy loop.
            logEvent(Severity::Warning, "accept_failed",
                    {{"error", code.message()}, {"remedy", "raise the descriptor limit"}});
            asio::steady_timer timer(m_context, AcceptRetryDelay);
            co_await timer.async_wait(UseTuple);
            continue;
        }
        startSession(std::move(socket));
    }
}

void CallerListener::startSession(tcp::socket socket)
{
    if (m_sessions.size() >= m_maxConnections) {
        m_relay.metrics.increment("oriolerill_relay_connections_refused_total");
        return;
    }
    boost::system::error_code code;
    socket.set_option(tcp::no_delay(true), code);
    transport::detectUnresponsivePeer(socket, CallerAckTimeout);
    auto session = std::make_shared<CallerSession>(m_relay, std::move(socket));
    m_sessions.insert(session);
    asio::co_spawn(m_context, session->run(),
            [this, session](const std::exception_ptr &) { m_sessions.erase(session); });
}

void CallerListener::acceptQueued()
{
    boost::system::error_code code;
    m_acceptor.cancel(code);
    m_acceptor.non_blocking(true, code);
    for (;;) {
        tcp::socket socket(m_context);
        m_acceptor.accept(socket, code);
        if (code)
            return;
        startSession(std::move(socket));
    }
}

void CallerListener::closeIntake()
{
    // The kernel resets connections that are not accepted when the listener closes.
    acceptQueued();
    boost::system::error_code code;
    m_acceptor.close(code);
    m_relay.isIntakeClosed = true;
    std::size_t idle = 0;
    for (const auto &session : m_sessions) {
        // A caller that is sending its next request at this moment receives no byte of an answer,
        // and may repeat the request.
        if (session->isIdle()) {
            session->cancelWait();
            ++idle;
        }
    }
    logEvent(Severity::Info, "intake_closed",
            {{"connections", m_sessions.size()}, {"idle", idle},
                    {"requests", m_relay.requestsInFlight.size()}});
}

} // namespace oriolerill::relay::internal
