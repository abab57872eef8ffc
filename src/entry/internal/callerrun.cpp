#include "entry/internal/callerrun.h"

#include "observability/log.h"
#include "requests/retryrule.h"
#include "routing/slotowner.h"

#include <boost/asio/steady_timer.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <algorithm>
#include <utility>

namespace oriolerill::entry {

namespace asio = boost::asio;
using domain::Expected;
using domain::TimePoint;
using observability::RequestOutcome;

namespace {

constexpr auto MinRetryAfter = std::chrono::seconds(1);
constexpr auto OrderRetryDelay = std::chrono::milliseconds(250);
constexpr auto CapacityCheckInterval = std::chrono::milliseconds(20);
// A started answer is lost unless it is resumed, so it gets more attempts than a new request.
constexpr unsigned MaxResumeAttempts = 20;
// A slot of the order ledger changes its owner within about 2 s; the attempts span that time.
constexpr unsigned MaxOrderAttempts = 12;

RouteQuery queryOf(const CallerRequest &request)
{
    RouteQuery query;
    query.service = request.service.id;
    query.isModel = request.isModel();
    query.affinity = request.affinity;
    if (request.isOrder()) {
        query.slot
                = routing::orderSlot(request.account.id, request.key, request.service.ledgerSlots);
    }
    return query;
}

} // namespace

CallerRun::CallerRun(CallerContext &context, const CallerRequest &request, CallerAnswer &answer)
    : m_context(context)
    , m_request(request)
    , m_answer(answer)
    , m_query(queryOf(request))
{}

Expected<Route> CallerRun::chooseRoute()
{
    const auto configuration = m_context.configView.snapshot();
    const auto membership = m_context.membershipView.snapshot();
    return m_context.router.choose(m_query, *configuration, *membership, TimePoint::clock::now());
}

protocol::Attempt CallerRun::nextAttempt(const Route &route)
{
    protocol::Attempt attempt = m_request.attempt;
    attempt.set_attempt(++m_attempts);
    attempt.set_entry_incarnation(m_context.options.incarnation.count());
    attempt.set_sequence(++m_context.sequence);
    attempt.set_forwarded(route.isForward);
    attempt.set_resume_offset(m_answer.sentBytes());
    // A started answer can be resumed only with the same weights.
    const domain::Digest digest = m_query.digest.isNone() ? route.digest : m_query.digest;
    if (m_request.isModel() && !digest.isNone())
        attempt.set_required_digest(digest.bytes());
    return attempt;
}

asio::awaitable<AttemptResult> CallerRun::attemptAt(Route route)
{
    protocol::Attempt attempt = nextAttempt(route);
    m_context.router.started(route);
    AttemptResult result = co_await m_context.attemptClient.run(
            route.target, std::move(attempt), m_request.deadline, m_answer);
    m_context.router.finished(route, result, TimePoint::clock::now());
    co_return result;
}

bool CallerRun::mayRetry(const AttemptResult &result) const
{
    requests::RetryConditions conditions;
    conditions.isIdempotent = m_request.isIdempotent;
    conditions.isOrder = m_request.isOrder();
    conditions.outcome = result.outcome;
    conditions.isFinal = result.isReported && result.error.kind == domain::ErrorKind::Conflict;
    conditions.hasSentData = m_answer.hasSentData();
    conditions.isResumable = m_request.isModel() && !m_answer.digest().isNone();
    return requests::mayRetry(conditions) && m_attempts < maxAttempts()
            && TimePoint::clock::now() < m_request.deadline;
}

unsigned CallerRun::maxAttempts() const
{
    if (m_answer.hasSentData())
        return MaxResumeAttempts;
    return m_request.isOrder() ? MaxOrderAttempts : m_context.options.maxAttempts;
}

void CallerRun::prepareRetry(const Route &route, const AttemptResult &result)
{
    m_answer.restart();
    if (m_answer.hasSentData())
        m_query.digest = m_answer.digest();
    // A target without capacity would refuse again; a lost connection may be transient.
    if (result.outcome == protocol::OUTCOME_NOT_RUN && result.isReported)
        m_query.excluded.insert(route.id);
    else
        m_query.avoided.insert(route.id);
}

asio::awaitable<void> CallerRun::waitBeforeRetry(const AttemptResult &result) const
{
    // Only the owner of its slot can run an order; within a short time the owner changes or becomes
    // ready.
    if (!m_request.isOrder() || result.outcome == protocol::OUTCOME_NOT_RUN)
        co_return;
    const auto executor = co_await asio::this_coro::executor;
    asio::steady_timer timer(executor, OrderRetryDelay);
    co_await timer.async_wait(asio::use_awaitable);
}

bool CallerRun::mayWait(const domain::Error &error, TimePoint now)
{
    const bool isResume = m_answer.hasSentData();
    const bool isOverloaded = error.kind == domain::ErrorKind::Overloaded
            || m_error.kind == domain::ErrorKind::Overloaded;
    // Batch requests do not wait: capacity that becomes free goes to interactive requests.
    if (!isResume && (!isOverloaded || m_request.isBatch))
        return false;
    if (!m_waitUntil) {
        const CallerFrontOptions &options = m_context.options;
        const TimePoint end = now + (isResume ? options.resumeTimeout : options.queueTimeout);
        m_waitUntil = std::min(end, m_request.deadline);
    }
    return now + CapacityCheckInterval < *m_waitUntil;
}

/// Waits for one check interval when the endpoints have no capacity or the answer is to be resumed;
/// false when the request has to fail.
asio::awaitable<bool> CallerRun::waitForCapacity(domain::Error error)
{
    if (!mayWait(error, TimePoint::clock::now()))
        co_return false;
    const auto executor = co_await asio::this_coro::executor;
    asio::steady_timer timer(executor, CapacityCheckInterval);
    co_await timer.async_wait(asio::use_awaitable);
    m_query.excluded.clear();
    co_return true;
}

asio::awaitable<RequestOutcome> CallerRun::execute()
{
    for (;;) {
        const Expected<Route> route = chooseRoute();
        if (!route) {
            domain::Error error = route.error();
            if (co_await waitForCapacity(std::move(error)))
                continue;
            if (m_outcome == protocol::OUTCOME_UNSPECIFIED) {
                m_outcome = protocol::OUTCOME_NOT_RUN;
                m_error = route.error();
            }
            co_return co_await giveUp();
        }
        const AttemptResult result = co_await attemptAt(*route);
        m_outcome = requests::combineOutcomes(m_outcome, result.outcome);
        m_error = result.error;
        m_retryAfter = result.retryAfter;
        if (result.isReceiverDisconnected)
            co_return RequestOutcome::Cut;
        if (result.outcome == protocol::OUTCOME_ANSWERED) {
            const Expected<domain::Done> finished = co_await m_answer.finish();
            co_return finished ? RequestOutcome::Answered : RequestOutcome::Cut;
        }
        const bool isResume = m_answer.hasSentData();
        if (!mayRetry(result) || (!isResume && !m_context.tryRetry()))
            co_return co_await giveUp();
        prepareRetry(*route, result);
        co_await waitBeforeRetry(result);
    }
}

asio::awaitable<RequestOutcome> CallerRun::giveUp()
{
    if (m_answer.hasSentData()) {
        observability::logEvent(observability::Severity::Warning, "answer_cut",
                {{"request", m_request.attempt.request_id()},
                        {"service", m_request.service.id.value()},
                        {"sent_bytes", m_answer.sentBytes()}, {"attempts", m_attempts},
                        {"error", m_error.message}});
        m_answer.abort();
        co_return RequestOutcome::Cut;
    }
    const bool isNotRun = m_outcome == protocol::OUTCOME_NOT_RUN;
    observability::logEvent(observability::Severity::Debug, "request_refused",
            {{"request", m_request.attempt.request_id()}, {"service", m_request.service.id.value()},
                    {"account", m_request.account.id.value()},
                    {"outcome", isNotRun ? "not_run" : "unknown"}, {"attempts", m_attempts},
                    {"error", m_error.message}});
    if (isNotRun)
        m_retryAfter = std::max<domain::Duration>(m_retryAfter, MinRetryAfter);
    const bool mayRepeat = isNotRun || m_request.isIdempotent || m_request.isOrder();
    co_await m_answer.refuse(m_outcome, m_error, mayRepeat ? m_retryAfter : domain::Duration());
    co_return isNotRun ? RequestOutcome::NotRun : RequestOutcome::Unknown;
}

} // namespace oriolerill::entry
