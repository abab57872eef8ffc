#include "entry/internal/attemptconnection.h"

#include "requests/attemptframecodec.h"

#include <boost/asio/steady_timer.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <utility>

namespace oriolerill::entry {

namespace asio = boost::asio;
using domain::Error;
using domain::ErrorKind;
using domain::Expected;
using domain::TimePoint;

namespace {

constexpr std::size_t ReadSize = 64U << 10U;
constexpr unsigned StatusOk = 200;

bool hasEnd(const std::vector<protocol::AttemptFrame> &frames)
{
    return !frames.empty() && frames.back().has_end();
}

/// Backpressure: stops reading the connection while the receiver is slow.
asio::awaitable<void> waitWhileFull(ConnectionEvents &events)
{
    constexpr auto PollInterval = std::chrono::milliseconds(2);
    const auto executor = co_await asio::this_coro::executor;
    asio::steady_timer timer(executor);
    while (events.isFull() && !events.isAbandoned()) {
        timer.expires_after(PollInterval);
        co_await timer.async_wait(asio::use_awaitable);
    }
}

asio::awaitable<void> readFrames(std::shared_ptr<ConnectionEvents> events,
        transport::HttpExchange &exchange, ConnectionTarget target)
{
    requests::AttemptFrameDecoder decoder;
    bool isComplete = false;
    while (!events->isAbandoned() || isComplete) {
        const TimePoint deadline = TimePoint::clock::now() + target.idleTimeout;
        const Expected<std::string> piece = co_await exchange.read(ReadSize, deadline);
        // After the end frame, the rest is read only so that the connection can be reused.
        if (isComplete && (!piece || piece->empty()))
            co_return;
        if (!piece) {
            events->push(target.connection, ConnectionFailure{piece.error(), true});
            co_return;
        }
        if (piece->empty()) {
            events->push(target.connection,
                    ConnectionFailure{
                            Error{ErrorKind::Unavailable, "the answer broke off before its end",
                                    "send the request again"},
                            true});
            co_return;
        }
        Expected<std::vector<protocol::AttemptFrame>> frames = decoder.feed(*piece);
        if (!frames) {
            events->push(target.connection, ConnectionFailure{frames.error(), true});
            co_return;
        }
        isComplete = isComplete || hasEnd(*frames);
        events->push(target.connection, std::move(*frames));
        co_await waitWhileFull(*events);
    }
}

} // namespace

ConnectionEvents::ConnectionEvents(const asio::any_io_executor &strand)
    : m_signal(std::make_shared<requests::StrandSignal>(strand))
{}

void ConnectionEvents::push(std::size_t connection, std::vector<protocol::AttemptFrame> frames)
{
    if (frames.empty())
        return;
    const std::scoped_lock lock(m_mutex);
    for (protocol::AttemptFrame &frame : frames)
        m_events.push_back({connection, std::move(frame)});
    m_signal->notify();
}

void ConnectionEvents::push(std::size_t connection, ConnectionFailure failure)
{
    const std::scoped_lock lock(m_mutex);
    m_events.push_back({connection, std::move(failure)});
    m_signal->notify();
}

bool ConnectionEvents::isFull()
{
    constexpr std::size_t MaxEvents = 32;
    const std::scoped_lock lock(m_mutex);
    return m_events.size() > MaxEvents;
}

std::optional<ConnectionEvent> ConnectionEvents::tryPop()
{
    const std::scoped_lock lock(m_mutex);
    if (m_events.empty())
        return std::nullopt;
    ConnectionEvent event = std::move(m_events.front());
    m_events.pop_front();
    return event;
}

asio::awaitable<std::optional<ConnectionEvent>> ConnectionEvents::pop(TimePoint until)
{
    for (;;) {
        std::optional<ConnectionEvent> event = tryPop();
        if (event || TimePoint::clock::now() >= until)
            co_return event;
        co_await m_signal->wait(until);
    }
}

asio::awaitable<void> runConnection(std::shared_ptr<ConnectionEvents> events,
        transport::HttpClient &client, ConnectionTarget target, protocol::Attempt attempt)
{
    transport::HttpRequest request;
    request.method = "POST";
    request.target = "/v1/attempts";
    request.body = attempt.SerializeAsString();
    bool hasSent = false;
    const TimePoint deadline = TimePoint::clock::now() + target.idleTimeout;
    Expected<std::unique_ptr<transport::HttpExchange>> exchange = co_await client.open(
            target.address, std::move(request), deadline, target.isFresh, &hasSent);
    if (!exchange) {
        events->push(target.connection, ConnectionFailure{exchange.error(), hasSent});
        co_return;
    }
    if ((*exchange)->head().status != StatusOk) {
        events->push(target.connection,
                ConnectionFailure{Error{ErrorKind::Unavailable,
                                          "the attempt was refused with status "
                                                  + std::to_string((*exchange)->head().status),
                                          "check the versions and limits of both processes"},
                        true});
        co_return;
    }
    co_await readFrames(std::move(events), **exchange, target);
}

} // namespace oriolerill::entry
