#pragma once

#include "coldstart.h"
#include "target.h"
#include "weightsloader.h"

#include "transport/httpserver.h"

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>

#include <cstdint>
#include <list>
#include <string>
#include <unordered_map>

namespace oriolerill::standins {

struct EngineOptions
{
    CapacityOptions capacity;
    domain::Duration tokenTime = std::chrono::milliseconds(5);
    domain::Duration prefillTime = std::chrono::milliseconds(10);
    /// Minimum time of a load, independent of the speed of the source.
    domain::Duration loadTime = std::chrono::milliseconds(100);
    /// Maximum number of prompt prefixes in the cache.
    std::size_t cacheEntries = 64;
    bool checksFence = true;
    /// Empty for an engine that accepts orders without a token.
    std::string adminToken;
    /// Manifest digest that is loaded at the start; may be empty.
    std::string manifest;
    std::string sourceHost;
};

/// A model engine with token streams, load orders and a cold start.
class Engine
{
public:
    Engine(boost::asio::any_io_executor executor, EngineOptions options);

    boost::asio::awaitable<void> handle(transport::HttpServerExchange &exchange);

private:
    struct Generation
    {
        std::string prompt;
        std::uint64_t tokens = 0;
        std::uint64_t resumeOffset = 0;
    };

    boost::asio::awaitable<void> generate(transport::HttpServerExchange &exchange);
    boost::asio::awaitable<void> stream(
            transport::HttpServerExchange &exchange, const Generation &generation);
    boost::asio::awaitable<void> runLoad(
            std::uint64_t order, std::string manifest, domain::SocketAddress source);
    transport::HttpResponse orderLoad(const transport::HttpRequest &request);
    transport::HttpResponse state() const;
    transport::HttpResponse control(const Target &target);
    bool isAdmin(const transport::HttpRequest &request) const;
    /// Records the prompt in the prefix cache; true on a cache hit.
    bool recordPrefix(const std::string &prompt);
    domain::Duration tokenTime() const;
    std::string counters() const;

    boost::asio::any_io_executor m_executor;
    EngineOptions m_options;
    transport::HttpClient m_client;
    WeightsLoader m_loader;
    ColdStart m_capacity;
    std::string m_state;
    std::string m_manifest;
    /// Digest that the tokens contain; "badbadba" after a load of corrupted weights.
    std::string m_tokenDigest;
    std::uint64_t m_fence = 0;
    /// Number of the latest load order; the result of an earlier one is discarded.
    std::uint64_t m_order = 0;
    std::list<std::string> m_cache;
    std::unordered_map<std::string, std::list<std::string>::iterator> m_cacheIndex;
    std::unordered_map<std::string, std::uint64_t> m_counters;
};

} // namespace oriolerill::standins
