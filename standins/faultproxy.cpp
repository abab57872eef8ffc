#include "faultproxy.h"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <algorithm>
#include <stdexcept>
#include <utility>

namespace oriolerill::standins {

namespace asio = boost::asio;
using asio::ip::tcp;
using transport::HttpResponse;

namespace {

constexpr auto UseTuple = asio::as_tuple(asio::use_awaitable);
constexpr std::string_view ControlPath = "/standin/";
// Large enough that the data of a chunk is corrupted rather than the header of a message.
constexpr std::int64_t MinCorruptedBytes = 1024;

tcp::endpoint toEndpoint(const domain::SocketAddress &address)
{
    return {asio::ip::make_address_v4(address.host), address.port};
}

} // namespace

FaultProxy::FaultProxy(asio::io_context &context)
    : m_context(context)
    , m_events(context.get_executor())
    , m_topology(m_events)
{}

void FaultProxy::start(const std::string &configuration)
{
    m_topology.load(configuration);
    for (const ProxyListener &listener : m_topology.listeners()) {
        try {
            auto acceptor
                    = std::make_shared<tcp::acceptor>(m_context, toEndpoint(listener.address));
            asio::co_spawn(m_context, accept(listener, std::move(acceptor)), asio::detached);
        } catch (const std::exception &error) {
            throw std::runtime_error(
                    "cannot listen on " + listener.address.toString() + ": " + error.what());
        }
    }
}

asio::awaitable<void> FaultProxy::accept(
        ProxyListener listener, std::shared_ptr<tcp::acceptor> acceptor)
{
    for (;;) {
        auto [code, socket] = co_await acceptor->async_accept(UseTuple);
        if (code == asio::error::operation_aborted)
            co_return;
        if (!code)
            forward(std::move(socket), listener);
    }
}

void FaultProxy::forward(tcp::socket client, const ProxyListener &listener)
{
    boost::system::error_code code;
    const std::string from = client.remote_endpoint(code).address().to_string();
    const std::string &to = listener.target.host;
    ++m_opened;
    constexpr std::uint64_t CleanupInterval = 256;
    if (m_opened % CleanupInterval == 0)
        connections();
    if (code || matchesAny(m_cut, from, to)) {
        ++m_refused;
        client.set_option(asio::socket_base::linger(true, 0), code);
        return;
    }
    const auto connection = std::make_shared<ProxyConnection>(
            m_events, m_topology, *this, std::move(client), from, to);
    m_connections.push_back(connection);
    asio::co_spawn(m_context, connection->run(toEndpoint(listener.target)), asio::detached);
}

std::vector<std::shared_ptr<ProxyConnection>> FaultProxy::connections()
{
    // Removes the connections that have ended.
    std::vector<std::shared_ptr<ProxyConnection>> open;
    for (const auto &weak : m_connections) {
        if (auto connection = weak.lock())
            open.push_back(std::move(connection));
    }
    m_connections.assign(open.begin(), open.end());
    return open;
}

asio::awaitable<void> FaultProxy::handle(transport::HttpServerExchange &exchange)
{
    const Target target(exchange.request().target);
    HttpResponse response = control(target);
    co_await exchange.respond(std::move(response));
}

HttpResponse FaultProxy::control(const Target &target)
{
    const std::string name
            = target.startsWith(ControlPath) ? target.after(ControlPath) : std::string();
    const Pair pair{target.text("a", "*"), target.text("b", "*")};
    if (name == "counters")
        return textResponse(counters());
    if (name == "cut") {
        cut(pair);
    } else if (name == "freeze") {
        m_frozen.push_back(pair);
    } else if (name == "silence") {
        silence(pair);
    } else if (name == "corrupt") {
        m_corruptions.push_back({pair, target.number("count", 1),
                static_cast<std::size_t>(target.number("min-bytes", MinCorruptedBytes))});
    } else if (name == "heal") {
        heal();
    } else if (name == "reset") {
        for (ShapedLink *link : m_topology.links())
            link->resetCounter();
    } else if (name == "rate") {
        ShapedLink *link = m_topology.link(target.text("link"));
        if (link == nullptr)
            return textResponse("error=unknown link; see /standin/counters\n", 404);
        link->setRate(static_cast<std::uint64_t>(target.number("bytes")));
    } else {
        return textResponse("error=unknown control\n", 404);
    }
    return textResponse("ok=1\n");
}

void FaultProxy::cut(const Pair &pair)
{
    m_cut.push_back(pair);
    for (const auto &connection : connections()) {
        if (matches(pair, connection->clientHost(), connection->serverHost()))
            connection->cut();
    }
}

void FaultProxy::silence(const Pair &pair)
{
    for (const auto &connection : connections()) {
        if (matches(pair, connection->clientHost(), connection->serverHost())) {
            connection->silence();
            ++m_silenced;
        }
    }
}

void FaultProxy::heal()
{
    m_cut.clear();
    m_frozen.clear();
    m_corruptions.clear();
    for (const auto &connection : connections())
        connection->unfreeze();
}

bool FaultProxy::matches(const Pair &pair, const std::string &a, const std::string &b) const
{
    return (m_topology.matches(pair.a, a) && m_topology.matches(pair.b, b))
            || (m_topology.matches(pair.a, b) && m_topology.matches(pair.b, a));
}

bool FaultProxy::matchesAny(
        const std::vector<Pair> &pairs, const std::string &a, const std::string &b) const
{
    return std::any_of(
            pairs.begin(), pairs.end(), [&](const Pair &pair) { return matches(pair, a, b); });
}

bool FaultProxy::isFrozen(const std::string &a, const std::string &b) const
{
    return matchesAny(m_frozen, a, b);
}

bool FaultProxy::takeCorruption(const std::string &from, const std::string &to, std::size_t bytes)
{
    for (Corruption &corruption : m_corruptions) {
        if (corruption.count > 0 && bytes >= corruption.minBytes
                && m_topology.matches(corruption.pair.a, from)
                && m_topology.matches(corruption.pair.b, to)) {
            --corruption.count;
            ++m_corrupted;
            return true;
        }
    }
    return false;
}

std::string FaultProxy::counters()
{
    std::string text = "opened=" + std::to_string(m_opened) + "\nrefused="
            + std::to_string(m_refused) + "\nopen=" + std::to_string(connections().size())
            + "\nsilenced=" + std::to_string(m_silenced)
            + "\ncorrupted=" + std::to_string(m_corrupted) + '\n';
    for (const ShapedLink *link : m_topology.links())
        text += "link=" + link->name() + " bytes=" + std::to_string(link->bytesSent()) + '\n';
    return text;
}

} // namespace oriolerill::standins
