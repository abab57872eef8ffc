#pragma once

#include "domain/digest.h"
#include "domain/quantity.h"
#include "domain/timepoint.h"
#include "rollout/ienginegate.h"

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <set>
#include <variant>
#include <vector>

namespace oriolerill::rollout {

/// Whether an engine can serve requests.
enum class EngineReadiness {
    Unreachable,
    Empty,
    Loading,
    Ready,
};

/// The engine's answer to one status request.
struct EngineReading
{
    EngineReadiness state = EngineReadiness::Unreachable;
    domain::Digest manifest;
    domain::FencingNumber fence;
    std::uint32_t inFlight = 0;
    /// When the status request was sent; the state is at least as recent.
    domain::TimePoint requestedAt;
};

/// The weights that the configuration assigns to the endpoint.
struct DesiredWeights
{
    domain::Digest manifest;
    std::uint32_t priority = 0;

    friend bool operator==(const DesiredWeights &, const DesiredWeights &) = default;
};

struct SwitchInput
{
    /// None while no rollout applies to the endpoint: the loaded weights stay in service.
    std::optional<DesiredWeights> desired;
    /// The desired weights are complete on this VM.
    bool isFetched = false;
    std::optional<domain::TimePoint> grantedUntil;
    /// Attempts that have entered the gate and not left it.
    std::size_t admittedAttempts = 0;
    std::optional<EngineReading> reading;
};

struct FetchWeights
{
    DesiredWeights weights;
};
struct ReleaseWeights
{
    domain::Digest manifest;
};
struct RequestGrant
{
    domain::Digest manifest;
};
struct WithdrawGrant
{};
/// Obtain a fencing number and report it with onFence().
struct RequestFence
{};
/// Send this order once and report the result with onOrderResult().
struct OrderLoad
{
    domain::Digest manifest;
    domain::FencingNumber fence;
};

using SwitchAction = std::variant<FetchWeights, ReleaseWeights, RequestGrant, WithdrawGrant,
        RequestFence, OrderLoad>;

enum class OrderResult {
    Accepted,
    /// The engine has received a higher fencing number.
    Fenced,
    /// Refused for another reason.
    Refused,
    Unknown,
};

enum class SwitchPhase {
    Starting,
    Serving,
    AwaitingWeights,
    AwaitingGrant,
    Draining,
    Ordering,
    Loading,
    /// Another agent holds the right to give orders to the engine.
    Superseded,
};

struct EngineSwitchOptions
{
    /// An older reading permits neither an order nor an opening of the gate.
    domain::Duration readingLifetime = std::chrono::seconds(1);
    /// An open gate stays open while the last reading is at most this old.
    domain::Duration openGateLifetime = std::chrono::seconds(3);
    /// Minimum remaining time of a grant for an order to be sent.
    domain::Duration grantMargin = std::chrono::milliseconds(500);
    /// A longer time between two steps means that the process was paused.
    domain::Duration maxStepGap = std::chrono::seconds(1);
    /// An engine that has not begun to load this long after an order did not receive it.
    domain::Duration loadStartTimeout = std::chrono::seconds(2);
    /// Wait after a failed order.
    domain::Duration orderRetryDelay = std::chrono::milliseconds(500);
    /// An engine that loads for longer than this is sent another order.
    domain::Duration loadTimeout = std::chrono::minutes(5);
    /// Longest wait, after the last attempt has left the gate, until the engine reports no requests
    /// in flight; its count lags.
    domain::Duration drainTimeout = std::chrono::seconds(3);
};

/// Decides how the agent brings its engine to the desired weights: fetch, wait for a grant, close
/// the gate, drain, order the load, verify the loaded weights, open the gate.
///
/// Every step reconciles the observed with the desired state, so it recovers from any state after
/// an engine restart, a lost order or a late order of another agent. The gate is only open on a
/// recent reading of a ready engine, requested after the last order and the last pause.
class EngineSwitch
{
public:
    explicit EngineSwitch(EngineSwitchOptions options = {});

    /// Next actions; the caller applies gate() before it performs them.
    std::vector<SwitchAction> step(const SwitchInput &input, domain::TimePoint now);

    /// A fencing number for the next order; a pause of the process invalidates it.
    void onFence(domain::FencingNumber fence);
    /// No fencing number is available; isSuperseded when another process holds the right to give
    /// orders.
    void onFenceUnavailable(bool isSuperseded);
    void onOrderResult(OrderResult result);

    const GateState &gate() const { return m_gate; }
    SwitchPhase phase() const { return m_phase; }
    bool hasServed() const { return m_hasServed; }

private:
    struct Order
    {
        domain::Digest manifest;
        domain::FencingNumber fence;
        domain::TimePoint sentAt;
        bool isRefused = false;
    };

    void detectPause(domain::TimePoint now);
    const EngineReading *freshReading(const SwitchInput &input, domain::TimePoint now) const;
    void closeUnlessRecentlyRead(
            const SwitchInput &input, const EngineReading *reading, domain::TimePoint now);
    void updateLoadingSince(const EngineReading &reading, domain::TimePoint now);
    void resolveOrder(const EngineReading &reading, domain::TimePoint now);
    void reconcile(const SwitchInput &input, const EngineReading &reading, domain::TimePoint now,
            std::vector<SwitchAction> &actions);
    void replaceServedWeights(const SwitchInput &input, const EngineReading &reading,
            domain::TimePoint now, std::vector<SwitchAction> &actions);
    void order(const DesiredWeights &desired, domain::TimePoint now,
            std::vector<SwitchAction> &actions);
    bool isDrained(const SwitchInput &input, const EngineReading &reading, domain::TimePoint now);
    void requestFetch(const SwitchInput &input, std::vector<SwitchAction> &actions);
    void releaseOtherWeights(const domain::Digest &kept, std::vector<SwitchAction> &actions);
    void withdrawGrant(std::vector<SwitchAction> &actions);
    bool hasFence() const { return m_fence && *m_fence > m_highestFence; }
    void open(const domain::Digest &digest);
    /// Closes the gate; attempts that have entered keep their epoch.
    void closeForSwitch();
    /// Closes the gate because the weights may change or have changed.
    void close();
    void endEpoch();

    EngineSwitchOptions m_options;
    GateState m_gate;
    /// Weights of the current epoch; none after the epoch has ended.
    domain::Digest m_epochDigest;
    SwitchPhase m_phase = SwitchPhase::Starting;
    bool m_hasServed = false;
    std::optional<domain::TimePoint> m_steppedAt;
    /// Readings requested before this time are ignored.
    domain::TimePoint m_validFrom;
    std::optional<Order> m_order;
    std::optional<domain::FencingNumber> m_fence;
    domain::FencingNumber m_highestFence;
    /// The engine reports a higher fencing number than that of this agent's order, so a number
    /// above it must be reserved before the gate may open.
    bool m_needsHigherFence = false;
    domain::TimePoint m_orderNotBefore;
    std::optional<domain::TimePoint> m_loadingSince;
    std::optional<domain::TimePoint> m_gateEmptySince;
    std::set<domain::Digest> m_requested;
    std::optional<domain::Digest> m_grantRequested;
};

} // namespace oriolerill::rollout
