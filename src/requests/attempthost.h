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
    /// Answer bytes that are kept for each attempt.
    std::size_t maxBufferedBytes = 1U << 20U;
    /// Time for which a finished answer is kept for a reattach.
    domain::Duration answerRetention = std::chrono::seconds(10);
    /// Attempts at the same time; more are refused.
    std::size_t maxActive = 4096;
    AttemptRegistryOptions registry;
};

/// Runs attempts detached from the connections that bring them, and sends their answers as frames
/// with heartbeats. Safe to use from all workers.
class AttemptHost
{
public:
    using Runner = std::function<boost::asio::awaitable<void>(std::shared_ptr<RunningAttempt>)>;
    /// Sends bytes to the connection; fails when the peer has gone.
    using Write = std::function<boost::asio::awaitable<domain::Expected<domain::Done>>(
            std::string bytes)>;

    AttemptHost(boost::asio::any_io_executor executor, domain::Incarnation incarnation,
            AttemptHostOptions options);
    ~AttemptHost();
    AttemptHost(const AttemptHost &) = delete;
    AttemptHost &operator=(const AttemptHost &) = delete;

    /// Runs the attempt, or attaches to the one that runs, and sends its frames until the end or
    /// until the connection breaks. The attempt itself goes on without a connection.
    boost::asio::awaitable<void> serve(protocol::Attempt attempt, Write write, Runner runner);

    /// Refuses new attempts from now on; running ones go on.
    void close();
    bool isClosed() const;
    /// Attempts that still run.
    std::size_t active() const;

private:
    struct State;
    std::shared_ptr<State> m_state;
};

} // namespace oriolerill::requests
