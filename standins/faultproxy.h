#pragma once

#include "proxyconnection.h"
#include "target.h"

#include "transport/httpserver.h"

#include <boost/asio/io_context.hpp>

#include <cstdint>
#include <memory>
#include <string>
#include <vector>

namespace oriolerill::standins {

/// Forwards TCP connections between VMs over shaped links and injects faults.
class FaultProxy : public IFaultRules
{
public:
    explicit FaultProxy(boost::asio::io_context &context);

    /// Loads the topology and listens. Throws std::runtime_error if the text is malformed or an
    /// address cannot be bound.
    void start(const std::string &configuration);
    boost::asio::awaitable<void> handle(transport::HttpServerExchange &exchange);

private:
    /// Two selectors of VMs. Their order counts only for corruption, which goes from a to b.
    struct Pair
    {
        std::string a;
        std::string b;
    };
    struct Corruption
    {
        Pair pair;
        std::int64_t count = 0;
        std::size_t minBytes = 0;
    };

    bool isFrozen(const std::string &a, const std::string &b) const override;
    bool takeCorruption(const std::string &from, const std::string &to, std::size_t bytes) override;

    boost::asio::awaitable<void> accept(
            ProxyListener listener, std::shared_ptr<boost::asio::ip::tcp::acceptor> acceptor);
    void forward(boost::asio::ip::tcp::socket client, const ProxyListener &listener);
    transport::HttpResponse control(const Target &target);
    void cut(const Pair &pair);
    void silence(const Pair &pair);
    void heal();
    bool matches(const Pair &pair, const std::string &a, const std::string &b) const;
    bool matchesAny(
            const std::vector<Pair> &pairs, const std::string &a, const std::string &b) const;
    std::vector<std::shared_ptr<ProxyConnection>> connections();
    std::string counters();

    boost::asio::io_context &m_context;
    EventQueue m_events;
    Topology m_topology;
    std::vector<std::weak_ptr<ProxyConnection>> m_connections;
    std::vector<Pair> m_cut;
    std::vector<Pair> m_frozen;
    std::vector<Corruption> m_corruptions;
    std::uint64_t m_opened = 0;
    std::uint64_t m_refused = 0;
    std::uint64_t m_silenced = 0;
    std::uint64_t m_corrupted = 0;
};

} // namespace oriolerill::standins
