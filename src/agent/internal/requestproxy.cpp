#include "agent/internal/requestproxy.h"

#include "agent/internal/requestcall.h"
#include "agent/internal/requestorders.h"
#include "agent/internal/requestpermit.h"
#include "requests/attempthost.h"

#include <boost/asio/steady_timer.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <utility>

namespace oriolerill::agent {

namespace asio = boost::asio;
using domain::Error;
using domain::ErrorKind;
using domain::TimePoint;
using requests::RunningAttempt;

namespace {

constexpr auto RefusalRetryDelay = std::chrono::milliseconds(100);

requests::AttemptHostOptions hostOptions(const RequestProxyOptions &options)
{
    requests::AttemptHostOptions host;
    host.heartbeatInterval = options.heartbeatInterval;
    host.maxBufferedBytes = options.maxBufferedBytes;
    return host;
}

} // namespace

class RequestProxy::Implementation : public std::enable_shared_from_this<Implementation>
{
public:
    Implementation(const asio::any_io_executor &executor, rollout::IEngineGate &gate,
            const config::IConfigView &configView, transport::HttpClient &client,
            requests::IOrderLog *orderLog, RequestProxyOptions options)
        : m_options(std::move(options))
        , m_gate(gate)
        , m_configView(configView)
        , m_limiter(configView, m_options.service)
        , m_call(client, m_options)
        , m_orders(executor, configView, orderLog, m_options)
        , m_host(executor, m_options.incarnation, hostOptions(m_options))
    {}

    asio::awaitable<void> handle(transport::HttpServerExchange &exchange);
    /// Number of order records that are not written to the log yet.
    std::size_t unwritten() const { return m_orders.unwritten(); }
    requests::AttemptHost &host() { return m_host; }
    const RequestLimiter &limiter() const { return m_limiter; }

private:
    asio::awaitable<void> run(std::shared_ptr<RunningAttempt> running);
    asio::awaitable<void> runCall(std::shared_ptr<RunningAttempt> running);
    asio::awaitable<void> runOrder(std::shared_ptr<RunningAttempt> running);
    asio::awaitable<void> deliver(RunningAttempt &running, protocol::OrderRecord result) const;
    void finishAnswered(RunningAttempt &running) const;
    std::optional<Error> refusalOf(const protocol::Attempt &attempt) const;
    void refuse(RunningAttempt &running, const Error &error) const;

