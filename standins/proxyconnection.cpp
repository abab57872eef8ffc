#include "proxyconnection.h"

#include "program.h"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/experimental/awaitable_operators.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>

#include <algorithm>
#include <limits>
#include <utility>

namespace oriolerill::standins {

namespace asio = boost::asio;
using asio::ip::tcp;

namespace {

constexpr auto UseTuple = asio::as_tuple(asio::use_awaitable);
// A packet takes about half a millisecond on the slowest link of its path, which bounds the delay
// of small messages behind bulk data.
constexpr std::uint64_t PacketsPerSecond = 2000;
constexpr std::size_t MinPacketSize = 2U << 10U;
constexpr std::size_t MaxPacketSize = 16U << 10U;
// Packets of one connection in the queues of the links; bounds the queueing delay of a full link.
constexpr std::size_t WindowPackets = 4;
constexpr std::size_t MaxUnwritten = 64U << 10U;

void reset(tcp::socket &socket)
{
    boost::system::error_code code;
    socket.set_option(asio::socket_base::linger(true, 0), code);
    socket.close(code);
}

} // namespace

ProxyConnection::ProxyConnection(EventQueue &events, Topology &topology, IFaultRules &rules,
        tcp::socket client, std::string clientHost, std::string serverHost)
    : m_events(events)
    , m_topology(topology)
    , m_rules(rules)
    , m_client{std::move(client), std::move(clientHost)}
    , m_server{tcp::socket(m_client.socket.get_executor()), std::move(serverHost)}
    , m_up(m_client, m_server)
    , m_down(m_server, m_client)
{
    preparePath(m_up);
    preparePath(m_down);
}

void ProxyConnection::preparePath(Direction &direction)
{
    direction.path = m_topology.path(direction.from.host, direction.to.host);
    std::uint64_t slowest = std::numeric_limits<std::uint64_t>::max();
    for (const ShapedLink *link : direction.path.links) {
        if (link->rate() > 0)
            slowest = std::min(slowest, link->rate());
    }
    direction.packetSize
            = std::clamp<std::uint64_t>(slowest / PacketsPerSecond, MinPacketSize, MaxPacketSize);
}

asio::awaitable<void> ProxyConnection::run(tcp::endpoint target)
{
    using namespace asio::experimental::awaitable_operators;
    const auto self = shared_from_this();
    // The handshake takes one round trip.
    co_await sleepFor(m_up.path.delay + m_down.path.delay);
    while (isFrozen() && !m_isCut)
        co_await sleepFor(std::chrono::milliseconds(20));
    if (m_isCut)
        co_return;
    boost::system::error_code code;
    m_server.socket.open(tcp::v4(), code);
    // Bound to the address of the VM that opened the connection, so that the target sees it as
    // peer.
    m_server.socket.bind(tcp::endpoint(asio::ip::make_address(m_client.host, code), 0), code);
    auto [connectCode] = co_await m_server.socket.async_connect(target, UseTuple);
    if (connectCode || m_isCut) {
        cut();
        co_return;
    }
    m_client.socket.set_option(tcp::no_delay(true), code);
    m_server.socket.set_option(tcp::no_delay(true), code);
    co_await (pump(m_up) && pump(m_down));
    while (!m_isCut && m_up.inLinks + m_up.unwritten + m_down.inLinks + m_down.unwritten > 0)
        co_await sleepFor(std::chrono::milliseconds(5));
}

asio::awaitable<void> ProxyConnection::pump(Direction &direction)
{
    std::string buffer(direction.packetSize, '\0');
    for (;;) {
        co_await waitForRoom(direction);
        auto [code, size]
                = co_await direction.from.socket.async_read_some(asio::buffer(buffer), UseTuple);
        if (m_isCut)
            co_return;
        if (code && m_isSilenced) {
            direction.from.socket.close(code);
            co_return;
        }
        // A reset is passed on at once; an orderly end is passed on after the data.
        if (code && code != asio::error::eof) {
            cut();
            co_return;
        }
        enterLink(direction, 0, buffer.substr(0, size));
        if (code)
            co_return;
    }
}

bool ProxyConnection::hasRoom(const Direction &direction) const
{
    return direction.inLinks < direction.packetSize * WindowPackets
            && direction.unwritten < MaxUnwritten;
}

asio::awaitable<void> ProxyConnection::waitForRoom(Direction &direction)
{
    while (!hasRoom(direction) && !m_isCut && !m_isSilenced) {
        direction.roomTimer.expires_after(std::chrono::milliseconds(100));
        co_await direction.roomTimer.async_wait(UseTuple);
    }
}

void ProxyConnection::enterLink(Direction &direction, std::size_t hop, std::string packet)
{
    const std::size_t size = packet.size();
    if (hop == 0)
        direction.inLinks += size;
    if (hop < direction.path.links.size()) {
        ShapedLink *link = direction.path.links[hop];
        link->transmit(size,
                [self = shared_from_this(), &direction, hop, packet = std::move(packet)]() mutable {
                    self->enterLink(direction, hop + 1, std::move(packet));
                });
        return;
    }
    direction.inLinks -= size;
    direction.unwritten += size;
    direction.roomTimer.cancel();
    if (direction.path.delay == direction.path.delay.zero()) {
        deliver(direction, std::move(packet));
        return;
    }
    m_events.at(domain::TimePoint::clock::now() + direction.path.delay,
            [self = shared_from_this(), &direction, packet = std::move(packet)]() mutable {
                self->deliver(direction, std::move(packet));
            });
}

void ProxyConnection::deliver(Direction &direction, std::string packet)
{
    if (m_isSilenced || m_isCut) {
        direction.unwritten -= packet.size();
        return;
    }
    if (isFrozen() || !direction.held.empty()) {
        direction.held.push_back(std::move(packet));
        return;
    }
    if (m_rules.takeCorruption(direction.from.host, direction.to.host, packet.size()))
        packet[packet.size() / 2] ^= 1;
    direction.writes.push_back(std::move(packet));
    write(direction);
}

void ProxyConnection::write(Direction &direction)
{
    if (direction.isWriting || direction.writes.empty() || m_isCut)
        return;
    // An empty packet marks the end of the direction.
    if (direction.writes.front().empty()) {
        direction.writes.pop_front();
        boost::system::error_code code;
        direction.to.socket.shutdown(tcp::socket::shutdown_send, code);
        return;
    }
    direction.isWriting = true;
    asio::async_write(direction.to.socket, asio::buffer(direction.writes.front()),
            [self = shared_from_this(), &direction](boost::system::error_code code, std::size_t) {
                direction.isWriting = false;
                direction.unwritten -= direction.writes.front().size();
                direction.writes.pop_front();
                direction.roomTimer.cancel();
                if (code && !self->m_isSilenced)
                    self->cut();
                self->write(direction);
            });
}

void ProxyConnection::cut()
{
    m_isCut = true;
    reset(m_client.socket);
    reset(m_server.socket);
    m_up.roomTimer.cancel();
    m_down.roomTimer.cancel();
}

void ProxyConnection::unfreeze()
{
    for (Direction *direction : {&m_up, &m_down}) {
        std::deque<std::string> held;
        held.swap(direction->held);
        for (std::string &packet : held)
            deliver(*direction, std::move(packet));
    }
}

} // namespace oriolerill::standins
