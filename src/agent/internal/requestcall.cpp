#include "agent/internal/requestcall.h"

#include <boost/beast/core/string.hpp>

#include <algorithm>
#include <array>
#include <string_view>
#include <utility>

namespace oriolerill::agent {

namespace asio = boost::asio;
using domain::Error;
using domain::ErrorKind;
using domain::Expected;
using domain::TimePoint;

namespace {

constexpr std::size_t PieceSize = 64U << 10U;
// Bounds the size of one order record; an object of the order log may have at most 1 MB.
constexpr std::size_t MaxOrderAnswer = 128U << 10U;
// An order continues after its caller's deadline, so that a repeat gets its answer.
constexpr auto OrderGrace = std::chrono::seconds(30);
constexpr unsigned StatusTooManyRequests = 429;
constexpr unsigned StatusServerError = 500;
constexpr unsigned StatusUnavailable = 503;

bool isSameName(std::string_view a, std::string_view b)
{
    return boost::beast::iequals({a.data(), a.size()}, {b.data(), b.size()});
}

/// True for header fields that apply to one connection only and are not forwarded.
bool isConnectionField(std::string_view name)
{
    constexpr std::array<std::string_view, 6> Names{
            "Connection", "Transfer-Encoding", "Content-Length", "Keep-Alive", "Trailer", "Host"};
    return std::any_of(Names.begin(), Names.end(),
            [name](std::string_view other) { return isSameName(name, other); });
}

transport::HttpRequest requestOf(const protocol::Attempt &attempt)
{
    transport::HttpRequest request;
    request.method = attempt.method();
    request.target = attempt.target();
    request.body = attempt.body();
    for (const protocol::Header &header : attempt.headers()) {
        if (!isConnectionField(header.name()))
            request.fields.add(header.name(), header.value());
    }
    if (attempt.resume_offset() > 0)
        request.fields.add("X-Resume-Offset", std::to_string(attempt.resume_offset()));
    request.fields.add("X-Priority", attempt.batch() ? "batch" : "interactive");
    return request;
}

template<class Message>
void copyFields(const transport::HttpFields &fields, Message &message)
{
    for (const transport::HttpField &field : fields) {
        if (isConnectionField(field.name))
            continue;
        protocol::Header &header = *message.add_headers();
        header.set_name(field.name);
        header.set_value(field.value);
    }
}

CallFailure unknown(Error error)
{
    return {protocol::OUTCOME_UNKNOWN, std::move(error)};
}

CallFailure overloaded(unsigned status)
{
    return unknown(Error{ErrorKind::Overloaded, "the endpoint answered " + std::to_string(status),
            "send it to another endpoint or later"});
}

TimePoint callDeadline(const requests::RunningAttempt &running)
{
    const bool isKeyed = !running.attempt().idempotency_key().empty();
    return running.deadline() + (isKeyed ? OrderGrace : domain::Duration::zero());
}

bool isOverload(unsigned status)
{
    return status == StatusUnavailable || status == StatusTooManyRequests;
}

} // namespace

RequestCall::RequestCall(transport::HttpClient &client, const RequestProxyOptions &options)
    : m_client(client)
    , m_endpoint(options.endpoint)
    , m_kind(options.kind)
    , m_detachedTimeout(options.detachedTimeout)
{}

asio::awaitable<RequestCall::Opened> RequestCall::open(
        const requests::RunningAttempt &running, RequestPermit &permit) const
{
    const protocol::Attempt &attempt = running.attempt();
    Opened opened;
    // The endpoint may be closing an idle connection, which would leave the outcome unknown.
    const bool needsNewConnection = !attempt.idempotent();
    bool hasSent = false;
    transport::HttpRequest request = requestOf(attempt);
    Expected<std::unique_ptr<transport::HttpExchange>> exchange = co_await m_client.open(
            m_endpoint, std::move(request), callDeadline(running), needsNewConnection, &hasSent);
    if (!exchange && hasSent && attempt.idempotent()
            && running.deadline() > TimePoint::clock::now()) {
        transport::HttpRequest retry = requestOf(attempt);
        exchange = co_await m_client.open(m_endpoint, std::move(retry), running.deadline(), true);
    }
    if (!exchange) {
        permit.settleFailed();
        opened.failure.outcome = hasSent ? protocol::OUTCOME_UNKNOWN : protocol::OUTCOME_NOT_RUN;
        opened.failure.error = exchange.error();
        co_return opened;
    }
    opened.exchange = std::move(*exchange);
    co_return opened;
}

CallFailure RequestCall::checkHead(const protocol::Attempt &attempt, const RequestPermit &permit,
        const transport::HttpResponseHead &head) const
{
    if (attempt.idempotent() && isOverload(head.status))
        return overloaded(head.status);
    if (!isEngine())
        return {};
    if (head.status >= StatusServerError)
        return overloaded(head.status);
    const std::string weights = head.fields.valueOr("X-Weights-Digest", "");
    const bool isPinned = !attempt.required_digest().empty();
    if (isPinned && weights != permit.gateState().activeDigest.hex()) {
        return unknown(Error{ErrorKind::Conflict, "the engine answers from other weights",
                "wait until the engine has loaded the wanted weights"});
    }
    return {};
}

asio::awaitable<CallFailure> RequestCall::streamBody(requests::RunningAttempt &running,
        RequestPermit &permit, transport::HttpExchange &exchange) const
{
    for (;;) {
        Expected<std::string> piece = co_await exchange.read(PieceSize, running.deadline());
        if (!piece)
            co_return unknown(piece.error());
        if (piece->empty())
            break;
        co_await running.append(std::move(*piece));
        const bool isDetached
                = running.isDetachedSince(TimePoint::clock::now() - m_detachedTimeout);
        if (isDetached && running.attempt().idempotent()) {
            co_return unknown(Error{ErrorKind::Cancelled, "nobody reads the answer any more",
                    "send the request again"});
        }
    }
    if (isEngine() && !permit.isSameEpoch()) {
        co_return unknown(Error{ErrorKind::Conflict, "the weights changed during the answer",
                "send the request again"});
    }
    co_return CallFailure();
}

asio::awaitable<CallFailure> RequestCall::stream(
        requests::RunningAttempt &running, RequestPermit &permit) const
{
    const TimePoint startedAt = TimePoint::clock::now();
    Opened opened = co_await open(running, permit);
    if (!opened.exchange)
        co_return opened.failure;
    const transport::HttpResponseHead &head = opened.exchange->head();
    CallFailure headFailure = checkHead(running.attempt(), permit, head);
    if (headFailure.outcome != protocol::OUTCOME_ANSWERED) {
        permit.settleFailed();
        co_return headFailure;
    }
    const domain::Duration latency = TimePoint::clock::now() - startedAt;
    protocol::AnswerHead answerHead;
    answerHead.set_status(head.status);
    answerHead.set_active_digest(isEngine() ? permit.gateState().activeDigest.bytes() : "");
    copyFields(head.fields, answerHead);
    running.setHead(std::move(answerHead));
    CallFailure failure = co_await streamBody(running, permit, *opened.exchange);
    if (failure.outcome == protocol::OUTCOME_ANSWERED && !isOverload(head.status))
        permit.settleAnswered(latency);
    else
        permit.settleFailed();
    co_return failure;
}

asio::awaitable<CallFailure> RequestCall::callOrder(requests::RunningAttempt &running,
        RequestPermit &permit, protocol::OrderRecord &result) const
{
    const TimePoint startedAt = TimePoint::clock::now();
    Opened opened = co_await open(running, permit);
    if (!opened.exchange)
        co_return opened.failure;
    result.set_status(opened.exchange->head().status);
    copyFields(opened.exchange->head().fields, result);
    const domain::Duration latency = TimePoint::clock::now() - startedAt;
    for (;;) {
        Expected<std::string> piece
                = co_await opened.exchange->read(PieceSize, callDeadline(running));
        if (!piece || result.body().size() + piece->size() > MaxOrderAnswer) {
            permit.settleFailed();
            co_return unknown(piece ? Error{ErrorKind::TooLarge,
                                      "the order ran, but its answer is too large to be kept",
                                      "look up the order"}
                                    : piece.error());
        }
        if (piece->empty())
            break;
        result.mutable_body()->append(*piece);
    }
    permit.settleAnswered(latency);
    co_return CallFailure();
}

} // namespace oriolerill::agent
