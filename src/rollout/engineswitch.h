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

enum class EngineState {
    Unreachable,
    Empty,
    Loading,
    Ready,
};

/// The engine's state as it was read.
struct EngineReading
{
    EngineState state = EngineState::Unreachable;
    domain::Digest manifest;
    domain::FencingNumber fence;
    std::uint32_t inFlight = 0;
    /// When the question was sent; the state is at least as new.
    domain::TimePoint takenAt;
};

/// The weights that the configuration wants.
struct DesiredWeights
{
    domain::Digest manifest;
    std::uint32_t priority = 0;

    friend bool operator==(const DesiredWeights &, const DesiredWeights &) = default;
};

struct SwitchInput
{
    /// None while no rollout concerns the endpoint: what is loaded stays in service.
    std::optional<DesiredWeights> desired;
    bool isFetched = false;
    std::optional<domain::TimePoint> grantedUntil;
    /// Attempts inside the gate.
    std::size_t entered = 0;
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
struct TakeFence
{};
/// Send this order once and report the result with onOrderResult().
struct OrderLoad
{
    domain::Digest manifest;
    domain::FencingNumber fence;
};

using SwitchAction = std::variant<FetchWeights, ReleaseWeights, RequestGrant, WithdrawGrant,
        TakeFence, OrderLoad>;

enum class OrderResult {
    Accepted,
    /// The engine has seen a higher fencing number.
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
    /// Another agent has given the engine a later order.
    Superseded,
};

struct EngineSwitchOptions
{
    /// A reading older than this does not justify an order or an open gate.
    domain::Duration readingLifetime = std::chrono::seconds(1);
    /// A gate that is open stays open on a reading up to this age.
    domain::Duration openGateLifetime = std::chrono::seconds(3);
    /// Time left of a grant below which no order is given.
    domain::Duration grantMargin = std::chrono::milliseconds(500);
    /// A longer gap between two steps means that the process was paused.
    domain::Duration maxStepGap = std::chrono::seconds(1);
    /// An engine that still shows the old state this long after an order did not get it.
    domain::Duration loadStartTimeout = std::chrono::seconds(2);
    /// Pause after an order that failed.
    domain::Duration orderRetryDelay = std::chrono::milliseconds(500);
    /// An engine that loads longer than this is ordered again.
    domain::Duration loadTimeout = std::chrono::minutes(5);
    /// The engine's count of requests lags; the wait for its zero is bounded by this.
    domain::Duration drainTimeout = std::chrono::seconds(3);
};

/// Decides how the agent brings its engine to the desired weights: fetch, wait for a grant, close
/// admission, drain, order the load, read back, open.
///
/// Every step compares the desired with the observed state, so it goes on from any state that an
/// engine restart, a lost order or a late order of another agent leaves behind. The gate is only
/// open on a recent reading of a ready engine, taken after the last order and the last pause.
class EngineSwitch
{
public:
    explicit EngineSwitch(EngineSwitchOptions options = {});

    /// Next actions; the gate is to be set to gate() before they are carried out.
    std::vector<SwitchAction> step(const SwitchInput &input, domain::TimePoint now);

    /// A number for the next order, valid until the next pause.
    void onFence(domain::FencingNumber fence);
    /// No number can be had; isSuperseded when another process holds the right to give orders.
    void onNoFence(bool isSuperseded);
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
    /// Closes the gate; attempts that are inside keep their epoch.
    void closeForSwitch();
    /// Closes the gate because the weights may change or have changed.
    void close();
    void endEpoch();

    EngineSwitchOptions m_options;
    GateState m_gate;
    /// Weights of the current epoch; none when no attempt can belong to it.
    domain::Digest m_epochDigest;
    SwitchPhase m_phase = SwitchPhase::Starting;
    bool m_hasServed = false;
    std::optional<domain::TimePoint> m_steppedAt;
    /// Readings from before this time do not count.
    domain::TimePoint m_validFrom;
    std::optional<Order> m_order;
    std::optional<domain::FencingNumber> m_fence;
    domain::FencingNumber m_highestFence;
    /// The engine has shown a later number than that of the own order.
    bool m_needsHigherFence = false;
    domain::TimePoint m_orderNotBefore;
    std::optional<domain::TimePoint> m_loadingSince;
    std::optional<domain::TimePoint> m_gateEmptySince;
    std::set<domain::Digest> m_requested;
    std::optional<domain::Digest> m_grantRequested;
};

} // namespace oriolerill::rollout
