#include "agent/internal/engineservice.h"

#include "agent/internal/engineadmin.h"
#include "agent/internal/enginefences.h"
#include "observability/log.h"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/experimental/awaitable_operators.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/strand.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <atomic>
#include <mutex>

namespace oriolerill::agent {

namespace asio = boost::asio;
using domain::Expected;
using domain::TimePoint;
using observability::logEvent;
using observability::Severity;
using rollout::EngineReadiness;
using rollout::EngineReading;
using rollout::GateState;
using rollout::SwitchAction;
using rollout::SwitchInput;
using rollout::SwitchPhase;

namespace {

constexpr unsigned FailuresUntilUnreachable = 2;
// Each check opens a connection, and a plain service may handle its connections one at a time.
constexpr domain::Duration PlainCheckInterval = std::chrono::milliseconds(500);
constexpr auto FenceRetryDelay = std::chrono::milliseconds(500);

bool isSwitching(SwitchPhase phase)
{
    return phase == SwitchPhase::Draining || phase == SwitchPhase::Ordering
            || phase == SwitchPhase::Loading;
}

} // namespace

class EngineService::Implementation
    : public std::enable_shared_from_this<EngineService::Implementation>
{
public:
    Implementation(asio::any_io_executor executor, transport::HttpClient &client,
            objectstore::IObjectStore &store, const config::IConfigView &config,
            distribution::IWeightsProvider &weights, distribution::ISwitchGrants &grants,
            EngineServiceOptions options)
        : m_executor(std::move(executor))
        , m_config(config)
        , m_weights(weights)
        , m_grants(grants)
        , m_options(std::move(options))
        , m_admin(client, m_options.address, m_options.source, m_options.adminToken)
        , m_fences(store, m_options.endpoint, m_options.incarnation)
        , m_switch(m_options.switching)
    {}

    void start();
    void stop() { m_isStopped = true; }

    GateState state() const;
    GateState enter();
    void leave();
    std::size_t admittedAttempts() const;
    protocol::EndpointState endpointState() const;

private:
    asio::awaitable<void> engineLoop();
    asio::awaitable<void> plainLoop();
    asio::awaitable<void> readEngine();
    asio::awaitable<void> step();
    asio::awaitable<bool> acceptsConnections();
    asio::awaitable<void> sleep(domain::Duration duration);

    // Actions of the engine switch.
    asio::awaitable<void> perform(SwitchAction action);
    void startFenceRequest();
    asio::awaitable<void> requestFence();
    void applyFence();
    asio::awaitable<void> orderLoad(rollout::OrderLoad order);

    SwitchInput input() const;
    void publish(const GateState &gate, protocol::EndpointState state);
    void publishSwitchState();

    asio::any_io_executor m_executor;
    const config::IConfigView &m_config;
    distribution::IWeightsProvider &m_weights;
    distribution::ISwitchGrants &m_grants;
    EngineServiceOptions m_options;
    EngineAdmin m_admin;
    EngineFences m_fences;
    std::atomic<bool> m_isStopped = false;

    // Used by the loop only.
    rollout::EngineSwitch m_switch;
    std::optional<EngineReading> m_reading;
    unsigned m_failures = 0;
    TimePoint m_nextFenceAt;

    mutable std::mutex m_mutex;
    GateState m_gate;
    std::size_t m_admittedAttempts = 0;
    protocol::EndpointState m_state = protocol::ENDPOINT_STATE_STARTING;
    bool m_isFenceRequested = false;
    /// Result of the last fence request, until the loop applies it.
    std::optional<Expected<domain::FencingNumber>> m_fenceResult;
};

void EngineService::Implementation::start()
{
    const auto self = shared_from_this();
    const auto done = [self](const std::exception_ptr &) {};
    if (m_options.isEngine)
        asio::co_spawn(m_executor, engineLoop(), done);
    else
        asio::co_spawn(asio::make_strand(m_executor), plainLoop(), done);
}

asio::awaitable<void> EngineService::Implementation::sleep(domain::Duration duration)
{
    asio::steady_timer timer(m_executor, duration);
    co_await timer.async_wait(asio::use_awaitable);
}

asio::awaitable<void> EngineService::Implementation::engineLoop()
{
    // If the store does not answer now, the number is read again before the first order.
    co_await m_fences.prepare(TimePoint::clock::now() + m_options.callTimeout);
    while (!m_isStopped) {
        co_await readEngine();
        co_await step();
        const SwitchPhase phase = m_switch.phase();
        const bool needsShortInterval = isSwitching(phase) || phase == SwitchPhase::AwaitingGrant;
        co_await sleep(needsShortInterval ? m_options.switchInterval : m_options.pollInterval);
    }
}

asio::awaitable<void> EngineService::Implementation::readEngine()
{
    const TimePoint now = TimePoint::clock::now();
    const Expected<EngineReading> reading = co_await m_admin.read(now + m_options.callTimeout);
    if (reading) {
        m_failures = 0;
        m_reading = *reading;
        co_return;
    }
    if (++m_failures < FailuresUntilUnreachable)
        co_return;
    m_reading = EngineReading();
    m_reading->requestedAt = now;
}

SwitchInput EngineService::Implementation::input() const
{
    SwitchInput input;
    const auto snapshot = m_config.snapshot();
    const config::Rollout *const rollout
            = snapshot->activeRollout(m_options.service, m_options.dataCentre);
    if (rollout != nullptr) {
        // Adapters are small, so they are loaded first at equal priority.
        const std::uint32_t adapterBonus = rollout->adapter.empty() ? 0 : 1;
        input.desired = {rollout->manifest, rollout->priority * 2 + adapterBonus};
        input.isFetched = m_weights.progress(rollout->manifest).isComplete();
    }
    input.grantedUntil = m_grants.grantedUntil();
    input.admittedAttempts = admittedAttempts();
    input.reading = m_reading;
    return input;
}

asio::awaitable<void> EngineService::Implementation::step()
{
    applyFence();
    const std::vector<SwitchAction> actions = m_switch.step(input(), TimePoint::clock::now());
    publishSwitchState();
    for (const SwitchAction &action : actions)
        co_await perform(action);
}

asio::awaitable<void> EngineService::Implementation::perform(SwitchAction action)
{
    if (const auto *const fetch = std::get_if<rollout::FetchWeights>(&action))
        m_weights.request(fetch->weights.manifest, fetch->weights.priority);
    else if (const auto *const release = std::get_if<rollout::ReleaseWeights>(&action))
        m_weights.release(release->manifest);
    else if (const auto *const grant = std::get_if<rollout::RequestGrant>(&action))
        m_grants.requestGrant(grant->manifest);
    else if (std::holds_alternative<rollout::WithdrawGrant>(action))
        m_grants.withdrawRequest();
    else if (std::holds_alternative<rollout::RequestFence>(action))
        startFenceRequest();
    else if (const auto *const order = std::get_if<rollout::OrderLoad>(&action))
        co_await orderLoad(*order);
}

// Runs beside the loop, since the store may answer slowly: without engine readings in the meantime,
// the gate of an endpoint that still serves would close.
void EngineService::Implementation::startFenceRequest()
{
    {
        const std::scoped_lock lock(m_mutex);
        if (m_isFenceRequested || m_fenceResult || TimePoint::clock::now() < m_nextFenceAt)
            return;
        m_isFenceRequested = true;
    }
    asio::co_spawn(
            m_executor, requestFence(), [self = shared_from_this()](const std::exception_ptr &) {});
}

asio::awaitable<void> EngineService::Implementation::requestFence()
{
    Expected<domain::FencingNumber> fence
            = co_await m_fences.next(TimePoint::clock::now() + m_options.storeTimeout);
    const std::scoped_lock lock(m_mutex);
    m_fenceResult = std::move(fence);
    m_isFenceRequested = false;
}

void EngineService::Implementation::applyFence()
{
    std::optional<Expected<domain::FencingNumber>> fence;
    {
        const std::scoped_lock lock(m_mutex);
        fence.swap(m_fenceResult);
    }
    if (!fence)
        return;
    if (fence->hasValue()) {
        m_switch.onFence(**fence);
        return;
    }
    const domain::Error &error = fence->error();
    m_nextFenceAt = TimePoint::clock::now() + FenceRetryDelay;
    m_switch.onFenceUnavailable(error.kind == domain::ErrorKind::Fenced);
    logEvent(Severity::Warning, "engine_fence_refused",
            {{"reason", error.message}, {"remedy", error.remedy}});
}

asio::awaitable<void> EngineService::Implementation::orderLoad(rollout::OrderLoad order)
{
    logEvent(Severity::Info, "engine_load_ordered",
            {{"manifest", order.manifest.hex()}, {"fence", order.fence.count()}});
    const TimePoint deadline = TimePoint::clock::now() + m_options.callTimeout;
    const rollout::OrderResult result = co_await m_admin.load(order, deadline);
    m_switch.onOrderResult(result);
}

void EngineService::Implementation::publishSwitchState()
{
    protocol::EndpointState state = protocol::ENDPOINT_STATE_STARTING;
    if (m_switch.gate().isOpen)
        state = protocol::ENDPOINT_STATE_SERVING;
    else if (m_switch.hasServed() && isSwitching(m_switch.phase()))
        state = protocol::ENDPOINT_STATE_SWITCHING;
    publish(m_switch.gate(), state);
}

void EngineService::Implementation::publish(const GateState &gate, protocol::EndpointState state)
{
    const std::scoped_lock lock(m_mutex);
    m_gate = gate;
    m_state = state;
}

asio::awaitable<bool> EngineService::Implementation::acceptsConnections()
{
    using namespace boost::asio::experimental::awaitable_operators;
    const asio::any_io_executor strand = co_await asio::this_coro::executor;
    asio::ip::tcp::socket socket(strand);
    asio::steady_timer timer(strand, m_options.callTimeout);
    const asio::ip::tcp::endpoint peer(
            asio::ip::make_address(m_options.address.host), m_options.address.port);
    const auto result = co_await (socket.async_connect(peer, asio::as_tuple(asio::use_awaitable))
            || timer.async_wait(asio::use_awaitable));
    co_return result.index() == 0 && !std::get<0>(std::get<0>(result));
}

asio::awaitable<void> EngineService::Implementation::plainLoop()
{
    GateState gate;
    while (!m_isStopped) {
        const bool isAccepting = co_await acceptsConnections();
        m_failures = isAccepting ? 0 : m_failures + 1;
        const bool isOpen = isAccepting || (gate.isOpen && m_failures < FailuresUntilUnreachable);
        if (gate.isOpen && !isOpen)
            ++gate.epoch;
        gate.isOpen = isOpen;
        publish(gate,
                isOpen ? protocol::ENDPOINT_STATE_SERVING : protocol::ENDPOINT_STATE_STARTING);
        co_await sleep(m_failures == 0 && isOpen ? PlainCheckInterval : m_options.pollInterval);
    }
}

GateState EngineService::Implementation::state() const
{
    const std::scoped_lock lock(m_mutex);
    return m_gate;
}

GateState EngineService::Implementation::enter()
{
    const std::scoped_lock lock(m_mutex);
    if (m_gate.isOpen)
        ++m_admittedAttempts;
    return m_gate;
}

void EngineService::Implementation::leave()
{
    const std::scoped_lock lock(m_mutex);
    if (m_admittedAttempts > 0)
        --m_admittedAttempts;
}

std::size_t EngineService::Implementation::admittedAttempts() const
{
    const std::scoped_lock lock(m_mutex);
    return m_admittedAttempts;
}

protocol::EndpointState EngineService::Implementation::endpointState() const
{
    const std::scoped_lock lock(m_mutex);
    return m_state;
}

EngineService::EngineService(asio::any_io_executor executor, transport::HttpClient &client,
        objectstore::IObjectStore &store, const config::IConfigView &config,
        distribution::IWeightsProvider &weights, distribution::ISwitchGrants &grants,
        EngineServiceOptions options)
    : m_implementation(std::make_shared<Implementation>(
            std::move(executor), client, store, config, weights, grants, std::move(options)))
{}

EngineService::~EngineService()
{
    stop();
}

void EngineService::start()
{
    m_implementation->start();
}

void EngineService::stop()
{
    m_implementation->stop();
}

GateState EngineService::state() const
{
    return m_implementation->state();
}

GateState EngineService::enter()
{
    return m_implementation->enter();
}

void EngineService::leave()
{
    m_implementation->leave();
}

std::size_t EngineService::admittedAttempts() const
{
    return m_implementation->admittedAttempts();
}

protocol::EndpointState EngineService::endpointState() const
{
    return m_implementation->endpointState();
}

} // namespace oriolerill::agent
