#pragma once

#include "domain/expected.h"
#include "domain/quantity.h"
#include "domain/socketaddress.h"
#include "domain/timepoint.h"
#include "protocol/control.pb.h"
#include "transport/httpclient.h"

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>

#include <cstddef>
#include <optional>
#include <string>

namespace oriolerill::entry {

/// Receives the parts of an answer in order.
class IAttemptSink
{
public:
    virtual ~IAttemptSink() = default;

    virtual boost::asio::awaitable<domain::Expected<domain::Done>> head(protocol::AnswerHead head)
            = 0;
    /// Fails when the receiver of the answer has disconnected.
    virtual boost::asio::awaitable<domain::Expected<domain::Done>> data(std::string data) = 0;
};

/// The agent, or the entry of another data centre, that an attempt is sent to.
struct AttemptTarget
{
    domain::SocketAddress address;
    domain::Incarnation incarnation;
};

struct AttemptResult
{
    protocol::Outcome outcome = protocol::OUTCOME_UNKNOWN;
    /// Set unless answered.
    domain::Error error;
    domain::Duration retryAfter = {};
    /// Load that the endpoint reported with its answer, if any.
    std::optional<protocol::Load> load;
    /// True when the sink failed: the answer has no receiver any more.
    bool isReceiverDisconnected = false;
    /// True when the target reported the outcome; false when a lost connection implies it.
    bool isReported = false;
};

struct AttemptClientOptions
{
    /// A connection that delivers no frame for this long counts as unresponsive.
    domain::Duration frameTimeout = std::chrono::seconds(1);
    /// A new connection that races an unresponsive one receives its first frame within this time,
    /// unless the target is not running.
    domain::Duration raceFrameTimeout = std::chrono::milliseconds(300);
    /// Maximum number of connections of one attempt, the first one included. An idempotent request
    /// uses at most two before its answer starts, because a retry at another target is faster.
    std::size_t maxConnections = 3;
};

/// Runs one attempt over one or more connections: a broken connection is replaced by a new one that
/// attaches to the same attempt, and an unresponsive one is raced by it. Safe to use from all
/// workers.
class AttemptClient
{
public:
    /// The HTTP client has to outlive the executor's work.
    AttemptClient(boost::asio::any_io_executor executor, transport::HttpClient &client,
            AttemptClientOptions options);

    boost::asio::awaitable<AttemptResult> run(AttemptTarget target, protocol::Attempt attempt,
            domain::TimePoint deadline, IAttemptSink &sink);

private:
    boost::asio::any_io_executor m_executor;
    transport::HttpClient &m_client;
    AttemptClientOptions m_options;
};

} // namespace oriolerill::entry
