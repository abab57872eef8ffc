#include "agent/internal/weightsserver.h"

#include <optional>
#include <string_view>
#include <utility>

namespace oriolerill::agent {

namespace asio = boost::asio;
using distribution::IChunkStore;
using distribution::Manifest;
using domain::Digest;
using domain::Error;
using domain::ErrorKind;

namespace {

constexpr std::string_view ChunkPath = "/v1/chunks/";
constexpr std::string_view ManifestPath = "/v1/manifests/";
constexpr std::size_t PieceSize = 128U << 10U;

std::optional<Digest> digestAfter(std::string_view target, std::string_view path)
{
    if (!target.starts_with(path))
        return std::nullopt;
    return Digest::fromHex(target.substr(path.size()));
}

asio::awaitable<void> refuse(transport::HttpServerExchange &exchange, Error error)
{
    transport::HttpResponse response = transport::errorResponse(error);
    if (error.kind == ErrorKind::Overloaded)
        response.fields.add("Retry-After", "1");
    co_await exchange.respond(std::move(response));
}

} // namespace

WeightsServer::WeightsServer(
        IChunkStore &store, std::size_t maxUploads, std::set<std::string> localHosts)
    : m_store(store)
    , m_maxUploads(maxUploads)
    , m_localHosts(std::move(localHosts))
{}

asio::awaitable<void> WeightsServer::handle(transport::HttpServerExchange &exchange)
{
    const std::string target = exchange.request().target;
    const std::optional<Digest> chunk = digestAfter(target, ChunkPath);
    const std::optional<Digest> manifest = digestAfter(target, ManifestPath);
    if (exchange.request().method != "GET" || (!chunk && !manifest)) {
        Error error{ErrorKind::InvalidInput, "not a request for a chunk or a manifest",
                "ask for GET /v1/chunks/<digest> or GET /v1/manifests/<digest>"};
        co_await refuse(exchange, std::move(error));
        co_return;
    }
    if (chunk)
        co_await sendChunk(exchange, *chunk);
    else
        co_await sendManifest(exchange, *manifest);
}

asio::awaitable<void> WeightsServer::sendManifest(
        transport::HttpServerExchange &exchange, const Digest &digest)
{
    const std::shared_ptr<const Manifest> manifest = m_store.manifest(digest);
    if (!manifest) {
        Error error{ErrorKind::NotFound, "this agent does not have the manifest",
                "ask another agent or the origin"};
        co_await refuse(exchange, std::move(error));
        co_return;
    }
    transport::HttpResponse response;
    response.fields.add("Content-Type", "application/json");
    response.body = manifest->text();
    co_await exchange.respond(std::move(response));
}

asio::awaitable<void> WeightsServer::sendChunk(
        transport::HttpServerExchange &exchange, const Digest &digest)
{
    std::shared_ptr<const std::string> data = m_store.find(digest);
    if (!data) {
        Error error{ErrorKind::NotFound, "this agent does not have the chunk",
                "ask another agent or the origin"};
        co_await refuse(exchange, std::move(error));
        co_return;
    }
    const bool isLocal = m_localHosts.contains(exchange.remoteHost());
    if (!isLocal && ++m_uploads > m_maxUploads) {
        --m_uploads;
        Error error{ErrorKind::Overloaded, "this agent sends as many chunks as it may",
                "ask another agent, or again later"};
        co_await refuse(exchange, std::move(error));
        co_return;
    }
    co_await stream(exchange, std::move(data));
    if (!isLocal)
        --m_uploads;
}

asio::awaitable<void> WeightsServer::stream(
        transport::HttpServerExchange &exchange, std::shared_ptr<const std::string> data)
{
    // Written in pieces, since the server's write deadline applies to each write and receivers pace
    // their reads.
    transport::HttpResponseHead head;
    head.fields.add("Content-Type", "application/octet-stream");
    auto sent = co_await exchange.start(std::move(head));
    for (std::size_t at = 0; at < data->size() && sent; at += PieceSize) {
        std::string piece = data->substr(at, PieceSize);
        sent = co_await exchange.write(std::move(piece));
    }
    transport::HttpFields trailers;
    if (sent)
        co_await exchange.finish(std::move(trailers));
}

} // namespace oriolerill::agent
