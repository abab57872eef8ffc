#include "agent/internal/requestorders.h"

#include "requests/strandsignal.h"
#include "routing/slotowner.h"

#include <boost/asio/this_coro.hpp>

#include <algorithm>
#include <utility>

namespace oriolerill::agent {

namespace asio = boost::asio;
using domain::Error;
using domain::ErrorKind;
using domain::TimePoint;
using requests::OrderDecision;

namespace {

/// Passes a decision from the ledger's thread to the waiting coroutine.
struct PendingDecision
{
    explicit PendingDecision(const asio::any_io_executor &strand)
        : signal(std::make_shared<requests::StrandSignal>(strand))
    {}

    void set(OrderDecision value)
    {
        {
            const std::scoped_lock lock(mutex);
            decision = std::move(value);
        }
        signal->notify();
    }

    std::optional<OrderDecision> get()
    {
        const std::scoped_lock lock(mutex);
        return decision;
    }

    std::mutex mutex;
    std::optional<OrderDecision> decision;
    std::shared_ptr<requests::StrandSignal> signal;
};

/// Earlier than the attempt's deadline, so that the refusal of an order that was not started in
/// time reaches the caller before its deadline.
TimePoint startDeadline(const requests::RunningAttempt &running)
{
    constexpr domain::Duration MaxMargin = std::chrono::milliseconds(100);
    constexpr int MarginDivisor = 4;
    const domain::Duration left = running.deadline() - TimePoint::clock::now();
    return running.deadline() - std::min(MaxMargin, left / MarginDivisor);
}

OrderDecision refuseWithoutLog()
{
    return requests::RefuseOrder{protocol::OUTCOME_NOT_RUN,
            Error{ErrorKind::Unavailable, "this agent keeps no order records",
                    "set [platform] address in the agent's settings"},
            std::chrono::seconds(1)};
}

} // namespace

RequestOrders::RequestOrders(asio::any_io_executor executor, const config::IConfigView &configView,
        requests::IOrderLog *log, const RequestProxyOptions &options)
    : m_executor(std::move(executor))
    , m_configView(configView)
    , m_log(log)
    , m_writer(options.id.value())
    , m_service(options.service)
    , m_incarnation(options.incarnation)
{}

std::shared_ptr<requests::OrderLedger> RequestOrders::ledgerOf(const protocol::Attempt &attempt)
{
    const auto configuration = m_configView.snapshot();
    const auto service = configuration->services.find(m_service);
    const std::uint32_t slots = service == configuration->services.end()
            ? config::Service().ledgerSlots
            : service->second.ledgerSlots;
    const std::uint32_t slot = routing::orderSlot(domain::AccountId(attempt.account()),
            domain::IdempotencyKey(attempt.idempotency_key()), slots);
    const std::scoped_lock lock(m_mutex);
    std::shared_ptr<requests::OrderLedger> &ledger = m_ledgers[slot];
    if (!ledger) {
        const requests::LedgerSlot id{m_service, slot};
        ledger = std::make_shared<requests::OrderLedger>(
                m_executor, *m_log, id, m_writer, m_incarnation, requests::SlotLedgerOptions());
    }
    return ledger;
}

asio::awaitable<OrderDecision> RequestOrders::decide(
        const requests::RunningAttempt &running, bool hasRoom)
{
    if (m_log == nullptr)
        co_return refuseWithoutLog();
    const protocol::Attempt &attempt = running.attempt();
    requests::OrderRequest request;
    request.account = attempt.account();
    request.key = attempt.idempotency_key();
    request.hash = requests::orderHash(attempt);
    request.deadline = startDeadline(running);
    request.hasRoom = hasRoom;
    const auto strand = co_await asio::this_coro::executor;
    const auto pending = std::make_shared<PendingDecision>(strand);
    ledgerOf(attempt)->begin(std::move(request),
            [pending](OrderDecision decision) { pending->set(std::move(decision)); });
    for (;;) {
        std::optional<OrderDecision> decision = pending->get();
        if (decision)
            co_return std::move(*decision);
        constexpr auto CheckInterval = std::chrono::seconds(1);
        co_await pending->signal->wait(TimePoint::clock::now() + CheckInterval);
    }
}

void RequestOrders::finish(const protocol::Attempt &attempt, requests::OrderEnd end)
{
    ledgerOf(attempt)->finish(attempt.account(), attempt.idempotency_key(), std::move(end));
}

std::size_t RequestOrders::unwritten() const
{
    const std::scoped_lock lock(m_mutex);
    std::size_t count = 0;
    for (const auto &[slot, ledger] : m_ledgers)
        count += ledger->unwritten();
    return count;
}

OrderRun::OrderRun(RequestOrders &orders, const protocol::Attempt &attempt)
    : m_orders(orders)
    , m_attempt(attempt)
{}

OrderRun::~OrderRun()
{
    if (!m_isEnded)
        m_orders.finish(m_attempt, {});
}

void OrderRun::end(protocol::Outcome outcome, protocol::OrderRecord result)
{
    m_isEnded = true;
    m_orders.finish(m_attempt, {outcome, std::move(result)});
}

} // namespace oriolerill::agent
