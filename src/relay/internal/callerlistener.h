#pragma once

#include "domain/expected.h"
#include "domain/socketaddress.h"
#include "relay/internal/callersession.h"
#include "relay/internal/relaycontext.h"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>

#include <memory>
#include <set>

namespace oriolerill::relay::internal {

/// Accepts callers' connections and owns their sessions.
class CallerListener
{
public:
    CallerListener(
            boost::asio::io_context &context, RelayContext &relay, std::size_t maxConnections);

    domain::Expected<domain::Done> open(const domain::SocketAddress &address);
    /// The bound address, with the port that the kernel chose if port zero was requested.
    domain::SocketAddress address() const;
    boost::asio::awaitable<void> acceptAll();
    /// Stops accepting. Connections in the listener's queue and requests whose first bytes have
    /// arrived are still served; idle connections are closed and no further request is read.
    void closeIntake();
    /// Number of open connections, idle ones included.
    std::size_t sessionCount() const { return m_sessions.size(); }

private:
    void startSession(boost::asio::ip::tcp::socket socket);
    void acceptQueued();

    boost::asio::io_context &m_context;
    RelayContext &m_relay;
    std::size_t m_maxConnections;
    boost::asio::ip::tcp::acceptor m_acceptor;
    std::set<std::shared_ptr<CallerSession>> m_sessions;
};

} // namespace oriolerill::relay::internal
