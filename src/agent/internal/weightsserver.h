#pragma once

#include "distribution/ichunkstore.h"
#include "domain/digest.h"
#include "transport/httpserver.h"

#include <boost/asio/awaitable.hpp>

#include <atomic>
#include <cstddef>
#include <memory>
#include <set>
#include <string>

namespace oriolerill::agent {

/// Serves verified chunks and manifests to other agents and to the engine of the VM.
class WeightsServer
{
public:
    /// Clients on the local hosts (the engine) are not counted against maxUploads.
    WeightsServer(distribution::IChunkStore &store, std::size_t maxUploads,
            std::set<std::string> localHosts);

    /// Answers GET /v1/chunks/<digest> and GET /v1/manifests/<digest>.
    boost::asio::awaitable<void> handle(transport::HttpServerExchange &exchange);

private:
    boost::asio::awaitable<void> sendManifest(
            transport::HttpServerExchange &exchange, const domain::Digest &digest);
    boost::asio::awaitable<void> sendChunk(
            transport::HttpServerExchange &exchange, const domain::Digest &digest);
    boost::asio::awaitable<void> stream(
            transport::HttpServerExchange &exchange, std::shared_ptr<const std::string> data);

    distribution::IChunkStore &m_store;
    std::size_t m_maxUploads;
    std::set<std::string> m_localHosts;
    std::atomic<std::size_t> m_uploads = 0;
};

} // namespace oriolerill::agent
