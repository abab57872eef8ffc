#include "entry/internal/callerfront.h"

#include "entry/internal/calleranswer.h"
#include "entry/internal/callercontext.h"
#include "entry/internal/callerforward.h"
#include "entry/internal/callerrequest.h"
#include "entry/internal/callerrun.h"

#include <boost/asio/steady_timer.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <algorithm>
#include <utility>

namespace oriolerill::entry {

namespace asio = boost::asio;
using domain::TimePoint;
using observability::RequestOutcome;

namespace {

/// Counts one request as active, and as admitted, during its own lifetime.
class ActiveRequest
{
public:
    ActiveRequest(CallerContext &context)
        : m_context(context)
    {
        ++m_context.active;
    }
    ~ActiveRequest()
    {
        if (!m_account.isEmpty()) {
            const std::scoped_lock lock(m_context.admissionMutex);
            m_context.admission.leave(m_account, m_service);
        }
        --m_context.active;
    }
    ActiveRequest(const ActiveRequest &) = delete;
    ActiveRequest &operator=(const ActiveRequest &) = delete;

    std::optional<routing::AdmissionRefusal> admit(const CallerRequest &request)
    {
        const auto membership = m_context.membershipView.snapshot();
        const std::uint32_t capacity = m_context.router.capacity(request.service.id, *membership);
        const std::scoped_lock lock(m_context.admissionMutex);
        auto refusal = m_context.admission.enter(request.account, request.service.id,
                request.isBatch, capacity, TimePoint::clock::now());
        if (!refusal) {
            m_account = request.account.id;
            m_service = request.service.id;
            m_context.retryBudget.onRequest();
        }
        return refusal;
    }

private:
    CallerContext &m_context;
    domain::AccountId m_account;
    domain::ServiceId m_service;
};

/// Admits a request. When the account's share of the capacity is in use, an interactive request is
/// tried again until the queue deadline; a batch request is refused at once.
asio::awaitable<std::optional<routing::AdmissionRefusal>> admitWithinQueueTimeout(
        ActiveRequest &active, const CallerRequest &request, TimePoint queueDeadline)
{
    constexpr auto CheckInterval = std::chrono::milliseconds(20);
    const auto executor = co_await asio::this_coro::executor;
    asio::steady_timer timer(executor);
    for (;;) {
        std::optional<routing::AdmissionRefusal> refusal = active.admit(request);
        const bool mayWait = refusal && refusal->error.kind == domain::ErrorKind::Overloaded
                && !request.isBatch && TimePoint::clock::now() + CheckInterval < queueDeadline;
        if (!mayWait)
            co_return refusal;
        timer.expires_after(CheckInterval);
        co_await timer.async_wait(asio::use_awaitable);
    }
}

} // namespace

class CallerFront::Implementation : public CallerContext
{
public:
    using CallerContext::CallerContext;

    asio::awaitable<void> handleCaller(transport::HttpServerExchange &exchange);

private:
    void record(const CallerRequest &request, const CallerAnswer &answer, TimePoint startedAt,
            RequestOutcome outcome);
};

asio::awaitable<void> CallerFront::Implementation::handleCaller(
        transport::HttpServerExchange &exchange)
{
    const TimePoint startedAt = TimePoint::clock::now();
    ActiveRequest active(*this);
    const auto configuration = configView.snapshot();
    const domain::RequestId id = nextRequestId();
    const domain::Expected<CallerRequest> request = parseCallerRequest(
            exchange.request(), *configuration, options.deadlines, id, startedAt);
    if (!request) {
        CallerAnswer answer(exchange, id, false);
        co_await answer.refuse(protocol::OUTCOME_NOT_RUN, request.error(), {});
        co_return;
    }
    CallerAnswer answer(exchange, id, request->isModel());
    const TimePoint queueDeadline = std::min(startedAt + options.queueTimeout, request->deadline);
    const std::optional<routing::AdmissionRefusal> refusal
            = co_await admitWithinQueueTimeout(active, *request, queueDeadline);
    if (refusal) {
        co_await answer.refuse(protocol::OUTCOME_NOT_RUN, refusal->error, refusal->retryAfter);
        record(*request, answer, startedAt, RequestOutcome::NotRun);
        co_return;
    }
    CallerRun run(*this, *request, answer);
    const RequestOutcome outcome = co_await run.execute();
    record(*request, answer, startedAt, outcome);
}

void CallerFront::Implementation::record(const CallerRequest &request, const CallerAnswer &answer,
        TimePoint startedAt, RequestOutcome outcome)
{
    const TimePoint now = TimePoint::clock::now();
    observability::RequestRecord record;
    record.account = request.account.id;
    record.service = request.service.id;
    record.dataCentre = options.dataCentre;
    record.outcome = outcome;
    record.firstByte = answer.firstByteAt().value_or(now) - startedAt;
    record.total = now - startedAt;
    record.finishedAt = domain::WallTime::clock::now();
    recorder.record(record);
}

CallerFront::CallerFront(const asio::any_io_executor &executor,
        const config::IConfigView &configView, const membership::IMembershipView &membershipView,
        transport::HttpClient &client, observability::IRequestRecorder &recorder,
        CallerFrontOptions options)
    : m_implementation(std::make_shared<Implementation>(
            executor, configView, membershipView, client, recorder, std::move(options)))
{}

CallerFront::~CallerFront() = default;

asio::awaitable<void> CallerFront::handleCaller(transport::HttpServerExchange &exchange)
{
    const std::shared_ptr<Implementation> implementation = m_implementation;
    co_await implementation->handleCaller(exchange);
}

asio::awaitable<void> CallerFront::handlePeer(transport::HttpServerExchange &exchange)
{
    const std::shared_ptr<Implementation> implementation = m_implementation;
    co_await forwardAttempt(implementation, exchange);
}

asio::awaitable<void> CallerFront::drain(TimePoint deadline)
{
    constexpr auto PollInterval = std::chrono::milliseconds(10);
    const std::shared_ptr<Implementation> implementation = m_implementation;
    const auto executor = co_await asio::this_coro::executor;
    asio::steady_timer timer(executor);
    while (active() > 0 && TimePoint::clock::now() < deadline) {
        timer.expires_after(PollInterval);
        co_await timer.async_wait(asio::use_awaitable);
    }
}

std::size_t CallerFront::active() const
{
    return m_implementation->active + m_implementation->forwardHost.active();
}

} // namespace oriolerill::entry
