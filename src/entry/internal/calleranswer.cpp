#include "entry/internal/calleranswer.h"

#include <algorithm>
#include <utility>

namespace oriolerill::entry {

namespace asio = boost::asio;
using domain::Done;
using domain::Expected;

namespace {

// A larger answer of a plain service is streamed; buffering it would use too much memory.
constexpr std::size_t MaxBufferedBytes = 1U << 20U;

const char *outcomeText(protocol::Outcome outcome)
{
    switch (outcome) {
    case protocol::OUTCOME_ANSWERED:
        return "answered";
    case protocol::OUTCOME_NOT_RUN:
        return "not-run";
    default:
        return "unknown";
    }
}

std::string retryAfterSeconds(domain::Duration delay)
{
    const auto seconds = std::chrono::ceil<std::chrono::seconds>(delay).count();
    return std::to_string(std::max<long long>(seconds, 1));
}

} // namespace

CallerAnswer::CallerAnswer(
        transport::HttpServerExchange &exchange, domain::RequestId id, bool isStreamed)
    : m_exchange(exchange)
    , m_id(std::move(id))
    , m_isStreamed(isStreamed)
{}

domain::Digest CallerAnswer::digest() const
{
    return domain::Digest::fromBytes(m_received.head.active_digest()).value_or(domain::Digest());
}

asio::awaitable<Expected<Done>> CallerAnswer::head(protocol::AnswerHead head)
{
    // The head of a resumed answer repeats the first one.
    if (!m_isStarted)
        m_received.head = std::move(head);
    co_return Done{};
}

asio::awaitable<Expected<Done>> CallerAnswer::data(std::string data)
{
    m_received.checksum.add(data);
    if (!m_received.firstByteAt)
        m_received.firstByteAt = domain::TimePoint::clock::now();
    if (!m_isStarted && !m_isStreamed
            && m_received.buffer.size() + data.size() <= MaxBufferedBytes) {
        m_received.buffer += data;
        co_return Done{};
    }
    if (!m_isStarted) {
        const Expected<Done> started = co_await startStream();
        if (!started)
            co_return started;
    }
    Expected<Done> written = co_await m_exchange.write(std::move(data));
    co_return written;
}

asio::awaitable<Expected<Done>> CallerAnswer::startStream()
{
    m_isStarted = true;
    transport::HttpResponseHead head;
    head.status = m_received.head.status();
    head.fields = fields(true);
    Expected<Done> result = co_await m_exchange.start(std::move(head));
    if (result && !m_received.buffer.empty())
        result = co_await m_exchange.write(std::exchange(m_received.buffer, {}));
    co_return result;
}

transport::HttpFields CallerAnswer::fields(bool isStreamed) const
{
    transport::HttpFields fields;
    for (const protocol::Header &header : m_received.head.headers())
        fields.add(header.name(), header.value());
    fields.add("X-Oriolerill-Request-Id", m_id.value());
    fields.add("X-Oriolerill-Outcome", outcomeText(protocol::OUTCOME_ANSWERED));
    if (!digest().isNone())
        fields.add("X-Oriolerill-Digest", digest().hex());
    if (isStreamed)
        fields.add("Trailer", "X-Oriolerill-Length, X-Oriolerill-Checksum");
    return fields;
}

void CallerAnswer::restart()
{
    if (m_isStarted)
        return;
    m_received = {};
}

asio::awaitable<Expected<Done>> CallerAnswer::finish()
{
    if (!m_isStarted && !m_isStreamed) {
        transport::HttpResponse response;
        response.status = m_received.head.status();
        response.fields = fields(false);
        response.body = std::move(m_received.buffer);
        Expected<Done> sent = co_await m_exchange.respond(std::move(response));
        co_return sent;
    }
    if (!m_isStarted) {
        const Expected<Done> started = co_await startStream();
        if (!started)
            co_return started;
    }
    transport::HttpFields trailers;
    trailers.add("X-Oriolerill-Length", std::to_string(m_received.checksum.length()));
    trailers.add("X-Oriolerill-Checksum", m_received.checksum.hex());
    Expected<Done> finished = co_await m_exchange.finish(std::move(trailers));
    co_return finished;
}

asio::awaitable<void> CallerAnswer::refuse(
        protocol::Outcome outcome, const domain::Error &error, domain::Duration retryAfter)
{
    transport::HttpResponse response = transport::errorResponse(error);
    response.fields.add("X-Oriolerill-Request-Id", m_id.value());
    response.fields.add("X-Oriolerill-Outcome", outcomeText(outcome));
    if (retryAfter > domain::Duration::zero())
        response.fields.add("Retry-After", retryAfterSeconds(retryAfter));
    co_await m_exchange.respond(std::move(response));
}

} // namespace oriolerill::entry
