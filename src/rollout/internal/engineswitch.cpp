#include "rollout/engineswitch.h"

#include <algorithm>

namespace oriolerill::rollout {

using domain::Digest;
using domain::TimePoint;

EngineSwitch::EngineSwitch(EngineSwitchOptions options)
    : m_options(options)
{}

std::vector<SwitchAction> EngineSwitch::step(const SwitchInput &input, TimePoint now)
{
    std::vector<SwitchAction> actions;
    detectPause(now);
    requestFetch(input, actions);
    if (m_phase == SwitchPhase::Superseded) {
        close();
        return actions;
    }
    const EngineReading *const reading = freshReading(input, now);
    if (reading == nullptr || reading->state == EngineReadiness::Unreachable) {
        closeUnlessRecentlyRead(input, reading, now);
        return actions;
    }
    updateLoadingSince(*reading, now);
    resolveOrder(*reading, now);
    if (m_needsHigherFence) {
        close();
        m_phase = SwitchPhase::Ordering;
        actions.emplace_back(RequestFence{});
        return actions;
    }
    reconcile(input, *reading, now, actions);
    return actions;
}

// Grants and fencing numbers may have passed to other processes during a pause, so readings and
// numbers from before it are discarded.
void EngineSwitch::detectPause(TimePoint now)
{
    if (m_steppedAt && now - *m_steppedAt > m_options.maxStepGap) {
        m_validFrom = now;
        m_fence.reset();
    }
    m_steppedAt = now;
}

// An engine under load answers status requests late. An open gate stays open for openGateLifetime
// after the last reading, because only an order changes the weights.
void EngineSwitch::closeUnlessRecentlyRead(
        const SwitchInput &input, const EngineReading *reading, TimePoint now)
{
    const bool isRecent = reading == nullptr && input.reading
            && input.reading->requestedAt >= m_validFrom
            && now - input.reading->requestedAt <= m_options.openGateLifetime;
    if (isRecent)
        return;
    close();
    if (m_phase == SwitchPhase::Serving)
        m_phase = SwitchPhase::Starting;
}

void EngineSwitch::updateLoadingSince(const EngineReading &reading, TimePoint now)
{
    if (reading.state != EngineReadiness::Loading)
        m_loadingSince.reset();
    else if (!m_loadingSince)
        m_loadingSince = now;
}

const EngineReading *EngineSwitch::freshReading(const SwitchInput &input, TimePoint now) const
{
    if (!input.reading || input.reading->requestedAt < m_validFrom)
        return nullptr;
    return now - input.reading->requestedAt <= m_options.readingLifetime ? &*input.reading
                                                                         : nullptr;
}

void EngineSwitch::resolveOrder(const EngineReading &reading, TimePoint now)
{
    if (reading.fence > m_highestFence && !m_order) {
        // Another process has sent an order with a higher number, so a new one must be reserved.
        m_highestFence = reading.fence;
        m_fence.reset();
    }
    if (!m_order || reading.requestedAt < m_order->sentAt)
        return;
    if (reading.fence > m_order->fence) {
        m_needsHigherFence = true;
        m_highestFence = reading.fence;
        m_order.reset();
        return;
    }
    const domain::Duration waited = now - m_order->sentAt;
    const bool isLoaded
            = reading.state == EngineReadiness::Ready && reading.manifest == m_order->manifest;
    const bool isLost
            = reading.state != EngineReadiness::Loading && waited > m_options.loadStartTimeout;
    const bool hasFailed = isLost || m_order->isRefused || waited > m_options.loadTimeout;
    if (hasFailed)
        m_orderNotBefore = now + m_options.orderRetryDelay;
    if (isLoaded || hasFailed)
        m_order.reset();
}

void EngineSwitch::reconcile(const SwitchInput &input, const EngineReading &reading, TimePoint now,
        std::vector<SwitchAction> &actions)
{
    const bool isReady = reading.state == EngineReadiness::Ready && !reading.manifest.isNone();
    const bool isLoadOverdue = m_loadingSince && now - *m_loadingSince > m_options.loadTimeout;
    if (m_order || (reading.state == EngineReadiness::Loading && !isLoadOverdue)) {
        close();
        m_phase = SwitchPhase::Loading;
        return;
    }
    if (isReady && (!input.desired || reading.manifest == input.desired->manifest)) {
        open(reading.manifest);
        withdrawGrant(actions);
        if (input.desired)
            releaseOtherWeights(reading.manifest, actions);
        return;
    }
    if (isReady) {
        replaceServedWeights(input, reading, now, actions);
        return;
    }
    close();
    m_phase = SwitchPhase::AwaitingWeights;
    // An empty engine serves no requests, so loading it needs no grant. Attempts that entered
    // before the engine lost its weights must not run on the new ones.
    if (input.desired && input.isFetched && isDrained(input, reading, now))
        order(*input.desired, now, actions);
}

void EngineSwitch::replaceServedWeights(const SwitchInput &input, const EngineReading &reading,
        TimePoint now, std::vector<SwitchAction> &actions)
{
    if (!input.isFetched) {
        open(reading.manifest);
        m_phase = SwitchPhase::AwaitingWeights;
        withdrawGrant(actions);
        return;
    }
    const Digest wanted = input.desired->manifest;
    if (m_grantRequested != wanted) {
        m_grantRequested = wanted;
        actions.emplace_back(RequestGrant{wanted});
    }
    if (!input.grantedUntil || *input.grantedUntil - now < m_options.grantMargin) {
        open(reading.manifest);
        m_phase = SwitchPhase::AwaitingGrant;
        return;
    }
    // The fencing number is reserved while the gate is still open: during an outage of the platform
    // none may be available.
    if (!hasFence()) {
        open(reading.manifest);
        m_phase = SwitchPhase::AwaitingGrant;
        actions.emplace_back(RequestFence{});
        return;
    }
    closeForSwitch();
    m_phase = SwitchPhase::Draining;
    if (isDrained(input, reading, now))
        order(*input.desired, now, actions);
}

bool EngineSwitch::isDrained(const SwitchInput &input, const EngineReading &reading, TimePoint now)
{
    if (input.admittedAttempts > 0) {
        m_gateEmptySince.reset();
        return false;
    }
    if (!m_gateEmptySince)
        m_gateEmptySince = now;
    const bool isReadSinceGateEmpty = reading.requestedAt >= *m_gateEmptySince;
    const bool isIdle = reading.inFlight == 0 || now - *m_gateEmptySince > m_options.drainTimeout;
    return isReadSinceGateEmpty && isIdle;
}

void EngineSwitch::order(
        const DesiredWeights &desired, TimePoint now, std::vector<SwitchAction> &actions)
{
    m_phase = SwitchPhase::Ordering;
    if (now < m_orderNotBefore)
        return;
    if (!hasFence()) {
        actions.emplace_back(RequestFence{});
        return;
    }
    endEpoch();
    m_order = Order{desired.manifest, *m_fence, now, false};
    m_highestFence = *m_fence;
    m_fence.reset();
    m_loadingSince = now;
    m_phase = SwitchPhase::Loading;
    actions.emplace_back(OrderLoad{m_order->manifest, m_order->fence});
}

void EngineSwitch::onFence(domain::FencingNumber fence)
{
    m_fence = fence;
    m_needsHigherFence = false;
}

void EngineSwitch::onFenceUnavailable(bool isSuperseded)
{
    m_fence.reset();
    if (isSuperseded)
        m_phase = SwitchPhase::Superseded;
}

void EngineSwitch::onOrderResult(OrderResult result)
{
    if (!m_order)
        return;
    const bool isRefused = result == OrderResult::Fenced || result == OrderResult::Refused;
    m_order->isRefused = isRefused;
}

void EngineSwitch::requestFetch(const SwitchInput &input, std::vector<SwitchAction> &actions)
{
    if (!input.desired)
        return;
    m_requested.insert(input.desired->manifest);
    actions.emplace_back(FetchWeights{*input.desired});
}

void EngineSwitch::releaseOtherWeights(const Digest &kept, std::vector<SwitchAction> &actions)
{
    for (const Digest &manifest : m_requested) {
        if (manifest != kept)
            actions.emplace_back(ReleaseWeights{manifest});
    }
    std::erase_if(m_requested, [&](const Digest &manifest) { return manifest != kept; });
}

void EngineSwitch::withdrawGrant(std::vector<SwitchAction> &actions)
{
    if (m_grantRequested) {
        m_grantRequested.reset();
        actions.emplace_back(WithdrawGrant{});
    }
}

void EngineSwitch::open(const Digest &digest)
{
    m_phase = SwitchPhase::Serving;
    m_hasServed = true;
    if (m_epochDigest != digest)
        endEpoch();
    m_epochDigest = digest;
    m_gate.isOpen = true;
    m_gate.activeDigest = digest;
}

void EngineSwitch::closeForSwitch()
{
    if (!m_gate.isOpen)
        return;
    m_gateEmptySince.reset();
    m_gate.isOpen = false;
    m_gate.activeDigest = Digest();
}

void EngineSwitch::close()
{
    closeForSwitch();
    endEpoch();
}

void EngineSwitch::endEpoch()
{
    if (m_epochDigest.isNone())
        return;
    m_epochDigest = Digest();
    ++m_gate.epoch;
}

} // namespace oriolerill::rollout
