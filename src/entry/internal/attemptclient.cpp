#include "entry/internal/attemptclient.h"

#include "entry/internal/attemptconnection.h"
#include "requests/answerchecksum.h"
#include "transport/httpmessage.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/strand.hpp>
#include <boost/asio/this_coro.hpp>

#include <algorithm>
#include <utility>
#include <vector>

namespace oriolerill::entry {

namespace asio = boost::asio;
using domain::Done;
using domain::Error;
using domain::ErrorKind;
using domain::Expected;
using domain::TimePoint;

namespace {

std::uint32_t remainingMilliseconds(TimePoint deadline)
{
    using std::chrono::milliseconds;
    const auto left
            = std::chrono::duration_cast<milliseconds>(deadline - TimePoint::clock::now()).count();
    return static_cast<std::uint32_t>(std::max<long long>(left, 0));
}

domain::ErrorKind kindOf(const std::string &text)
{
    for (int i = 0; i <= static_cast<int>(ErrorKind::Internal); ++i) {
        if (toString(static_cast<ErrorKind>(i)) == text)
            return static_cast<ErrorKind>(i);
    }
    return ErrorKind::Internal;
}

/// State of one attempt across its connections.
class AttemptSession
{
public:
    AttemptSession(asio::any_io_executor executor, const asio::any_io_executor &strand,
            transport::HttpClient &client, const AttemptClientOptions &options,
            AttemptTarget target, protocol::Attempt attempt, TimePoint deadline, IAttemptSink &sink)
        : m_executor(std::move(executor))
        , m_client(client)
        , m_options(options)
        , m_target(std::move(target))
        , m_attempt(std::move(attempt))
        , m_deadline(deadline)
        , m_sink(sink)
        , m_events(std::make_shared<ConnectionEvents>(strand))
    {}
    ~AttemptSession() { m_events->abandon(); }
    AttemptSession(const AttemptSession &) = delete;
    AttemptSession &operator=(const AttemptSession &) = delete;

    asio::awaitable<AttemptResult> run();

private:
    struct Connection
    {
        bool isAlive = true;
        bool isAccepted = false;
        /// Offset in the attempt's data that this connection has reached.
        std::uint64_t position = 0;
    };

    void openConnection();
    bool hasLiveConnection() const;
    domain::Duration currentFrameTimeout() const;
    std::size_t maxConnections() const;
    void onTimeout();
    void onFailure(Connection &connection, const ConnectionFailure &failure);
    asio::awaitable<void> onFrame(Connection &connection, protocol::AttemptFrame frame);
    void onAccepted(Connection &connection, const protocol::AttemptAccepted &accepted);
    asio::awaitable<void> onHead(protocol::AnswerHead head);
    asio::awaitable<void> onData(Connection &connection, std::string data);
    void onEnd(Connection &connection, const protocol::AnswerEnd &end);
    bool isOwn(const std::string &requestId, std::uint32_t attempt) const;
    /// True when the data after the head continues the data that the caller has received.
    bool isContinuation(const protocol::AnswerHead &head) const;
    bool isComplete(const protocol::AnswerEnd &end) const;
    void finish(protocol::Outcome outcome, Error error);

