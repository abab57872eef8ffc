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

/// A connection of an attempt broke, or ended without an end frame.
struct ConnectionFailure
{
    domain::Error error;
    /// False when it is certain that nothing was sent over it.
    bool hasSent = true;
};

struct ConnectionEvent
{
    std::size_t connection = 0;
    std::variant<protocol::AttemptFrame, ConnectionFailure> payload;
};

/// Events of all connections of one attempt, for the coroutine that carries it.
class ConnectionEvents
{
public:
    explicit ConnectionEvents(const boost::asio::any_io_executor &strand);

    void push(std::size_t connection, std::vector<protocol::AttemptFrame> frames);
    void push(std::size_t connection, ConnectionFailure failure);
    /// The next event; none at the time point.
    boost::asio::awaitable<std::optional<ConnectionEvent>> pop(domain::TimePoint until);

    /// True while the receiver lags so far behind that the connections should not be read.
    bool isFull();

    /// Tells the connections that nobody waits any more.
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
    /// A connection of its own from a new source port.
    bool isFresh = false;
    /// Without any byte for this long the connection is closed.
    domain::Duration idleTimeout = std::chrono::milliseconds(2500);
};

/// Sends the attempt and pushes its frames as events, until the end frame or a failure.
boost::asio::awaitable<void> runConnection(std::shared_ptr<ConnectionEvents> events,
        transport::HttpClient &client, ConnectionTarget target, protocol::Attempt attempt);

} // namespace oriolerill::entry
