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

/// Takes the parts of an answer in order.
class IAttemptSink
{
public:
    virtual ~IAttemptSink() = default;

    virtual boost::asio::awaitable<domain::Expected<domain::Done>> head(protocol::AnswerHead head)
            = 0;
    /// Fails when the receiver has gone.
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
    /// Load of the endpoint, when it said so.
    std::optional<protocol::Load> load;
    /// True when the sink failed, so that nobody needs the answer.
    bool isReceiverDisconnected = false;
    /// True when the receiver itself said the outcome, rather than a lost connection.
    bool isReported = false;
};

struct AttemptClientOptions
{
    /// A connection without a frame for this long counts as silent.
    domain::Duration frameTimeout = std::chrono::seconds(1);
    /// A new connection that races a silent one gets its first frame within this time, unless the
    /// receiver does not run.
    domain::Duration raceFrameTimeout = std::chrono::milliseconds(300);
    /// Connections for one attempt, the first one included. An idempotent request uses at most two
    /// before its answer begins, because a retry elsewhere is quicker.
    std::size_t maxConnections = 3;
};

/// Carries one attempt over one or more connections: a silent or broken connection is raced by a
/// new one that attaches to the same attempt. Safe to use from all workers.
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
