#include "baselinenode.h"

#include "program.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

#include <charconv>
#include <string_view>
#include <utility>

namespace oriolerill::standins {

namespace asio = boost::asio;
using namespace std::chrono_literals;

namespace {

// Concurrent requests, so that the round trip between regions does not leave the link idle.
constexpr std::uint64_t ParallelFetches = 3;

} // namespace

BaselineNode::BaselineNode(asio::any_io_executor executor, BaselineWeights weights,
        domain::SocketAddress listen, domain::SocketAddress source)
    : m_executor(std::move(executor))
    , m_weights(std::move(weights))
    , m_listen(std::move(listen))
    , m_source(std::move(source))
    , m_client(m_executor, transport::HttpClientOptions{m_listen.host})
    , m_server(m_executor, transport::HttpServerOptions())
    , m_chunks(m_weights.chunkCount())
{}

bool BaselineNode::listen()
{
    const auto handler
            = [this](transport::HttpServerExchange &exchange) { return handle(exchange); };
    return m_server.start(m_listen, handler).hasValue();
}

asio::awaitable<void> BaselineNode::fetch()
{
    for (std::uint64_t first = 0; first < ParallelFetches; ++first)
        asio::co_spawn(m_executor, fetchEvery(first, ParallelFetches), asio::detached);
    while (!isComplete())
        co_await sleepFor(2ms);
}

asio::awaitable<void> BaselineNode::fetchEvery(std::uint64_t first, std::uint64_t step)
{
    for (std::uint64_t chunk = first; chunk < m_weights.chunkCount();) {
        transport::HttpRequest request;
        request.target = "/v1/weights/" + m_weights.manifestDigest;
        const std::uint64_t begin = chunk * m_weights.chunkSize;
        request.fields.add("Range",
                "bytes=" + std::to_string(begin) + '-'
                        + std::to_string(begin + m_weights.chunkSize - 1));
        const auto deadline = domain::TimePoint::clock::now() + 60s;
        auto response = co_await m_client.send(m_source, std::move(request), deadline);
        if (!response || response->status != 206) {
            co_await sleepFor(20ms);
            continue;
        }
        m_chunks[chunk] = std::make_shared<const std::string>(std::move(response->body));
        ++m_received;
        chunk += step;
    }
}

asio::awaitable<void> BaselineNode::handle(transport::HttpServerExchange &exchange)
{
    constexpr std::string_view Prefix = "bytes=";
    const std::string range = exchange.request().fields.valueOr("Range", "bytes=0-");
    std::uint64_t begin = 0;
    std::from_chars(range.data() + Prefix.size(), range.data() + range.size(), begin);
    const std::uint64_t chunk = begin / m_weights.chunkSize;
    transport::HttpResponse response;
    response.status = chunk < m_chunks.size() ? 206 : 416;
    while (chunk < m_chunks.size() && !m_chunks[chunk])
        co_await sleepFor(2ms);
    if (chunk < m_chunks.size())
        response.body = *m_chunks[chunk];
    co_await exchange.respond(std::move(response));
}

} // namespace oriolerill::standins
