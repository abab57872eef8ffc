#pragma once

#include "domain/socketaddress.h"
#include "transport/httpclient.h"

#include <boost/asio/awaitable.hpp>

#include <cstdint>
#include <string>

namespace oriolerill::standins {

/// Fetches a manifest and its chunks from a source, as a model engine does after a load order.
class WeightsLoader
{
public:
    enum class Result {
        Loaded,
        /// The received bytes do not match the manifest.
        Bad,
        /// The source is unreachable or lacks the manifest or a chunk.
        Failed,
    };

    explicit WeightsLoader(transport::HttpClient &client)
        : m_client(client)
    {}

    boost::asio::awaitable<Result> load(std::string manifestDigest, domain::SocketAddress source);
    std::uint64_t bytesLoaded() const { return m_bytesLoaded; }

private:
    boost::asio::awaitable<domain::Expected<std::string>> fetch(
            domain::SocketAddress source, std::string target);

    transport::HttpClient &m_client;
    std::uint64_t m_bytesLoaded = 0;
};

} // namespace oriolerill::standins
