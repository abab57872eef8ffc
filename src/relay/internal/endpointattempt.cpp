#include "relay/internal/endpointattempt.h"

#include "observability/log.h"
#include "platform/callercodec.h"
#include "relay/internal/answernotices.h"
#include "relay/internal/crashnotices.h"
#include "relay/internal/streambuffer.h"
#include "transport/httpmessage.h"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/span_body.hpp>
#include <boost/beast/http/write.hpp>

#include <algorithm>
#include <iterator>
#include <utility>

namespace oriolerill::relay::internal {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;
using domain::TimePoint;
using observability::logEvent;
using observability::Severity;
using routing::AttemptEnd;
using std::chrono::milliseconds;

namespace {

constexpr auto UseTuple = asio::as_tuple(asio::use_awaitable);
/// For a connection whose endpoint states no Keep-Alive timeout.
constexpr auto DefaultIdleTimeout = milliseconds(3000);
/// Subtracted from the endpoint's Keep-Alive timeout, so that the endpoint does not close the
/// connection while a request is being sent.
constexpr auto IdleMargin = milliseconds(700);
/// Answers other than streams are buffered until they are complete; larger ones count as lost.
constexpr std::size_t MaxBufferedAnswerBytes = 16U << 20U;
/// Limit of one event of a stream; an event is buffered until it is complete.
constexpr std::size_t MaxEventBytes = 1U << 20U;
constexpr std::size_t ReadSize = StreamBuffer::MaxRead;
/// A process that accepts no connection within this time may still run behind a slow link.
constexpr auto CrashCheckTimeout = milliseconds(300);
/// A late answer to an earlier request may arrive before the expected one.
constexpr int MaxForeignAnswers = 2;

/// Callers take these statuses to mean that the request was not run, which only an endpoint may
/// state.
bool impliesNotRun(unsigned status)
{
    constexpr unsigned NotRunStatuses[] = {408, 421, 429, 503};
    return std::find(std::begin(NotRunStatuses), std::end(NotRunStatuses), status)
            != std::end(NotRunStatuses);
}

} // namespace

EndpointAttempt::EndpointAttempt(std::shared_ptr<RequestState> request, AttemptChoice choice,
        std::optional<DeliveredStream> delivered)
    : m_request(std::move(request))
    , m_context(m_request->context)
    , m_choice(std::move(choice))
    , m_delivered(std::move(delivered))
    , m_share(m_context.bufferedAnswers)
    , m_unstarted(m_context.unstarted)
{
    if (m_delivered) {
        m_events = m_delivered->events;
        m_events.discardPartialEvent();
        m_eventsBefore = m_events.eventCount();
    }
    const TimePoint now = TimePoint::clock::now();
    const routing::EndpointLoad &load = m_context.dispatcher.load(dispatch().endpoint);
    m_occupancy = load.occupancy(now);
    if (load.hasFreshReport(now))
        m_reportAgeMs = std::chrono::duration_cast<milliseconds>(load.reportAge(now)).count();
}

EndpointAttempt::~EndpointAttempt()
{
    markStarted();
}

asio::awaitable<std::optional<AttemptEnd>> EndpointAttempt::begin()
{
    const std::optional<AttemptEnd> end = co_await exchange();
    if (end && m_sentAt) {
        markStarted();
        m_request->policy->onEnd(*end);
        if (m_connection && !routing::isCompleteAnswer(*end))
            m_connection->cancelRequest();
    }
    if (end == AttemptEnd::Lost && m_isConnectionLost && !m_hasBegun)
        co_await checkForCrash();
    co_return end;
}

asio::awaitable<std::optional<AttemptEnd>> EndpointAttempt::exchange()
{
    const TimePoint chosenAt = m_request->nowWithSuspension();
    if (const auto end = co_await connect())
        co_return end;
    const TimePoint sendAt = m_request->nowWithSuspension();
    if (m_request->isPastDeadline())
        co_return AttemptEnd::NotSent;
    // After a suspension or a long delay of this process the choice is too old: the endpoint may be
    // leaving, cold or switching by now. Another configuration may have other allowed regions.
    const bool isConfigurationOutdated = m_context.dispatcher.config() != m_choice.config;
    const bool isVersionOutdated = dispatch().servedWeights > 0
            && m_context.dispatcher.weights().requiredVersion(
                       m_request->caller.model, TimePoint::clock::now())
                    > dispatch().servedWeights;
    const bool isEndpointGone
            = !m_context.dispatcher.mayStillTake(dispatch(), TimePoint::clock::now());
    if (isConfigurationOutdated || isVersionOutdated || isEndpointGone
            || m_request->policy->isChoiceOutdated(sendAt - chosenAt)) {
        m_isChoiceOutdated = true;
        m_detail = "the choice is out of date";
        co_return AttemptEnd::NotSent;
    }
    send();
    co_return co_await readBegin();
}

asio::awaitable<std::optional<AttemptEnd>> EndpointAttempt::connect()
{
    const TimePoint now = TimePoint::clock::now();
    // Without an id, a late copy of an earlier answer cannot be distinguished from the answer to
    // this request.
    const bool mayReuse = !m_request->caller.id.isEmpty();
    if (mayReuse) {
        m_connection = m_context.connections.acquireIdle(
                dispatch().endpoint, m_request->caller.id, m_request->policy->maxIdleTime(), now);
    }
    if (m_connection)
        co_return std::nullopt;
    auto connection = co_await m_context.connections.connect(
            dispatch().address, m_request->policy->connectDeadline(now));
    if (!connection) {
        m_detail = connection.error().message;
        co_return AttemptEnd::NotSent;
    }
    m_connection = *connection;
    if (m_cancelledAs)
        co_return AttemptEnd::NotSent;
    co_return std::nullopt;
}

void EndpointAttempt::send()
{
    m_sentAt = TimePoint::clock::now();
    m_context.dispatcher.onSent(dispatch(), *m_sentAt);
    routing::DispatchHead head;
    head.endpoint = dispatch().endpoint;
    domain::Duration timeLeft = m_request->policy->deadline() - m_request->nowWithSuspension();
    if (dispatch().stopAt)
        timeLeft = std::min<domain::Duration>(timeLeft, *dispatch().stopAt - *m_sentAt);
    head.timeLeft = std::max(std::chrono::duration_cast<milliseconds>(timeLeft), milliseconds(1));
    head.account = m_request->account;
    head.weightsVersion = dispatch().weightsVersion;
    head.urgency = dispatch().urgency;
    if (m_delivered && !m_events.lastEventId().empty())
        head.lastEventId = m_events.lastEventId();
    const HeldRequest::Message &message = m_request->held->message;
    const auto request = std::make_shared<const http::request<http::span_body<const char>>>(
            platform::endpointRequest(message, message.body(), head));
    m_connection->stream.expires_at(m_request->policy->lastAnswerAt());
    // The answer is read while the request is written: an endpoint may answer before it has read a
    // long body. The handler owns the buffers of the write.
    m_write = std::make_shared<RequestWrite>(m_connection->stream.get_executor());
    http::async_write(m_connection->stream, *request,
            [held = m_request->held, request, write = m_write, connection = m_connection](
                    beast::error_code code, std::size_t /*size*/) { write->onEnded(code); });
    m_connection->hasAnswerBegun = false;
    m_connection->recordRequest(m_request->caller.id);
    m_request->policy->onSent();
    m_beginDeadline = m_request->policy->firstByteDeadline(dispatch().expectedStartMs, *m_sentAt);
    m_expectedAt = m_request->policy->latestExpectedStart(dispatch().expectedStartMs, *m_sentAt);
    trackUnstarted();
}

void EndpointAttempt::trackUnstarted()
{
    // Zero only for services without engines: an engine of unknown version is never chosen.
    if (dispatch().servedWeights > 0) {
        m_unstartedId = m_unstarted->add(
                {m_request->caller.model, dispatch().servedWeights, [this] { withdraw(); }});
    }
}

void EndpointAttempt::markStarted()
{
    if (m_unstartedId)
        m_unstarted->remove(*m_unstartedId);
    m_unstartedId.reset();
}

void EndpointAttempt::withdraw()
{
    m_unstartedId.reset();
    const TimePoint now = TimePoint::clock::now();
    const auto beginDeadline = m_context.dispatcher.weights().beginDeadline(
            m_request->caller.model, dispatch().servedWeights);
    const domain::Duration delay = beginDeadline ? now - *beginDeadline : domain::Duration::zero();
    m_context.metrics.increment("oriolerill_relay_withdrawn_total");
    m_context.metrics.observe("oriolerill_relay_withdrawal_delay_seconds",
            std::chrono::duration<double>(delay).count());
    logEvent(Severity::Info, "attempt_withdrawn",
            {{"request", m_request->caller.id.value()}, {"endpoint", dispatch().endpoint.value()},
                    {"weights", dispatch().servedWeights},
                    {"delay_ms", std::chrono::duration_cast<milliseconds>(delay).count()}});
    m_context.withdrawnQueues.onWithdrawn(dispatch().endpoint, m_context.dispatcher, now);
    // The bound of the version allows no wait for another endpoint to begin.
    cancel(AttemptEnd::Withdrawn);
}

void EndpointAttempt::cancel(AttemptEnd as)
{
    if (!m_cancelledAs)
        m_cancelledAs = as;
    // Closing the connection cancels the request at the endpoint.
    if (m_connection)
        m_connection->cancelRequest();
}

void EndpointAttempt::markSilent()
{
    if (!m_isFinished && !std::exchange(m_isSilent, true))
        m_context.dispatcher.load(dispatch().endpoint).onFailure(TimePoint::clock::now());
}

void EndpointAttempt::markBegun(const routing::AnswerHead &head)
{
    if (std::exchange(m_hasBegun, true) || !head.isSuccess())
        return;
    applyAnswerBegun(m_context, m_request->caller.traits,
            head.weightsVersion.value_or(dispatch().servedWeights));
}

/// A lost connection alone is no crash: the endpoint may have closed it, or something between the
/// two ends. After a crash the endpoint's address refuses connections.
asio::awaitable<void> EndpointAttempt::checkForCrash()
{
    const auto &traits = m_request->caller.traits;
    const TimePoint lostAt = TimePoint::clock::now();
    if (!m_context.dispatcher.crashes().hasUnanswered(traits, dispatch().servedWeights, lostAt))
        co_return;
    const bool isDown = co_await m_context.connections.isRefusing(
            dispatch().address, lostAt + CrashCheckTimeout);
    if (!isDown)
        co_return;
    applyCrash(m_context,
            {{dispatch().endpoint, dispatch().startedAtMs}, m_request->caller.id, traits,
                    dispatch().servedWeights, lostAt});
}

AttemptEnd EndpointAttempt::endForReadError(beast::error_code code)
{
    m_isConnectionLost = code != beast::error::timeout;
    if (m_cancelledAs)
        return *m_cancelledAs;
    if (code == beast::error::timeout && TimePoint::clock::now() >= m_request->policy->deadline())
        return AttemptEnd::TimedOut;
    return AttemptEnd::Lost;
}

asio::awaitable<std::optional<AttemptEnd>> EndpointAttempt::readBegin()
{
    for (int foreign = 0; foreign <= MaxForeignAnswers; ++foreign) {
        m_parser.emplace();
        m_parser->body_limit(boost::none);
        m_parser->skip(m_request->isHeadRequest);
        m_connection->stream.expires_at(m_request->policy->lastAnswerAt());
        auto [code, size] = co_await http::async_read_header(
                m_connection->stream, m_connection->buffer, *m_parser, UseTuple);
        if (code) {
            m_detail = "awaiting the answer: " + code.message();
            co_return endForReadError(code);
        }
        m_connection->hasAnswerBegun = true;
        const unsigned status = m_parser->get().result_int();
        if (!transport::isValidStatus(status)) {
            m_detail = "received the invalid status " + std::to_string(status);
            co_return AttemptEnd::Lost;
        }
        constexpr unsigned FirstFinalStatus = 200;
        if (status < FirstFinalStatus)
            continue;
        const routing::AnswerHead head = platform::readAnswerHead(m_parser->get());
        if (head.hasSecondHead) {
            m_detail = "the head of an answer is truncated and contains another answer";
            co_return AttemptEnd::Lost;
        }
        applyNotices(m_context, head,
                {{dispatch().endpoint, dispatch().startedAtMs}, m_request->caller.id, *m_sentAt});
        if (head.id != m_request->caller.id) {
            const auto discardEnd = co_await discardForeignAnswer();
            if (discardEnd)
                co_return *discardEnd;
            continue;
        }
        m_status = head.status;
        m_keepAlive = head.keepAlive;
        m_isStream = head.isEventStream && head.isSuccess() && head.isSigned;
        if (head.load) {
            m_context.dispatcher.load(dispatch().endpoint)
                    .onAnswerLoad(*head.load, TimePoint::clock::now());
            if (head.isSuccess()) {
                m_context.dispatcher.onAnswerLoad(
                        dispatch(), *head.load, *m_sentAt, TimePoint::clock::now());
            }
        }
        // An answer that is not a stream is sent after the request was run or refused, so the
        // attempt cannot be withdrawn any more.
        if (!m_isStream)
            markStarted();
        m_context.dispatcher.onAnswerBegun(dispatch(), *m_sentAt, TimePoint::clock::now());
        if (m_isStream)
            co_return co_await beginStream(head);
        co_return co_await readPlain(head);
    }
    m_detail = "received only answers to other requests";
    co_return AttemptEnd::Lost;
}

asio::awaitable<std::optional<AttemptEnd>> EndpointAttempt::discardForeignAnswer()
{
    std::string received;
    std::size_t discardedBytes = 0;
    while (!m_parser->is_done()) {
        const beast::error_code code = co_await readSome(received);
        discardedBytes += received.size();
        if (code) {
            m_detail = "reading an answer to another request: " + code.message();
            co_return endForReadError(code);
        }
        if (discardedBytes > MaxBufferedAnswerBytes) {
            m_detail = "an answer to another request is too large";
            co_return AttemptEnd::Lost;
        }
    }
    if (m_parser->keep_alive())
        co_return std::nullopt;
    m_detail = "the answer belongs to another request";
    co_return AttemptEnd::Lost;
}

asio::awaitable<beast::error_code> EndpointAttempt::readSome(std::string &received)
{
    received.resize(ReadSize);
    auto &body = m_parser->get().body();
    body.data = received.data();
    body.size = received.size();
    body.more = true;
    m_connection->stream.expires_at(m_request->policy->lastAnswerAt());
    auto [code, size] = co_await http::async_read_some(
            m_connection->stream, m_connection->buffer, *m_parser, UseTuple);
    received.resize(ReadSize - body.size);
    if (code == http::error::need_buffer)
        code = {};
    if (!code && m_parser->is_done() && m_parser->need_eof() && !co_await isEndStated())
        code = asio::error::connection_reset;
    co_return code;
}

/// The kernel reports the error of a connection once. A write of the request that is still going on
/// may take it, and the read then sees a plain end.
asio::awaitable<bool> EndpointAttempt::isEndStated()
{
    if (!m_write->hasEnded() && m_connection->isEndReceived())
        co_return true;
    const beast::error_code code = co_await m_write->waitForEnd();
    // A reset that follows the end of the answer fails the write with this error instead of
    // connection_reset.
    co_return !code || code == asio::error::broken_pipe;
}

asio::awaitable<std::optional<AttemptEnd>> EndpointAttempt::beginStream(
        const routing::AnswerHead &head)
{
    if (m_delivered && m_delivered->weights && head.weightsVersion
            && m_delivered->weights != head.weightsVersion) {
        m_detail = "the endpoint continues with another version of the weights";
        co_return AttemptEnd::Lost;
    }
    m_answer = EndpointAnswer{dispatch().endpoint, head.weightsVersion,
            platform::callerAnswerHead(m_parser->get()), {}};
    if (m_request->isHeadRequest)
        co_return std::nullopt;
    // The head counts as progress.
    m_expectedAt = m_request->policy->nextEventDeadline(TimePoint::clock::now());
    m_beginDeadline = std::max(m_beginDeadline, m_expectedAt);
    m_first = co_await readEvents();
    if (m_first.end && m_first.events.empty())
        co_return m_first.end;
    if (!m_first.events.empty())
        markBegun(head);
    co_return std::nullopt;
}

asio::awaitable<EndpointAttempt::EventRead> EndpointAttempt::readEvents()
{
    std::string received;
    while (!m_parser->is_done()) {
        const beast::error_code code = co_await readSome(received);
        EventRead read;
        if (!received.empty()) {
            markStarted();
            read.events = m_events.feed(received);
        }
        const std::size_t partialSize = m_events.partialEvent().size();
        if (!m_share.tryResize(domain::Bytes(partialSize)) || partialSize > MaxEventBytes) {
            m_detail = "an event of the stream is too large to be buffered";
            read.end = AttemptEnd::Lost;
        } else if (code) {
            m_detail = "reading events: " + code.message();
            read.end = endForReadError(code);
        } else if (m_parser->is_done()) {
            read.end = endOfStream();
            read.isLast = !read.end;
        }
        if (read.end) {
            m_events.discardPartialEvent();
            m_share.tryResize(domain::Bytes(0));
        }
        // Only complete events count as progress.
        if (!read.events.empty() || read.isLast || read.end)
            co_return read;
    }
    const std::optional<AttemptEnd> end = endOfStream();
    co_return EventRead{{}, !end, end};
}

std::optional<AttemptEnd> EndpointAttempt::endOfStream()
{
    if (!m_events.partialEvent().empty()) {
        m_detail = "the stream ended within an event";
        return AttemptEnd::Lost;
    }
    // Without a length or chunks, a connection lost after the head looks like a complete stream.
    if (m_parser->need_eof() && m_events.eventCount() == m_eventsBefore) {
        m_isConnectionLost = true;
        m_detail = "the stream ended without an event";
        return AttemptEnd::Lost;
    }
    return std::nullopt;
}

asio::awaitable<std::optional<AttemptEnd>> EndpointAttempt::readPlain(
        const routing::AnswerHead &head)
{
    const bool isUnsigned = head.isSuccess() && !head.isSigned;
    if (!head.isNotRun && (impliesNotRun(head.status) || isUnsigned || m_delivered)) {
        // The body of an unusable answer is not read, as it may be endless.
        m_detail = "unusable answer with status " + std::to_string(head.status);
        co_return AttemptEnd::Lost;
    }
    std::string body;
    std::string received;
    while (!m_parser->is_done()) {
        const beast::error_code code = co_await readSome(received);
        body += received;
        const bool isWithinLimit = m_share.tryResize(domain::Bytes(body.size()));
        if (code) {
            m_detail = "reading the answer: " + code.message();
            co_return endForReadError(code);
        }
        if (body.size() > MaxBufferedAnswerBytes || !isWithinLimit) {
            m_detail = "the answer is too large to be buffered";
            co_return AttemptEnd::Lost;
        }
    }
    if (head.isNotRun) {
        m_detail = "refused with " + std::to_string(head.status);
        releaseConnection();
        co_return AttemptEnd::NotRun;
    }
    markBegun(head);
    m_answer = EndpointAnswer{dispatch().endpoint, head.weightsVersion,
            platform::callerAnswerHead(m_parser->get()), std::move(body)};
    releaseConnection();
    constexpr unsigned ServerError = 500;
    if (head.status >= ServerError) {
        m_detail = "failed with " + std::to_string(head.status);
        co_return AttemptEnd::FailedAnswer;
    }
    co_return std::nullopt;
}

void EndpointAttempt::releaseConnection()
{
    if (m_parser->keep_alive() && m_write->isComplete() && !m_cancelledAs) {
        const domain::Duration idle = m_keepAlive
                ? std::max<domain::Duration>(*m_keepAlive - IdleMargin, milliseconds(100))
                : DefaultIdleTimeout;
        m_context.connections.returnToPool(dispatch().endpoint, m_connection, idle,
                m_context.dispatcher.maxIdleConnections(m_choice.service), TimePoint::clock::now());
    } else if (!m_write->isComplete()) {
        // The endpoint has answered before it has read all of the request; the pending write would
        // hold the body until the deadline.
        m_connection->cancelRequest();
    }
    // Another request may use the connection from now on; a caller that disconnects during the
    // delivery must not close it.
    m_connection.reset();
}

void EndpointAttempt::finish(AttemptEnd end)
{
    if (m_isFinished)
        return;
    markStarted();
    const TimePoint now = TimePoint::clock::now();
    routing::EndpointLoad &load = m_context.dispatcher.load(dispatch().endpoint);
    // An attempt that was cancelled, or whose choice was outdated, is no failure of the endpoint.
    const bool isEndpointFault = !m_cancelledAs && !m_isChoiceOutdated;
    if (m_sentAt)
        m_context.dispatcher.onEnded(dispatch(), *m_sentAt, now);
    else
        m_context.dispatcher.onNotSent(dispatch());
    switch (end) {
    case AttemptEnd::Delivered:
        load.onSuccess();
        break;
    case AttemptEnd::FailedAnswer:
        load.onFailedAnswer();
        break;
    case AttemptEnd::NotRun:
        load.onRefused(now);
        break;
    case AttemptEnd::NotSent:
    case AttemptEnd::Lost:
        if (isEndpointFault && !m_isSilent)
            load.onFailure(now);
        break;
    case AttemptEnd::Withdrawn:
    case AttemptEnd::CallerDisconnected:
    case AttemptEnd::TimedOut:
    case AttemptEnd::Superseded:
        break;
    }
    if (end == AttemptEnd::Delivered && m_isStream && m_connection && m_parser->is_done())
        releaseConnection();
    else if (m_connection && !routing::isCompleteAnswer(end))
        m_connection->cancelRequest();
    m_connection.reset();
    m_isFinished = true;
    if (end == AttemptEnd::Delivered)
        return;
    logEvent(Severity::Info, "attempt_ended",
            {{"request", m_request->caller.id.value()}, {"endpoint", dispatch().endpoint.value()},
                    {"end", toString(end)}, {"status", m_status}, {"begun", m_hasBegun ? 1 : 0},
                    {"silent", m_isSilent ? 1 : 0}, {"traits", toText(m_request->caller.traits)},
                    {"detail", m_detail}, {"busy", load.occupancy(now)},
                    {"report_age_ms", m_reportAgeMs},
                    {"sent_ms", m_request->msSinceArrival(m_sentAt)},
                    {"begin_by_ms", m_request->msSinceArrival(dispatch().beginDeadline)},
                    {"weights", dispatch().servedWeights},
                    {"newest_weights", dispatch().newestWeights},
                    {"required_weights", dispatch().requiredWeights}});
}

} // namespace oriolerill::relay::internal
