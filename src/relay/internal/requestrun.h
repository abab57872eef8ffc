#pragma once

#include "relay/eventsplitter.h"
#include "relay/internal/localanswer.h"
#include "relay/internal/relaycontext.h"
#include "routing/attemptpolicy.h"
#include "routing/callerrequest.h"

#include <boost/asio/awaitable.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http/buffer_body.hpp>
#include <boost/beast/http/message.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/string_body.hpp>

#include <memory>
#include <optional>
#include <string>

namespace oriolerill::relay::internal {

/// Serves one request of a caller: places it, relays the answer, tries again where that is allowed.
class RequestRun
{
public:
    using Request = boost::beast::http::request<boost::beast::http::string_body>;

    RequestRun(RelayContext &context, boost::beast::tcp_stream &caller, const Request &request,
            bool isKeptAlive);
    ~RequestRun();
    RequestRun(const RequestRun &) = delete;
    RequestRun &operator=(const RequestRun &) = delete;

    /// True when the caller's connection may carry a further request.
    boost::asio::awaitable<bool> run();
    /// The process ends soon: gives up what the endpoint has not answered yet.
    void expire();

private:
    using AttemptEnd = routing::AttemptEnd;
    using Parser = boost::beast::http::response_parser<boost::beast::http::buffer_body>;

    std::optional<LocalAnswer> resolve();
    boost::asio::awaitable<bool> answerOrServe();
    boost::asio::awaitable<bool> serve();
    boost::asio::awaitable<AttemptEnd> attempt(const routing::Dispatch &dispatch);
    boost::asio::awaitable<AttemptEnd> exchange(const routing::Dispatch &dispatch);
    boost::asio::awaitable<AttemptEnd> readAnswer(
            const routing::Dispatch &dispatch, const std::shared_ptr<bool> &isWritten);
    boost::asio::awaitable<AttemptEnd> relayEvents(Parser &parser, const routing::AnswerHead &head);
    boost::asio::awaitable<AttemptEnd> relayWhole(Parser &parser, const routing::AnswerHead &head);
    /// Reads the rest of an answer to another request; an end when the own answer cannot follow.
    boost::asio::awaitable<std::optional<AttemptEnd>> skipForeign(
            Parser &parser, domain::TimePoint deadline);
    boost::asio::awaitable<boost::beast::error_code> readSome(
            Parser &parser, std::string &piece, domain::TimePoint deadline);
    void releaseHeld();
    /// Now, with the time that the machine was suspended since the request arrived.
    void followConfiguration();
    domain::TimePoint callersNow();
    /// The time of the request is over, or that of the process.
    bool isOver();
    /// Makes the end of a connection without chunks a reset, which does not complete an answer.
    void resetOnClose();
    AttemptEnd endOfRead(boost::beast::error_code code) const;
    /// From the sending to an engine until it begins, the request may be withdrawn.
    void awaitBegin(const routing::Dispatch &dispatch);
    void noteBegun();
    void withdraw();
    /// Whether a further endpoint may get the request after such an end.
    bool mayTryAgain(AttemptEnd end, const routing::Dispatch &dispatch);
    boost::asio::awaitable<bool> deliverWhole();
    boost::asio::awaitable<bool> answer(LocalAnswer answer);
    /// Whether the caller's streams are chunked; otherwise they end with the connection.
    bool isChunked() const;
    boost::asio::awaitable<bool> sendEvents(std::string events);
    boost::asio::awaitable<bool> finishStream();
    LocalAnswer giveUp(AttemptEnd end) const;
    LocalAnswer refuse(const routing::Refusal &refusal);
    /// -1 without a time.
    std::int64_t msSinceArrival(std::optional<domain::TimePoint> time) const;
    void logEnd(std::string_view outcome, unsigned status);

    RelayContext &m_context;
    boost::beast::tcp_stream &m_caller;
    const Request &m_request;
    bool m_isKeptAlive;
    domain::TimePoint m_arrivedAt;
    domain::Duration m_suspendedBefore;
    /// The process stood still between the choice and the sending.
    bool m_isChoiceOutdated = false;
    std::shared_ptr<const routing::ServingConfig> m_config;
    /// In force when the endpoint was chosen; the route and the account of the query are of it.
    std::shared_ptr<const routing::ServingConfig> m_chosenConfig;
    routing::CallerRequest m_about;
    const routing::Route *m_route = nullptr;
    const routing::CallerAccount *m_account = nullptr;
    routing::DispatchQuery m_query;
    /// Set once the request's route is known.
    std::optional<routing::AttemptPolicy> m_policy;

    std::shared_ptr<EndpointConnection> m_connection;
    bool m_isCallerGone = false;
    bool m_isExpired = false;
    bool m_isStreamBegun = false;
    EventSplitter m_events;
    std::optional<std::uint64_t> m_weights;
    domain::EndpointId m_lastEndpoint;
    double m_expectedStartMs = 0;
    /// What the last choice went by: requests known to be at the endpoint, and the report's age.
    double m_busy = 0;
    std::int64_t m_reportAgeMs = -1;
    /// When the last attempt was written, and the weights that its choice went by.
    std::optional<domain::TimePoint> m_sentAt;
    std::shared_ptr<UnstartedAttempts> m_unbegun;
    std::optional<std::uint64_t> m_unbegunId;
    bool m_isWithdrawn = false;
    std::uint64_t m_servedWeights = 0;
    std::uint64_t m_newestWeights = 0;
    std::uint64_t m_requiredWeights = 0;
    std::optional<domain::TimePoint> m_firstByteAt;
    std::string m_detail;

    /// A whole answer that is ready for the caller.
    boost::beast::http::response_header<> m_answerHead;
    std::string m_answerBody;
    std::size_t m_heldBytes = 0;
    bool m_hasAnswer = false;
    bool m_isHeadRequest = false;
};

} // namespace oriolerill::relay::internal
