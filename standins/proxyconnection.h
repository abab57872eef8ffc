#pragma once

#include "topology.h"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>

#include <cstdint>
#include <deque>
#include <functional>
#include <memory>
#include <string>

namespace oriolerill::standins {

/// Active faults; a connection consults them for each packet.
class IFaultRules
{
public:
    virtual ~IFaultRules() = default;
    virtual bool isFrozen(const std::string &a, const std::string &b) const = 0;
    /// True when this packet must be corrupted; uses up one of the pending corruptions.
    virtual bool takeCorruption(const std::string &from, const std::string &to, std::size_t bytes)
            = 0;
};

/// A forwarded connection between the VM that opened it and the VM that accepted it.
class ProxyConnection : public std::enable_shared_from_this<ProxyConnection>
{
public:
    ProxyConnection(EventQueue &events, Topology &topology, IFaultRules &rules,
            boost::asio::ip::tcp::socket client, std::string clientHost, std::string serverHost);

    const std::string &clientHost() const { return m_client.host; }
    const std::string &serverHost() const { return m_server.host; }

    /// Connects to the target and forwards until both directions have ended.
    boost::asio::awaitable<void> run(boost::asio::ip::tcp::endpoint target);
    /// Resets both sides at once.
    void cut();
    /// Discards all further data and keeps both sides open.
    void silence() { m_isSilenced = true; }
    /// Sends the packets that were held while the VMs were frozen.
    void unfreeze();

private:
    struct Side
    {
        boost::asio::ip::tcp::socket socket;
        std::string host;
    };
    /// Data in transit from the socket of one side to the socket of the other.
    struct Direction
    {
        Direction(Side &fromSide, Side &toSide)
            : from(fromSide)
            , to(toSide)
            , roomTimer(fromSide.socket.get_executor())
        {}

        Side &from;
        Side &to;
        NetworkPath path;
        std::size_t packetSize = 0;
        std::size_t inLinks = 0;
        std::size_t unwritten = 0;
        bool isWriting = false;
        std::deque<std::string> held;
        std::deque<std::string> writes;
        boost::asio::steady_timer roomTimer;
    };

    boost::asio::awaitable<void> pump(Direction &direction);
    boost::asio::awaitable<void> waitForRoom(Direction &direction);
    bool hasRoom(const Direction &direction) const;
    void enterLink(Direction &direction, std::size_t hop, std::string packet);
    void deliver(Direction &direction, std::string packet);
    void write(Direction &direction);
    void preparePath(Direction &direction);
    bool isFrozen() const { return m_rules.isFrozen(m_client.host, m_server.host); }

    EventQueue &m_events;
    Topology &m_topology;
    IFaultRules &m_rules;
    Side m_client;
    Side m_server;
    Direction m_up;
    Direction m_down;
    bool m_isSilenced = false;
    bool m_isCut = false;
};

} // namespace oriolerill::standins
