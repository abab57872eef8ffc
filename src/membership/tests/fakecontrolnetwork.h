#pragma once

#include "transport/icontrolclient.h"
#include "transport/icontrolserver.h"

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/post.hpp>

#include <map>
#include <mutex>
#include <set>

namespace oriolerill::membership {

/// Delivers control messages inside one test process; addresses can be disconnected.
class FakeControlNetwork : public transport::IControlClient
{
public:
    explicit FakeControlNetwork(boost::asio::any_io_executor executor)
        : m_executor(std::move(executor))
    {}

    void listen(const domain::SocketAddress &address, transport::IControlServer::Handler handler)
    {
        const std::scoped_lock lock(m_mutex);
        m_handlers[address] = std::move(handler);
    }
    void disconnect(const domain::SocketAddress &address)
    {
        const std::scoped_lock lock(m_mutex);
        m_disconnected.insert(address);
    }
    void reconnect(const domain::SocketAddress &address)
    {
        const std::scoped_lock lock(m_mutex);
        m_disconnected.erase(address);
    }

    void request(const domain::SocketAddress &peer, const protocol::ControlRequest &message,
            domain::TimePoint /*deadline*/, Callback callback) override
    {
        boost::asio::post(m_executor, [this, peer, message, callback = std::move(callback)] {
            deliver(peer, message, callback);
        });
    }

private:
    void deliver(const domain::SocketAddress &peer, const protocol::ControlRequest &message,
            const Callback &callback)
    {
        transport::IControlServer::Handler handler;
        {
            const std::scoped_lock lock(m_mutex);
            const auto found = m_handlers.find(peer);
            if (found != m_handlers.end() && !m_disconnected.contains(peer))
                handler = found->second;
        }
        if (!handler) {
            callback(domain::Error{domain::ErrorKind::Timeout, "no reply", "check the peer"});
            return;
        }
        handler(message, [&](const protocol::ControlReply &reply) { callback(reply); });
    }

    boost::asio::any_io_executor m_executor;
    std::mutex m_mutex;
    std::map<domain::SocketAddress, transport::IControlServer::Handler> m_handlers;
    std::set<domain::SocketAddress> m_disconnected;
};

} // namespace oriolerill::membership
