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

/// Takes callers' connections and keeps their sessions until they end.
class CallerListener
{
public:
    CallerListener(
            boost::asio::io_context &context, RelayContext &relay, std::size_t maxConnections);

    domain::Expected<domain::Done> open(const domain::SocketAddress &address);
    /// Address that is listened on; the port is the one that the system chose when zero was asked.
    domain::SocketAddress address() const;
    boost::asio::awaitable<void> acceptAll();
    /// Ends the intake: connections that wait to be accepted and requests whose first bytes are
    /// here are still served, idle connections are closed, nothing else is read.
    void closeIntake();
    /// Connections that carry a request or wait for one.
    std::size_t sessionCount() const { return m_sessions.size(); }

private:
    void begin(boost::asio::ip::tcp::socket socket);
    void acceptWaiting();

    boost::asio::io_context &m_context;
    RelayContext &m_relay;
    std::size_t m_maxConnections;
    boost::asio::ip::tcp::acceptor m_acceptor;
    std::set<std::shared_ptr<CallerSession>> m_sessions;
};

} // namespace oriolerill::relay::internal