    asio::any_io_executor m_executor;
    transport::HttpClient &m_client;
    const AttemptClientOptions &m_options;
    AttemptTarget m_target;
    protocol::Attempt m_attempt;
    TimePoint m_deadline;
    IAttemptSink &m_sink;
    std::shared_ptr<ConnectionEvents> m_events;
    std::vector<Connection> m_connections;
    TimePoint m_lastFrame = TimePoint::clock::now();
    bool m_hasHead = false;
    requests::AnswerChecksum m_checksum;
    std::optional<AttemptResult> m_result;
};

void AttemptSession::openConnection()
{
    protocol::Attempt attempt = m_attempt;
    const bool isFirst = m_connections.empty();
    attempt.set_reattach(!isFirst);
    attempt.set_received_bytes(m_checksum.length());
    attempt.set_remaining_ms(remainingMilliseconds(m_deadline));
    attempt.set_receiver_incarnation(m_target.incarnation.count());
    if (!isFirst) {
        // A reattaching connection finds the attempt by its id and does not need the body.
        attempt.clear_body();
        attempt.clear_headers();
    }
    Connection connection;
    connection.position = m_checksum.length();
    const ConnectionTarget target{m_target.address, m_connections.size(), !isFirst};
    m_connections.push_back(connection);
    m_lastFrame = TimePoint::clock::now();
    asio::co_spawn(asio::make_strand(m_executor),
            runConnection(m_events, m_client, target, std::move(attempt)), asio::detached);
}

bool AttemptSession::hasLiveConnection() const
{
    return std::any_of(m_connections.begin(), m_connections.end(),
            [](const Connection &connection) { return connection.isAlive; });
}

domain::Duration AttemptSession::currentFrameTimeout() const
{
    const bool isRacing = m_connections.size() > 1 && !m_connections.back().isAccepted;
    return isRacing ? std::min(m_options.raceFrameTimeout, m_options.frameTimeout)
                    : m_options.frameTimeout;
}

std::size_t AttemptSession::maxConnections() const
{
    constexpr std::size_t MaxConnectionsBeforeRetry = 2;
    const bool canRetry = m_attempt.idempotent() && m_checksum.length() == 0;
    return canRetry ? std::min(m_options.maxConnections, MaxConnectionsBeforeRetry)
                    : m_options.maxConnections;
}

asio::awaitable<AttemptResult> AttemptSession::run()
{
    openConnection();
    while (!m_result) {
        const TimePoint until = std::min(m_deadline, m_lastFrame + currentFrameTimeout());
        std::optional<ConnectionEvent> event = co_await m_events->pop(until);
        if (!event) {
            onTimeout();
            continue;
        }
        Connection &connection = m_connections[event->connection];
        if (!connection.isAlive)
            continue;
        if (auto *frame = std::get_if<protocol::AttemptFrame>(&event->payload))
            co_await onFrame(connection, std::move(*frame));
        else
            onFailure(connection, std::get<ConnectionFailure>(event->payload));
    }
    co_return *m_result;
}

void AttemptSession::finish(protocol::Outcome outcome, Error error)
{
    m_result.emplace();
    m_result->outcome = outcome;
    m_result->error = std::move(error);
}

void AttemptSession::onTimeout()
{
    if (TimePoint::clock::now() >= m_deadline) {
        finish(protocol::OUTCOME_UNKNOWN,
                Error{ErrorKind::Timeout, "the deadline passed before the whole answer came",
                        "allow more time"});
        return;
    }
    if (m_connections.size() < maxConnections()) {
        openConnection();
        return;
    }
    finish(protocol::OUTCOME_UNKNOWN,
            Error{ErrorKind::Unavailable, "all connections to the endpoint are silent",
                    "send the request again if it is idempotent"});
}

void AttemptSession::onFailure(Connection &connection, const ConnectionFailure &failure)
{
    connection.isAlive = false;
    if (!failure.hasSent && m_connections.size() == 1) {
        finish(protocol::OUTCOME_NOT_RUN, failure.error);
        return;
    }
    if (hasLiveConnection())
        return;
    if (m_connections.size() < maxConnections() && TimePoint::clock::now() < m_deadline)
        openConnection();
    else
        finish(protocol::OUTCOME_UNKNOWN, failure.error);
}

bool AttemptSession::isOwn(const std::string &requestId, std::uint32_t attempt) const
{
    return requestId == m_attempt.request_id() && attempt == m_attempt.attempt();
}

asio::awaitable<void> AttemptSession::onFrame(Connection &connection, protocol::AttemptFrame frame)
{
    m_lastFrame = TimePoint::clock::now();
    if (frame.has_accepted()) {
        onAccepted(connection, frame.accepted());
    } else if (!connection.isAccepted) {
        onFailure(connection,
                {Error{ErrorKind::Corrupted, "the answer does not begin with its request id",
                         "send the request again"},
                        true});
    } else if (frame.has_head()) {
        co_await onHead(std::move(*frame.mutable_head()));
    } else if (frame.has_end()) {
        onEnd(connection, frame.end());
    } else if (!frame.data().empty()) {
        co_await onData(connection, std::move(*frame.mutable_data()));
    }
}

void AttemptSession::onAccepted(Connection &connection, const protocol::AttemptAccepted &accepted)
{
    connection.isAccepted = isOwn(accepted.request_id(), accepted.attempt());
    if (!connection.isAccepted) {
        onFailure(connection,
                {Error{ErrorKind::Corrupted, "the answer belongs to another request",
                         "send the request again"},
                        true});
    }
}

asio::awaitable<void> AttemptSession::onHead(protocol::AnswerHead head)
{
    if (std::exchange(m_hasHead, true))
        co_return;
    if (!transport::isValidStatus(head.status())) {
        finish(protocol::OUTCOME_UNKNOWN,
                Error{ErrorKind::Corrupted,
                        "the endpoint answered with the invalid status "
                                + std::to_string(head.status()),
                        "send the request again only if it may run twice"});
        co_return;
    }
    if (!isContinuation(head)) {
        finish(protocol::OUTCOME_UNKNOWN,
                Error{ErrorKind::Unavailable,
                        "the answer was to be resumed, and the endpoint answered with status "
                                + std::to_string(head.status()),
                        "resume it at another endpoint"});
        co_return;
    }
    const Expected<Done> delivered = co_await m_sink.head(std::move(head));
    if (!delivered) {
        finish(protocol::OUTCOME_UNKNOWN, delivered.error());
        m_result->isReceiverDisconnected = true;
    }
}

asio::awaitable<void> AttemptSession::onData(Connection &connection, std::string data)
{
    const std::uint64_t end = connection.position + data.size();
    const std::uint64_t received = m_checksum.length();
    const std::uint64_t overlap
            = std::min<std::uint64_t>(received - connection.position, data.size());
    connection.position = end;
    if (end <= received)
        co_return;
    data.erase(0, overlap);
    m_checksum.add(data);
    const Expected<Done> delivered = co_await m_sink.data(std::move(data));
    if (!delivered) {
        finish(protocol::OUTCOME_UNKNOWN, delivered.error());
        m_result->isReceiverDisconnected = true;
    }
}

bool AttemptSession::isContinuation(const protocol::AnswerHead &head) const
{
    if (m_attempt.resume_offset() == 0)
        return true;
    constexpr unsigned FirstSuccess = 200;
    constexpr unsigned FirstRedirect = 300;
    const bool isSuccess = head.status() >= FirstSuccess && head.status() < FirstRedirect;
    return isSuccess && head.active_digest() == m_attempt.required_digest();
}

bool AttemptSession::isComplete(const protocol::AnswerEnd &end) const
{
    return m_hasHead && end.length() == m_attempt.resume_offset() + m_checksum.length()
            && end.checksum() == m_checksum.value();
}

void AttemptSession::onEnd(Connection &connection, const protocol::AnswerEnd &end)
{
    if (!isOwn(end.request_id(), end.attempt())) {
        onFailure(connection,
                {Error{ErrorKind::Corrupted, "the end of the answer belongs to another request",
                         "send the request again"},
                        true});
        return;
    }
    const bool isAnswered = end.outcome() == protocol::OUTCOME_ANSWERED;
    if (isAnswered && !isComplete(end)) {
        finish(protocol::OUTCOME_UNKNOWN,
                Error{ErrorKind::Corrupted, "length or checksum of the answer does not match",
                        "send the request again"});
        return;
    }
    // A refusal after the first part of an answer is contradictory: the outcome is unknown.
    const bool isRefused = end.outcome() == protocol::OUTCOME_NOT_RUN && !m_hasHead;
    const protocol::ControlError &error = end.error();
    finish(isAnswered || isRefused ? end.outcome() : protocol::OUTCOME_UNKNOWN,
            Error{kindOf(error.kind()), error.message(), error.remedy()});
    m_result->retryAfter = std::chrono::milliseconds(end.retry_after_ms());
    m_result->isReported = true;
    if (end.has_load() && end.load().limit() > 0)
        m_result->load = end.load();
}

} // namespace

AttemptClient::AttemptClient(
        asio::any_io_executor executor, transport::HttpClient &client, AttemptClientOptions options)
    : m_executor(std::move(executor))
    , m_client(client)
    , m_options(options)
{}

asio::awaitable<AttemptResult> AttemptClient::run(
        AttemptTarget target, protocol::Attempt attempt, TimePoint deadline, IAttemptSink &sink)
{
    const auto strand = co_await asio::this_coro::executor;
    AttemptSession session(m_executor, strand, m_client, m_options, std::move(target),
            std::move(attempt), deadline, sink);
    AttemptResult result = co_await session.run();
    co_return result;
}

} // namespace oriolerill::entry
