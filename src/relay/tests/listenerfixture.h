#pragma once

#include "relay/internal/callerlistener.h"
#include "relay/tests/relayfixture.h"

namespace oriolerill::relay {

/// Sessions of an entry behind its listener.
class ListenerFixture : public RelayFixture
{
protected:
    void SetUp() override { ASSERT_TRUE(m_listener.open({"127.0.0.1", 0}).hasValue()); }

    boost::asio::ip::tcp::socket connectToListener()
    {
        boost::asio::ip::tcp::socket socket(m_callerContext);
        const domain::SocketAddress address = m_listener.address();
        socket.connect({boost::asio::ip::make_address(address.host), address.port});
        return socket;
    }

    void startListening()
    {
        start();
        boost::asio::co_spawn(m_context, m_listener.acceptAll(), boost::asio::detached);
    }

    internal::CallerListener m_listener{m_context, m_relay, 100};
};

} // namespace oriolerill::relay
