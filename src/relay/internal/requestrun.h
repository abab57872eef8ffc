#pragma once

#include "relay/internal/callerwriter.h"
#include "relay/internal/endpointattempt.h"
#include "relay/internal/localanswer.h"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/beast/core/tcp_stream.hpp>

#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace oriolerill::relay::internal {

/// Serves one request of a caller: chooses an endpoint, relays its answer, and tries others where
/// the attempt policy allows it. While an endpoint is silent, others are tried beside it; the first
/// to begin its answer takes over, and only then are the other attempts given up.
class RequestRun : public std::enable_shared_from_this<RequestRun>
{
public:
    RequestRun(RelayContext &context, boost::beast::tcp_stream &caller,
            std::shared_ptr<const HeldRequest> request);
    RequestRun(const RequestRun &) = delete;
    RequestRun &operator=(const RequestRun &) = delete;

    /// True when the caller's connection may carry a further request.
    boost::asio::awaitable<bool> run();
    /// Cancels the attempts in progress, because the process is about to exit.
    void expire();

private:
    using AttemptEnd = routing::AttemptEnd;
    using Attempt = std::shared_ptr<EndpointAttempt>;

    std::optional<LocalAnswer> resolve();
    boost::asio::awaitable<bool> answerOrServe();
    boost::asio::awaitable<bool> serve();
    /// Runs the attempt at the chosen endpoint, and those that take over from it.
    boost::asio::awaitable<AttemptEnd> attempt(const routing::Dispatch &dispatch);
    boost::asio::awaitable<AttemptEnd> relayAttempt();
    Attempt newAttempt(const routing::Dispatch &dispatch);
    /// Makes the attempt the one whose answer goes to the caller.
    void setCurrent(Attempt attempt);
    /// Delivers the answer of the current attempt, which has begun.
    boost::asio::awaitable<AttemptEnd> relayAnswer();
    boost::asio::awaitable<AttemptEnd> relayEvents();
    void cancelAttempts(AttemptEnd as);

    /// Schedules a search for another endpoint beside the current one.
    void searchSuccessorAt(domain::TimePoint time);
    void onSilence();
    /// When the request is given up unless an endpoint has begun to answer by then.
    domain::TimePoint abandonAt() const;
    /// Starts an attempt beside the silent one; otherwise the reason why there is none.
    std::optional<routing::RetryRefusal> startSuccessor(domain::TimePoint now);
    boost::asio::awaitable<void> runSuccessor(Attempt attempt);
    /// Gives up the successors, because the current attempt has made progress.
    void cancelSuccessors();
    /// Waits until a successor has begun its answer; null when none is left.
    boost::asio::awaitable<Attempt> awaitSuccessor();

    void useCurrentConfiguration();
    /// Makes the close of an unchunked stream a TCP reset; a plain close would mark it as complete.
    void resetOnClose();
    /// Why no further attempt is allowed after such an end; empty if one is.
    std::optional<routing::RetryRefusal> retryRefusal(AttemptEnd end);
    /// Charges the retry budget, unless an earlier charge has sent nothing.
    bool tryRetry(domain::TimePoint now);
    /// The engine may have crashed on the request's prompt.
    bool isSuspected() const;
    void logNoFurtherAttempt(std::string_view after, routing::RetryRefusal reason);
    boost::asio::awaitable<bool> deliverBuffered();
    /// The answer that the caller has received or will receive; null without one.
    const EndpointAnswer *callerAnswer() const;
    /// Status of that answer.
    unsigned callerStatus() const;
    boost::asio::awaitable<bool> answer(LocalAnswer answer);
    /// Nothing of the request has been sent that may run, and there is no answer for the caller.
    bool isUnsent() const;
    /// Answers a request that was not run; false when the caller has disconnected.
    boost::asio::awaitable<bool> refuse(LocalAnswer refusal);
    /// Whether streams to the caller are chunked; otherwise the close of the connection ends them.
    bool isChunked() const;
    /// Sends the head of the stream to the caller.
    boost::asio::awaitable<bool> beginStream(const EndpointAnswer &answer);
    /// Sends or buffers events; false when the caller has disconnected.
    bool sendEvents(const std::string &events);
    /// Waits while the stream is not to be read, because its caller has not read enough.
    boost::asio::awaitable<void> awaitRoom();
    /// Ends the stream; true when all of it was sent.
    boost::asio::awaitable<bool> finishStream();
    /// Waits until all buffered bytes were sent; false when the caller has disconnected.
    boost::asio::awaitable<bool> drain();
    LocalAnswer failureAnswer(AttemptEnd end) const;
    void logAdmissionChange(domain::TimePoint now);
    LocalAnswer refusalAnswer(const routing::Refusal &refusal);
    LocalAnswer overdueAnswer();
    LocalAnswer traitsRefusalAnswer(const routing::Refusal &refusal);
    void logEnd(std::string_view outcome, unsigned status);

    RelayContext &m_context;
    boost::beast::tcp_stream &m_caller;
    std::shared_ptr<RequestState> m_state;
    const routing::CallerRequest &m_callerRequest;
    const HeldRequest::Message &m_request;
    bool m_isKeptAlive;
    std::shared_ptr<const routing::ServingConfig> m_config;
    /// In force when the endpoint was chosen. The route and the account of the query are taken from
    /// it, unless it no longer has them.
    std::shared_ptr<const routing::ServingConfig> m_chosenConfig;
    const routing::Route *m_route = nullptr;
    const routing::CallerAccount *m_account = nullptr;
    routing::DispatchQuery m_query;

    /// The attempt whose answer goes to the caller; the last one after its end.
    Attempt m_current;
    /// Attempts in progress beside it.
    std::vector<Attempt> m_successors;
    /// The successor that has begun its answer.
    Attempt m_winner;
    boost::asio::steady_timer m_silenceTimer;
    domain::TimePoint m_silenceDeadline = domain::TimePoint::max();
    /// Expires at the end of a successor's wait, so that awaitSuccessor() goes on.
    boost::asio::steady_timer m_successorTimer;
    std::optional<routing::RetryRefusal> m_loggedRefusal;
    /// The retry budget was charged for an attempt that sent nothing.
    bool m_hasUnusedRetry = false;
    bool m_isOver = false;
    bool m_isCallerDisconnected = false;
    CallerWriter m_writer;
    bool m_wasPaused = false;
    /// The stream whose head and first events were sent to the caller. Other endpoints may continue
    /// it.
    std::optional<EndpointAnswer> m_stream;
    EventSplitter m_events;
    /// When the first byte of an answer was sent to the caller.
    std::optional<domain::TimePoint> m_firstByteAt;
    std::string m_detail;
    std::uint64_t m_requiredWeights = 0;
    /// The attempt with the latest complete answer: a failure is kept in case no further attempt
    /// succeeds.
    Attempt m_buffered;
};

} // namespace oriolerill::relay::internal