    RequestProxyOptions m_options;
    rollout::IEngineGate &m_gate;
    const config::IConfigView &m_configView;
    RequestLimiter m_limiter;
    RequestCall m_call;
    RequestOrders m_orders;
    requests::AttemptHost m_host;
};

asio::awaitable<void> RequestProxy::Implementation::handle(transport::HttpServerExchange &exchange)
{
    protocol::Attempt attempt;
    if (!attempt.ParseFromString(exchange.request().body) || attempt.request_id().empty()) {
        const Error error{ErrorKind::InvalidInput, "the body is not an attempt",
                "send a serialized Attempt with a request id"};
        co_await exchange.respond(transport::errorResponse(error));
        co_return;
    }
    transport::HttpResponseHead head;
    head.fields.add("Content-Type", "application/octet-stream");
    const domain::Expected<domain::Done> started = co_await exchange.start(std::move(head));
    if (!started)
        co_return;
    requests::AttemptHost::Write write
            = [&exchange](std::string bytes) { return exchange.write(std::move(bytes)); };
    requests::AttemptHost::Runner runner
            = [self = shared_from_this()](std::shared_ptr<RunningAttempt> running) {
                  return self->run(std::move(running));
              };
    co_await m_host.serve(std::move(attempt), std::move(write), std::move(runner));
    co_await exchange.finish({});
}

std::optional<Error> RequestProxy::Implementation::refusalOf(const protocol::Attempt &attempt) const
{
    if (attempt.service() != m_options.service.value()) {
        return Error{ErrorKind::NotFound, "this endpoint does not serve " + attempt.service(),
                "refresh the view of the endpoints"};
    }
    if (m_configView.snapshot()->isWithdrawn(m_options.dataCentre)) {
        return Error{ErrorKind::Unavailable, "the data centre is withdrawn",
                "send it to another data centre"};
    }
    return std::nullopt;
}

void RequestProxy::Implementation::refuse(RunningAttempt &running, const Error &error) const
{
    running.fail(protocol::OUTCOME_NOT_RUN, error, RefusalRetryDelay, m_limiter.load());
}

asio::awaitable<void> RequestProxy::Implementation::run(std::shared_ptr<RunningAttempt> running)
{
    if (const std::optional<Error> refusal = refusalOf(running->attempt())) {
        refuse(*running, *refusal);
        co_return;
    }
    const protocol::Attempt &attempt = running->attempt();
    if (!attempt.idempotent() && !attempt.idempotency_key().empty())
        co_await runOrder(std::move(running));
    else
        co_await runCall(std::move(running));
}

asio::awaitable<void> RequestProxy::Implementation::runOrder(
        std::shared_ptr<RunningAttempt> running)
{
    const bool hasRoom = m_gate.state().isOpen && m_limiter.hasRoom(running->attempt().batch());
    const requests::OrderDecision decision = co_await m_orders.decide(*running, hasRoom);
    if (const auto *answer = std::get_if<requests::RecordedAnswer>(&decision)) {
        co_await deliver(*running, answer->result);
        co_return;
    }
    if (const auto *refusal = std::get_if<requests::RefuseOrder>(&decision)) {
        running->fail(refusal->outcome, refusal->error, refusal->retryAfter, m_limiter.load());
        co_return;
    }
    OrderRun order(m_orders, running->attempt());
    RequestPermit permit(m_gate, m_limiter);
    if (!permit.tryEnter(running->attempt())) {
        order.end(protocol::OUTCOME_NOT_RUN, {});
        refuse(*running, permit.refusal());
        co_return;
    }
    protocol::OrderRecord result;
    const CallFailure failure = co_await m_call.callOrder(*running, permit, result);
    order.end(failure.outcome, result);
    if (failure.outcome == protocol::OUTCOME_ANSWERED)
        co_await deliver(*running, std::move(result));
    else
        running->fail(failure.outcome, failure.error, RefusalRetryDelay, m_limiter.load());
}

asio::awaitable<void> RequestProxy::Implementation::deliver(
        RunningAttempt &running, protocol::OrderRecord result) const
{
    protocol::AnswerHead head;
    head.set_status(result.status());
    *head.mutable_headers() = result.headers();
    running.setHead(std::move(head));
    co_await running.append(std::move(*result.mutable_body()));
    finishAnswered(running);
}

void RequestProxy::Implementation::finishAnswered(RunningAttempt &running) const
{
    protocol::AnswerEnd end;
    end.set_outcome(protocol::OUTCOME_ANSWERED);
    *end.mutable_load() = m_limiter.load();
    running.finish(std::move(end));
}

asio::awaitable<void> RequestProxy::Implementation::runCall(std::shared_ptr<RunningAttempt> running)
{
    RequestPermit permit(m_gate, m_limiter);
    if (!permit.tryEnter(running->attempt())) {
        refuse(*running, permit.refusal());
        co_return;
    }
    const CallFailure failure = co_await m_call.stream(*running, permit);
    if (failure.outcome != protocol::OUTCOME_ANSWERED) {
        running->fail(failure.outcome, failure.error, RefusalRetryDelay, m_limiter.load());
        co_return;
    }
    finishAnswered(*running);
}

RequestProxy::RequestProxy(const asio::any_io_executor &executor, rollout::IEngineGate &gate,
        const config::IConfigView &configView, transport::HttpClient &client,
        requests::IOrderLog *orderLog, RequestProxyOptions options)
    : m_implementation(std::make_shared<Implementation>(
            executor, gate, configView, client, orderLog, std::move(options)))
{}

RequestProxy::~RequestProxy() = default;

asio::awaitable<void> RequestProxy::handle(transport::HttpServerExchange &exchange)
{
    return m_implementation->handle(exchange);
}

asio::awaitable<void> RequestProxy::drain(TimePoint deadline)
{
    constexpr auto PollInterval = std::chrono::milliseconds(10);
    const std::shared_ptr<Implementation> implementation = m_implementation;
    implementation->host().close();
    const auto executor = co_await asio::this_coro::executor;
    asio::steady_timer timer(executor);
    while ((implementation->host().active() > 0 || implementation->unwritten() > 0)
            && TimePoint::clock::now() < deadline) {
        timer.expires_after(PollInterval);
        co_await timer.async_wait(asio::use_awaitable);
    }
}

std::size_t RequestProxy::active() const
{
    return m_implementation->host().active();
}

RequestProxyLoad RequestProxy::load() const
{
    const protocol::Load load = m_implementation->limiter().load();
    return {load.in_flight(), load.limit(), m_implementation->limiter().latency()};
}

} // namespace oriolerill::agent
