#include "agent/internal/requestpermit.h"

#include <utility>

namespace oriolerill::agent {

using domain::Error;
using domain::ErrorKind;

RequestLimiter::RequestLimiter(const config::IConfigView &configView, domain::ServiceId service)
    : m_configView(configView)
    , m_service(std::move(service))
    , m_limit(routing::ConcurrencyLimitOptions())
{}

void RequestLimiter::configure()
{
    const auto snapshot = m_configView.snapshot();
    const auto found = snapshot->limits.find(m_service);
    const config::EndpointLimit limit
            = found == snapshot->limits.end() ? config::EndpointLimit() : found->second;
    m_limit.configure(limit.startConcurrency, limit.maxConcurrency);
}

bool RequestLimiter::hasRoom(bool isBatch)
{
    const std::scoped_lock lock(m_mutex);
    configure();
    return m_limit.hasRoom(isBatch);
}

bool RequestLimiter::tryEnter(bool isBatch)
{
    const std::scoped_lock lock(m_mutex);
    configure();
    return m_limit.tryEnter(isBatch);
}

void RequestLimiter::leave()
{
    const std::scoped_lock lock(m_mutex);
    m_limit.leave();
}

void RequestLimiter::leaveAnswered(domain::Duration latency)
{
    const std::scoped_lock lock(m_mutex);
    m_limit.leaveAnswered(latency);
}

void RequestLimiter::leaveFailed()
{
    const std::scoped_lock lock(m_mutex);
    m_limit.leaveFailed();
}

protocol::Load RequestLimiter::load() const
{
    using std::chrono::microseconds;
    const std::scoped_lock lock(m_mutex);
    protocol::Load load;
    load.set_in_flight(m_limit.inFlight());
    load.set_limit(m_limit.limit());
    const auto latency = std::chrono::duration_cast<microseconds>(m_limit.latency()).count();
    load.set_latency_us(static_cast<std::uint32_t>(latency));
    return load;
}

domain::Duration RequestLimiter::latency() const
{
    const std::scoped_lock lock(m_mutex);
    return m_limit.latency();
}

RequestPermit::RequestPermit(rollout::IEngineGate &gate, RequestLimiter &limiter)
    : m_gate(gate)
    , m_limiter(limiter)
{}

RequestPermit::~RequestPermit()
{
    if (m_isInLimit)
        m_limiter.leave();
    if (m_isInGate)
        m_gate.leave();
}

bool RequestPermit::matchesWeights(const protocol::Attempt &attempt) const
{
    return attempt.required_digest().empty()
            || attempt.required_digest() == m_gateState.activeDigest.bytes();
}

bool RequestPermit::tryEnter(const protocol::Attempt &attempt)
{
    m_gateState = m_gate.enter();
    m_isInGate = m_gateState.isOpen;
    if (!m_isInGate) {
        m_refusal = Error{ErrorKind::Unavailable, "the endpoint is closed to new work",
                "send it to another endpoint"};
        return false;
    }
    if (!matchesWeights(attempt)) {
        m_refusal = Error{ErrorKind::Conflict, "the endpoint has other weights loaded",
                "send it to an endpoint with the wanted weights"};
        return false;
    }
    m_isInLimit = m_limiter.tryEnter(attempt.batch());
    if (!m_isInLimit) {
        m_refusal = Error{ErrorKind::Overloaded, "the endpoint has reached its concurrency limit",
                "send it to another endpoint or later"};
    }
    return m_isInLimit;
}

void RequestPermit::settleAnswered(domain::Duration latency)
{
    if (std::exchange(m_isInLimit, false))
        m_limiter.leaveAnswered(latency);
}

void RequestPermit::settleFailed()
{
    if (std::exchange(m_isInLimit, false))
        m_limiter.leaveFailed();
}

} // namespace oriolerill::agent
