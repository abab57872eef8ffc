#pragma once

#include "domain/expected.h"
#include "domain/quantity.h"
#include "domain/timepoint.h"
#include "protocol/control.pb.h"
#include "requests/attemptregistry.h"
#include "requests/runningattempt.h"

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>

#include <atomic>
#include <cstddef>
#include <functional>
#include <memory>
#include <mutex>
#include <string>

namespace oriolerill::requests {

struct AttemptHostOptions
{
    domain::Duration heartbeatInterval = std::chrono::milliseconds(200);
    /// Maximum answer data buffered for each attempt, in bytes.
    std::size_t maxBufferedBytes = 1U << 20U;
    /// Time for which a finished answer is kept for a reattach.
    domain::Duration answerRetention = std::chrono::seconds(10);
    /// Maximum number of concurrent attempts; more are refused.
    std::size_t maxActive = 4096;
    AttemptRegistryOptions registry;
};

/// Runs attempts independently of the connections that they arrive on, and sends their answers as
/// frames with heartbeats. Safe to use from all workers.
class AttemptHost
{
public:
    using Runner = std::function<boost::asio::awaitable<void>(std::shared_ptr<RunningAttempt>)>;
    /// Sends bytes over the connection; fails when the peer has closed it.
    using Write = std::function<boost::asio::awaitable<domain::Expected<domain::Done>>(
            std::string bytes)>;

    AttemptHost(boost::asio::any_io_executor executor, domain::Incarnation incarnation,
            AttemptHostOptions options);
    ~AttemptHost();
    AttemptHost(const AttemptHost &) = delete;
    AttemptHost &operator=(const AttemptHost &) = delete;

    /// Runs the attempt, or attaches to it when it runs already, and sends its frames until it ends
    /// or the connection breaks. The attempt itself continues without a connection.
    boost::asio::awaitable<void> serve(protocol::Attempt attempt, Write write, Runner runner);

    /// Refuses new attempts from now on; running ones continue.
    void close();
    bool isClosed() const;
    /// Number of running attempts.
    std::size_t active() const;

private:
    struct State;
    std::shared_ptr<State> m_state;
};

} // namespace oriolerill::requests
