#pragma once

#include "config/iconfigview.h"
#include "domain/error.h"
#include "domain/strongid.h"
#include "protocol/control.pb.h"
#include "rollout/ienginegate.h"
#include "routing/concurrencylimit.h"

#include <memory>
#include <mutex>

namespace oriolerill::agent {

/// The concurrency limit of this VM's endpoint, shared by all workers.
class RequestLimiter
{
public:
    RequestLimiter(const config::IConfigView &configView, domain::ServiceId service);

    bool hasRoom(bool isBatch);
    bool tryEnter(bool isBatch);
    void leave();
    void leaveAnswered(domain::Duration latency);
    void leaveFailed();
    protocol::Load load() const;
    domain::Duration latency() const;

private:
    void configure();

    const config::IConfigView &m_configView;
    domain::ServiceId m_service;
    mutable std::mutex m_mutex;
    routing::ConcurrencyLimit m_limit;
};

/// Admission of one attempt by the gate and the concurrency limit. Settling it releases the limit,
/// destroying it releases both.
class RequestPermit
{
public:
    RequestPermit(rollout::IEngineGate &gate, RequestLimiter &limiter);
    ~RequestPermit();
    RequestPermit(const RequestPermit &) = delete;
    RequestPermit &operator=(const RequestPermit &) = delete;

    /// False when the gate is closed, other weights are loaded or the limit is reached.
    bool tryEnter(const protocol::Attempt &attempt);
    /// The reason why tryEnter() returned false.
    const domain::Error &refusal() const { return m_refusal; }
    const rollout::GateState &gateState() const { return m_gateState; }
    /// True while the gate has not closed or switched weights since tryEnter().
    bool isSameEpoch() const { return m_gate.state().epoch == m_gateState.epoch; }

    void settleAnswered(domain::Duration latency);
    void settleFailed();

private:
    bool matchesWeights(const protocol::Attempt &attempt) const;

    rollout::IEngineGate &m_gate;
    RequestLimiter &m_limiter;
    rollout::GateState m_gateState;
    domain::Error m_refusal;
    bool m_isInGate = false;
    bool m_isInLimit = false;
};

} // namespace oriolerill::agent
