#include "agent/internal/weightsfetcher.h"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <algorithm>
#include <chrono>
#include <utility>

namespace oriolerill::agent {

namespace asio = boost::asio;
using namespace std::chrono_literals;
using domain::Bytes;
using domain::Error;
using domain::ErrorKind;
using domain::Expected;
using domain::TimePoint;

namespace {

constexpr domain::Duration HeadTimeout = 3s;
constexpr domain::Duration PieceTimeout = 3s;
constexpr std::size_t PieceSize = 64U << 10U;
// Bounds the memory reserved in advance: most manifests are far smaller than their maximum size.
constexpr std::size_t MaxReservedSize = 4U << 20U;
constexpr std::size_t MaxSources = 1024;

Error refusal(unsigned status, const domain::SocketAddress &peer)
{
    constexpr unsigned NotFound = 404;
    const ErrorKind kind = status == NotFound ? ErrorKind::NotFound : ErrorKind::Overloaded;
    return Error{kind, peer.toString() + " answered with status " + std::to_string(status),
            "fetch from another source"};
}

} // namespace

WeightsFetcher::WeightsFetcher(asio::any_io_executor executor, transport::HttpClient &client,
        distribution::BulkPacerOptions pacing)
    : m_executor(std::move(executor))
    , m_client(client)
    , m_pacing(pacing)
{}

std::shared_ptr<WeightsFetcher::Source> WeightsFetcher::sourceOf(const std::string &host)
{
    const std::scoped_lock lock(m_mutex);
    const auto found = m_sources.find(host);
    if (found != m_sources.end())
        return found->second;
    if (m_sources.size() >= MaxSources)
        m_sources.clear();
    auto source = std::make_shared<Source>(m_pacing);
    m_sources.emplace(host, source);
    return source;
}

domain::BytesPerSecond WeightsFetcher::rateOf(const std::string &host)
{
    const std::shared_ptr<Source> source = sourceOf(host);
    const std::scoped_lock lock(source->mutex);
    return source->pacer.rate();
}

asio::awaitable<Expected<std::string>> WeightsFetcher::fetch(WeightsFetchRequest request)
{
    const std::shared_ptr<Source> source = sourceOf(request.peer.host);
    auto exchange = co_await open(request, *source);
    if (!exchange)
        co_return exchange.error();
    const unsigned status = (*exchange)->head().status;
    if (status / 100 != 2)
        co_return refusal(status, request.peer);
    co_return co_await readBody(request, **exchange, *source);
}

asio::awaitable<Expected<std::unique_ptr<transport::HttpExchange>>> WeightsFetcher::open(
        const WeightsFetchRequest &request, Source &source)
{
    const TimePoint start = TimePoint::clock::now();
    auto exchange = co_await m_client.open(request.peer, request.message, start + HeadTimeout);
    if (!exchange && exchange.error().kind == ErrorKind::Unavailable) {
        // The peer may have restarted since the pooled connection was opened.
        const TimePoint deadline = TimePoint::clock::now() + HeadTimeout;
        co_return co_await m_client.open(request.peer, request.message, deadline, true);
    }
    // Samples reused connections only: opening one takes another round trip, which is not queueing
    // delay.
    if (exchange && (*exchange)->isReusedConnection()) {
        const TimePoint now = TimePoint::clock::now();
        const std::scoped_lock lock(source.mutex);
        source.pacer.addDelaySample(now - start, now);
    }
    co_return exchange;
}

asio::awaitable<void> WeightsFetcher::waitForPacer(Source &source, Bytes bytes)
{
    const TimePoint now = TimePoint::clock::now();
    TimePoint resumeAt;
    {
        const std::scoped_lock lock(source.mutex);
        resumeAt = source.pacer.reserve(bytes, now);
    }
    if (resumeAt <= now)
        co_return;
    asio::steady_timer timer(m_executor, resumeAt);
    co_await timer.async_wait(asio::as_tuple(asio::use_awaitable));
}

asio::awaitable<Expected<std::string>> WeightsFetcher::readBody(
        const WeightsFetchRequest &request, transport::HttpExchange &exchange, Source &source)
{
    std::string body;
    body.reserve(std::min<std::size_t>(request.maxSize.count(), MaxReservedSize));
    for (;;) {
        if (*request.isCancelled)
            co_return Error{ErrorKind::Cancelled, "the fetch was cancelled", "none is needed"};
        const TimePoint deadline = TimePoint::clock::now() + PieceTimeout;
        Expected<std::string> piece = co_await exchange.read(PieceSize, deadline);
        if (!piece)
            co_return piece.error();
        if (piece->empty())
            co_return body;
        body += *piece;
        if (body.size() > request.maxSize.count()) {
            co_return Error{ErrorKind::Corrupted,
                    request.peer.toString() + " sent more bytes than expected",
                    "fetch from another source"};
        }
        co_await waitForPacer(source, Bytes(piece->size()));
    }
}

} // namespace oriolerill::agent
