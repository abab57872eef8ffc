#pragma once

#include "relay/eventsplitter.h"
#include "relay/internal/endpointanswer.h"
#include "relay/internal/requeststate.h"
#include "relay/internal/requestwrite.h"

#include <boost/asio/awaitable.hpp>
#include <boost/beast/http/buffer_body.hpp>
#include <boost/beast/http/parser.hpp>

#include <memory>
#include <optional>
#include <string>

namespace oriolerill::relay::internal {

/// How an endpoint was chosen for an attempt.
struct AttemptChoice
{
    routing::Dispatch dispatch;
    domain::ServiceId service;
    /// In force when the endpoint was chosen.
    std::shared_ptr<const routing::ServingConfig> config;
};

/// The part of a stream that the caller has received.
struct DeliveredStream
{
    EventSplitter events;
    /// Version of the weights that made it; none if its endpoint states none.
    std::optional<std::uint64_t> weights;
};

/// One attempt of a request at one endpoint: sends it and reads the answer. Decides nothing about
/// further attempts, and has no time-out but the deadline of the request.
class EndpointAttempt
{
public:
    using AttemptEnd = routing::AttemptEnd;

    /// Complete events that an endpoint has sent.
    struct EventRead
    {
        std::string events;
        /// The stream has ended after these events.
        bool isLast = false;
        /// The attempt has ended after these events, before the end of the stream.
        std::optional<AttemptEnd> end;
    };

    /// A stream of which the caller has received a part is continued.
    EndpointAttempt(std::shared_ptr<RequestState> request, AttemptChoice choice,
            std::optional<DeliveredStream> delivered);
    ~EndpointAttempt();
    EndpointAttempt(const EndpointAttempt &) = delete;
    EndpointAttempt &operator=(const EndpointAttempt &) = delete;

    /// Sends the request and reads until the answer has begun: the first complete event of a
    /// stream, or the whole of any other answer. Empty when it has; otherwise how the attempt
    /// ended.
    boost::asio::awaitable<std::optional<AttemptEnd>> begin();
    /// The events with which the stream began.
    EventRead takeFirstEvents() { return std::move(m_first); }
    /// Reads the next complete events.
    boost::asio::awaitable<EventRead> readEvents();
    /// Ends the attempt in this way; it is closed at the endpoint unless its answer is complete.
    void cancel(AttemptEnd as);
    /// The endpoint has sent nothing for so long that another one is tried beside it.
    void markSilent();
    /// Accounts for the end of the attempt and logs it; later calls have no effect.
    void finish(AttemptEnd end);

    const routing::Dispatch &dispatch() const { return m_choice.dispatch; }
    /// The answer is a stream, read by readEvents().
    bool isStream() const { return m_isStream; }
    /// The head of an answer other than a stream has arrived, and its body is incomplete.
    bool isReceivingPlain() const { return m_status != 0 && !m_isStream && !m_isFinished; }
    bool hasBegun() const { return m_hasBegun; }
    bool isCancelled() const { return m_cancelledAs.has_value(); }
    std::optional<AttemptEnd> cancelledAs() const { return m_cancelledAs; }
    bool isFinished() const { return m_isFinished; }
    /// When the request was to be sent, the choice was too old or the configuration had changed.
    bool isChoiceOutdated() const { return m_isChoiceOutdated; }
    /// The complete answer, or the head of a stream.
    EndpointAnswer &answer() { return *m_answer; }
    const EndpointAnswer &answer() const { return *m_answer; }
    bool hasAnswer() const { return m_answer.has_value(); }
    const EventSplitter &events() const { return m_events; }
    std::optional<domain::TimePoint> sentAt() const { return m_sentAt; }
    /// Latest time for the answer to begin before another endpoint is tried beside this one.
    domain::TimePoint beginDeadline() const { return m_beginDeadline; }
    /// When its answer should have begun; TimePoint::min() before the request was sent.
    domain::TimePoint expectedAt() const { return m_expectedAt; }
    const std::string &detail() const { return m_detail; }
    /// At the choice: requests at the endpoint, and age of its load report in milliseconds; -1
    /// without a fresh report.
    double occupancy() const { return m_occupancy; }
    std::int64_t reportAgeMs() const { return m_reportAgeMs; }

private:
    using Parser = boost::beast::http::response_parser<boost::beast::http::buffer_body>;

    boost::asio::awaitable<std::optional<AttemptEnd>> exchange();
    /// Connects, or takes an idle connection; NotSent when that fails.
    boost::asio::awaitable<std::optional<AttemptEnd>> connect();
    void send();
    boost::asio::awaitable<std::optional<AttemptEnd>> readBegin();
    /// Discards an answer to another request; returns an end when the expected answer cannot follow
    /// on the connection.
    boost::asio::awaitable<std::optional<AttemptEnd>> discardForeignAnswer();
    boost::asio::awaitable<std::optional<AttemptEnd>> beginStream(const routing::AnswerHead &head);
    boost::asio::awaitable<std::optional<AttemptEnd>> readPlain(const routing::AnswerHead &head);
    boost::asio::awaitable<boost::beast::error_code> readSome(std::string &received);
    /// Whether the endpoint has closed the connection, which states the end of an answer without a
    /// length; false if the connection was lost.
    boost::asio::awaitable<bool> isEndStated();
    std::optional<AttemptEnd> endOfStream();
    AttemptEnd endForReadError(boost::beast::error_code code);
    /// Keeps the connection for other requests if the endpoint allows it.
    void releaseConnection();
    /// Registers the attempt for withdrawal until the engine has begun the request.
    void trackUnstarted();
    void markStarted();
    /// The endpoint has sent a complete event or answer.
    void markBegun(const routing::AnswerHead &head);
    /// Called when a connection was lost before the answer began.
    boost::asio::awaitable<void> checkForCrash();
    void withdraw();

    std::shared_ptr<RequestState> m_request;
    RelayContext &m_context;
    AttemptChoice m_choice;
    std::optional<DeliveredStream> m_delivered;
    EventSplitter m_events;
    std::shared_ptr<EndpointConnection> m_connection;
    std::shared_ptr<RequestWrite> m_write;
    std::optional<Parser> m_parser;
    std::optional<domain::Duration> m_keepAlive;
    std::optional<AttemptEnd> m_cancelledAs;
    std::optional<EndpointAnswer> m_answer;
    /// What the attempt holds of the memory for answers.
    domain::ByteShare m_share;
    EventRead m_first;
    bool m_isStream = false;
    bool m_hasBegun = false;
    bool m_isSilent = false;
    bool m_isFinished = false;
    bool m_isChoiceOutdated = false;
    /// The connection was closed or reset before the end of the answer.
    bool m_isConnectionLost = false;
    std::size_t m_eventsBefore = 0;
    std::optional<domain::TimePoint> m_sentAt;
    domain::TimePoint m_beginDeadline = domain::TimePoint::max();
    domain::TimePoint m_expectedAt = domain::TimePoint::min();
    std::shared_ptr<UnstartedAttempts> m_unstarted;
    std::optional<std::uint64_t> m_unstartedId;
    /// Status of the answer; zero without one.
    unsigned m_status = 0;
    double m_occupancy = 0;
    std::int64_t m_reportAgeMs = -1;
    std::string m_detail;
};

} // namespace oriolerill::relay::internal
