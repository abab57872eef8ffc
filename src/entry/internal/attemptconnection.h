#pragma once

#include "domain/error.h"
#include "domain/socketaddress.h"
#include "domain/timepoint.h"
#include "protocol/control.pb.h"
#include "requests/strandsignal.h"
#include "transport/httpclient.h"

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>

#include <atomic>
#include <cstddef>
#include <deque>
#include <memory>
#include <mutex>
#include <optional>
#include <variant>
#include <vector>

namespace oriolerill::entry {

/// A connection of an attempt failed, or closed without an end frame.
struct ConnectionFailure
{
    domain::Error error;
    /// False when certainly no byte was sent over the connection.
    bool hasSent = true;
};

struct ConnectionEvent
{
    std::size_t connection = 0;
    std::variant<protocol::AttemptFrame, ConnectionFailure> payload;
};

/// Event queue of all connections of one attempt, read by the coroutine that runs the attempt.
class ConnectionEvents
{
public:
    explicit ConnectionEvents(const boost::asio::any_io_executor &strand);

    void push(std::size_t connection, std::vector<protocol::AttemptFrame> frames);
    void push(std::size_t connection, ConnectionFailure failure);
    /// The next event; none when the time point passes first.
    boost::asio::awaitable<std::optional<ConnectionEvent>> pop(domain::TimePoint until);

    /// True while the queue is so long that the connections should not be read.
    bool isFull();

    /// Signals the connections that the attempt needs no more events.
    void abandon() { m_isAbandoned = true; }
    bool isAbandoned() const { return m_isAbandoned; }

private:
    std::optional<ConnectionEvent> tryPop();

    std::shared_ptr<requests::StrandSignal> m_signal;
    std::mutex m_mutex;
    std::deque<ConnectionEvent> m_events;
    std::atomic<bool> m_isAbandoned = false;
};

struct ConnectionTarget
{
    domain::SocketAddress address;
    std::size_t connection = 0;
    /// Opens a new connection from a new source port instead of reusing an idle one.
    bool isFresh = false;
    /// The connection is closed when no byte arrives for this long.
    domain::Duration idleTimeout = std::chrono::milliseconds(2500);
};

/// Sends the attempt and pushes the received frames as events, until the end frame or a failure.
boost::asio::awaitable<void> runConnection(std::shared_ptr<ConnectionEvents> events,
        transport::HttpClient &client, ConnectionTarget target, protocol::Attempt attempt);

} // namespace oriolerill::entry
