#include "entry/internal/callerforward.h"

#include "entry/internal/callerrequest.h"
#include "requests/runningattempt.h"
#include "routing/slotowner.h"

#include <utility>

namespace oriolerill::entry {

namespace asio = boost::asio;
using domain::Done;
using domain::Error;
using domain::ErrorKind;
using domain::Expected;
using domain::TimePoint;
using requests::RunningAttempt;

namespace {

constexpr auto RefusalRetryDelay = std::chrono::milliseconds(500);

/// Writes the endpoint's answer into the attempt that the other entry reads.
class ForwardSink : public IAttemptSink
{
public:
    explicit ForwardSink(RunningAttempt &running)
        : m_running(running)
    {}

    asio::awaitable<Expected<Done>> head(protocol::AnswerHead head) override
    {
        m_running.setHead(std::move(head));
        co_return Done{};
    }

    asio::awaitable<Expected<Done>> data(std::string data) override
    {
        co_await m_running.append(std::move(data));
        co_return Done{};
    }

private:
    RunningAttempt &m_running;
};

RouteQuery queryOf(const protocol::Attempt &attempt, const config::Service &service)
{
    RouteQuery query;
    query.service = service.id;
    query.isForwarded = true;
    query.isModel = service.kind == config::ServiceKind::Model;
    query.digest = domain::Digest::fromBytes(attempt.required_digest()).value_or(domain::Digest());
    if (query.isModel)
        query.affinity = promptPrefixHash(attempt.body());
    if (!attempt.idempotent() && !attempt.idempotency_key().empty()) {
        query.slot = routing::orderSlot(domain::AccountId(attempt.account()),
                domain::IdempotencyKey(attempt.idempotency_key()), service.ledgerSlots);
    }
    return query;
}

Expected<Route> chooseRoute(CallerContext &context, const protocol::Attempt &attempt)
{
    const auto configuration = context.configView.snapshot();
    const auto membership = context.membershipView.snapshot();
    const auto service = configuration->services.find(domain::ServiceId(attempt.service()));
    if (service == configuration->services.end()) {
        return Error{ErrorKind::NotFound, "the service is unknown here",
                "send the request again after Retry-After"};
    }
    const RouteQuery query = queryOf(attempt, service->second);
    return context.router.choose(query, *configuration, *membership, TimePoint::clock::now());
}

asio::awaitable<void> run(
        std::shared_ptr<CallerContext> context, std::shared_ptr<RunningAttempt> running)
{
    const Expected<Route> route = chooseRoute(*context, running->attempt());
    if (!route) {
        running->fail(protocol::OUTCOME_NOT_RUN, route.error(), RefusalRetryDelay, {});
        co_return;
    }
    protocol::Attempt attempt = running->attempt();
    if (attempt.required_digest().empty() && !route->digest.isNone())
        attempt.set_required_digest(route->digest.bytes());
    ForwardSink sink(*running);
    context->router.started(*route);
    AttemptResult result = co_await context->attemptClient.run(
            route->target, std::move(attempt), running->deadline(), sink);
    context->router.finished(*route, result, TimePoint::clock::now());
    if (result.outcome != protocol::OUTCOME_ANSWERED) {
        running->fail(result.outcome, result.error, result.retryAfter, {});
        co_return;
    }
    protocol::AnswerEnd end;
    end.set_outcome(protocol::OUTCOME_ANSWERED);
    running->finish(std::move(end));
}

} // namespace

asio::awaitable<void> forwardAttempt(
        std::shared_ptr<CallerContext> context, transport::HttpServerExchange &exchange)
{
    protocol::Attempt attempt;
    if (!attempt.ParseFromString(exchange.request().body) || attempt.request_id().empty()) {
        const Error error{ErrorKind::InvalidInput, "the body is not an attempt",
                "send a serialized Attempt with a request id"};
        co_await exchange.respond(transport::errorResponse(error));
        co_return;
    }
    const Expected<Done> started = co_await exchange.start(transport::HttpResponseHead());
    if (!started)
        co_return;
    requests::AttemptHost::Write write
            = [&exchange](std::string bytes) { return exchange.write(std::move(bytes)); };
    requests::AttemptHost::Runner runner = [context](std::shared_ptr<RunningAttempt> running) {
        return run(context, std::move(running));
    };
    co_await context->forwardHost.serve(std::move(attempt), std::move(write), std::move(runner));
    co_await exchange.finish({});
}

} // namespace oriolerill::entry
