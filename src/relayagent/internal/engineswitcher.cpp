#include "relayagent/internal/engineswitcher.h"

#include "observability/log.h"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <utility>

namespace oriolerill::relayagent::internal {

namespace asio = boost::asio;
using distribution::WeightsVersion;
using domain::ErrorKind;
using domain::TimePoint;
using observability::logEvent;
using observability::Severity;
using std::chrono::milliseconds;

namespace {

constexpr auto UseTuple = asio::as_tuple(asio::use_awaitable);
constexpr auto StateCheckInterval = milliseconds(50);
/// Time between the report of the switch to entries and the order to load.
constexpr auto SwitchAnnounceDelay = milliseconds(40);
/// The engine's state shows the new version within this time after an accepted order.
constexpr auto LoadTimeout = milliseconds(6000);
constexpr auto OrderRetryDelay = milliseconds(300);
/// No order is sent with less time than this: the engine on this VM answers within a few
/// milliseconds, and an answer that misses the deadline leaves the outcome unknown.
constexpr auto MinOrderTime = milliseconds(100);

} // namespace

EngineSwitcher::EngineSwitcher(asio::io_context &context, EngineClient &engine,
        LoadReporter &reporter, observability::Metrics &metrics, domain::SuspensionClock clock)
    : m_context(context)
    , m_engine(engine)
    , m_reporter(reporter)
    , m_metrics(metrics)
    , m_clock(std::move(clock))
    , m_staged(engine, m_clock)
{}

const char *EngineSwitcher::toString(OrderEnd end)
{
    switch (end) {
    case OrderEnd::Accepted:
        return "accepted";
    case OrderEnd::Refused:
        return "refused";
    case OrderEnd::Outdated:
        return "outdated";
    case OrderEnd::Unconfirmed:
        return "unconfirmed";
    }
    return "unconfirmed";
}

std::uint64_t EngineSwitcher::served(const domain::ModelId &model) const
{
    if (!m_reporter.state())
        return 0;
    const auto served = m_reporter.state()->weights.find(model);
    return served == m_reporter.state()->weights.end() ? 0 : served->second;
}

asio::awaitable<void> EngineSwitcher::wait(domain::Duration duration)
{
    asio::steady_timer timer(m_context, duration);
    co_await timer.async_wait(UseTuple);
}

std::shared_ptr<EngineSwitcher::UnconfirmedOrder> EngineSwitcher::servedUnconfirmed() const
{
    for (const auto &order : m_unconfirmed) {
        if (served(order->version().model) == order->version().number)
            return order;
    }
    return nullptr;
}

void EngineSwitcher::addUnconfirmed(const Transfer &transfer)
{
    for (const auto &order : m_unconfirmed) {
        if (order->version() == transfer->manifest().version)
            return;
    }
    m_unconfirmed.push_back(std::make_shared<UnconfirmedOrder>(UnconfirmedOrder{transfer}));
}

void EngineSwitcher::onEngineState()
{
    const rollout::EngineState &state = *m_reporter.state();
    const bool hasRestarted = state.startedAtMs != m_engineStartedAtMs;
    if (hasRestarted) {
        // A restarted engine keeps the staged pieces, but they may be corrupted. It has lost orders
        // that it had not read.
        m_engineStartedAtMs = state.startedAtMs;
        m_staged.invalidate();
        m_unconfirmed.clear();
    }
    if (m_suspect && (hasRestarted || served(m_suspect->model) != m_suspect->number))
        m_suspect.reset();
    if (m_isBusy)
        return;
    m_reporter.setSwitching(isWithheld() || (!m_unconfirmed.empty() && state.isBusy));
    if (auto order = servedUnconfirmed()) {
        m_isBusy = true;
        asio::co_spawn(m_context, checkLoaded(std::move(order)), asio::detached);
    }
}

void EngineSwitcher::begin(const Transfer &transfer, bool isDue)
{
    const WeightsVersion version = transfer->manifest().version;
    if (m_isBusy || !m_reporter.state() || m_reporter.state()->isBusy)
        return;
    const bool mayOrder = isDue && TimePoint::clock::now() >= m_nextOrderAt;
    if (m_staged.version() == version && !mayOrder)
        return;
    m_isBusy = true;
    asio::co_spawn(m_context, stageAndLoad(transfer, mayOrder), asio::detached);
}

asio::awaitable<void> EngineSwitcher::stageAndLoad(Transfer transfer, bool isDue)
{
    const WeightsVersion version = transfer->manifest().version;
    bool isStaged = m_staged.version() == version;
    const bool isChecked = co_await checkBeforeStaging(version);
    if (isChecked && !isStaged)
        isStaged = co_await m_staged.stage(transfer);
    if (isChecked && isStaged && isDue)
        co_await switchEngine(transfer);
    m_isBusy = false;
}

asio::awaitable<void> EngineSwitcher::switchEngine(Transfer transfer)
{
    const WeightsVersion version = transfer->manifest().version;
    const std::uint64_t before = served(version.model);
    const std::uint64_t startedAtMs = m_engineStartedAtMs;
    const auto verified = co_await m_staged.verify(transfer);
    if (!verified) {
        m_staged.invalidate();
        co_return;
    }
    OrderEnd end = OrderEnd::Outdated;
    if (isValid(*verified)) {
        if (before > 0) {
            m_reporter.setSwitching(true);
            co_await wait(SwitchAnnounceDelay);
        }
        // The last report may be older than a restart of the engine.
        const auto state = co_await m_engine.readState();
        if (state && state->startedAtMs == startedAtMs)
            end = co_await order(*verified, state->orders);
    }
    const auto age = std::chrono::duration_cast<milliseconds>(m_clock.now() - verified->checkedAt);
    logEvent(end == OrderEnd::Accepted ? Severity::Info : Severity::Warning, "engine_ordered",
            {{"version", version.number}, {"before", before}, {"end", toString(end)},
                    {"checked_ms", age.count()}});
    const bool hasEarlierOrder = !m_unconfirmed.empty();
    if (end == OrderEnd::Unconfirmed)
        addUnconfirmed(transfer);
    bool isConfirmed = end == OrderEnd::Accepted;
    if (end != OrderEnd::Outdated) {
        const bool hasBegun = co_await awaitLoad(*verified, end);
        // An earlier order may have begun the load before this verification.
        isConfirmed = isConfirmed || (hasBegun && !hasEarlierOrder);
    }
    if (isConfirmed)
        m_unconfirmed.clear();
    if (served(version.model) == version.number) {
        logEvent(Severity::Info, "engine_switched",
                {{"version", version.number}, {"before", before}});
    }
    m_reporter.setSwitching(isWithheld());
}

bool EngineSwitcher::isValid(const VerifiedWeights &verified)
{
    return m_clock.now() + MinOrderTime <= verified.expiresAt;
}

asio::awaitable<EngineSwitcher::OrderEnd> EngineSwitcher::order(
        const VerifiedWeights &verified, std::uint64_t expectedOrders)
{
    if (!isValid(verified))
        co_return OrderEnd::Outdated;
    const domain::Duration left = verified.expiresAt - m_clock.now();
    // An order that is accepted late conflicts with any that was accepted before it.
    const auto ordered = co_await m_engine.orderLoad(
            verified.version, expectedOrders, TimePoint::clock::now() + left);
    m_nextOrderAt = TimePoint::clock::now() + OrderRetryDelay;
    if (ordered) {
        const bool isBegun = *ordered == EngineClient::OrderAnswer::Begun;
        co_return isBegun &&m_clock.now() <= verified.expiresAt ? OrderEnd::Accepted
                                                                : OrderEnd::Unconfirmed;
    }
    logEvent(Severity::Warning, "order_failed",
            {{"version", verified.version.number}, {"error", ordered.error().message},
                    {"remedy", "the engine's state shows whether the order was accepted"}});
    co_return ordered.error().kind == ErrorKind::Conflict ? OrderEnd::Refused
                                                          : OrderEnd::Unconfirmed;
}

asio::awaitable<bool> EngineSwitcher::awaitLoad(const VerifiedWeights &verified, OrderEnd end)
{
    const WeightsVersion &version = verified.version;
    // An order without an answer may have been accepted; the engine's state shows whether it was.
    const TimePoint deadline = TimePoint::clock::now()
            + (end == OrderEnd::Refused ? domain::Duration(OrderRetryDelay) : LoadTimeout);
    bool hasBegun = false;
    for (;;) {
        const auto &state = m_reporter.state();
        const bool isServed = served(version.model) == version.number;
        const bool isBusy = state && state->isBusy;
        hasBegun = hasBegun || ((isServed || isBusy) && m_clock.now() <= verified.expiresAt);
        const TimePoint now = TimePoint::clock::now();
        if (isServed || now >= deadline || (state && !isBusy && now >= m_nextOrderAt))
            co_return hasBegun;
        co_await wait(StateCheckInterval);
    }
}

/// A piece that is corrupted is staged again before the next order. Nothing would then show that an
/// earlier order, accepted in the meantime, has loaded it.
asio::awaitable<bool> EngineSwitcher::checkBeforeStaging(const WeightsVersion &version)
{
    const UnconfirmedOrders orders = m_unconfirmed;
    for (const auto &order : orders) {
        if (order->version() == version) {
            const auto areIntact = co_await m_staged.areIntact(order->transfer);
            if (!areIntact)
                co_return false;
            order->mayLoadOtherPieces = order->mayLoadOtherPieces || !*areIntact;
        } else {
            order->mayLoadOtherPieces = true;
        }
    }
    co_return true;
}

asio::awaitable<void> EngineSwitcher::checkLoaded(std::shared_ptr<UnconfirmedOrder> order)
{
    std::optional<bool> areIntact = false;
    if (!order->mayLoadOtherPieces)
        areIntact = co_await m_staged.areIntact(order->transfer);
    m_isBusy = false;
    // Checked again while the engine does not answer, unless it has restarted.
    const bool isPending = std::erase(m_unconfirmed, order) > 0;
    if (!areIntact && isPending)
        m_unconfirmed.push_back(order);
    if (areIntact.value_or(true) || !isPending)
        co_return;
    const WeightsVersion version = order->version();
    m_suspect = version;
    m_metrics.increment("oriolerill_agent_suspect_loads_total");
    logEvent(Severity::Error, "engine_weights_suspect",
            {{"version", version.number},
                    {"remedy",
                            "the engine gets no requests until it serves another version; "
                            "restart it, or name the weights again"}});
}

} // namespace oriolerill::relayagent::internal
