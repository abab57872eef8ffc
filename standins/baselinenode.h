#pragma once

#include "domain/socketaddress.h"
#include "transport/httpclient.h"
#include "transport/httpserver.h"

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>

#include <cstdint>
#include <memory>
#include <string>
#include <vector>

namespace oriolerill::standins {

/// The weights that a baseline distributes.
struct BaselineWeights
{
    std::string manifestDigest;
    std::uint64_t size = 0;
    std::uint64_t chunkSize = 1U << 18U;

    std::uint64_t chunkCount() const { return (size + chunkSize - 1) / chunkSize; }
};

/// An endpoint of a baseline, a distribution of weights without agents that benchmarks compare
/// with: fetches the chunks in order from one source and serves the chunks received.
class BaselineNode
{
public:
    BaselineNode(boost::asio::any_io_executor executor, BaselineWeights weights,
            domain::SocketAddress listen, domain::SocketAddress source);

    /// False if the address cannot be bound.
    bool listen();
    /// Fetches all chunks.
    boost::asio::awaitable<void> fetch();
    bool isComplete() const { return m_received == m_weights.chunkCount(); }

private:
    boost::asio::awaitable<void> fetchEvery(std::uint64_t first, std::uint64_t step);
    boost::asio::awaitable<void> handle(transport::HttpServerExchange &exchange);

    boost::asio::any_io_executor m_executor;
    BaselineWeights m_weights;
    domain::SocketAddress m_listen;
    domain::SocketAddress m_source;
    transport::HttpClient m_client;
    transport::HttpServer m_server;
    std::vector<std::shared_ptr<const std::string>> m_chunks;
    std::uint64_t m_received = 0;
};

} // namespace oriolerill::standins
