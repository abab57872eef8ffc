#include "rollout/engineswitch.h"

#include <gtest/gtest.h>

#include <chrono>
#include <random>

namespace oriolerill::rollout {

using namespace std::chrono_literals;
using domain::Digest;
using domain::FencingNumber;
using domain::TimePoint;

namespace {

const Digest oldWeights = Digest::of(std::string_view("old"));
const Digest newWeights = Digest::of(std::string_view("new"));

/// An engine that loads for 500 ms and may ignore fencing numbers.
struct FakeEngine
{
    EngineReadiness state = EngineReadiness::Empty;
    Digest manifest;
    FencingNumber fence;
    bool ignoresFences = false;
    TimePoint readyAt;

    OrderResult load(const OrderLoad &order, TimePoint now)
    {
        if (!ignoresFences && order.fence < fence)
            return OrderResult::Fenced;
        fence = order.fence;
        manifest = order.manifest;
        state = EngineReadiness::Loading;
        readyAt = now + 500ms;
        return OrderResult::Accepted;
    }
    void advance(TimePoint now)
    {
        if (state == EngineReadiness::Loading && now >= readyAt)
            state = EngineReadiness::Ready;
    }
    void restart()
    {
        state = EngineReadiness::Empty;
        manifest = Digest();
        fence = FencingNumber();
    }
};

} // namespace

class EngineSwitchFixture : public testing::Test
{
protected:
    void SetUp() override
    {
        engine.state = EngineReadiness::Ready;
        engine.manifest = oldWeights;
        input.desired = DesiredWeights{oldWeights, 0};
        input.isFetched = true;
        tick();
        ASSERT_TRUE(engineSwitch.gate().isOpen);
    }

    void tick(domain::Duration step = 100ms)
    {
        now += step;
        engine.advance(now);
        if (isReading) {
            input.reading
                    = EngineReading{engine.state, engine.manifest, engine.fence, 0, now - 1ms};
        }
        stepAndPerform();
        if (std::exchange(hasNewFence, false))
            stepAndPerform();
    }
    void stepAndPerform()
    {
        actions = engineSwitch.step(input, now);
        for (const SwitchAction &action : actions)
            perform(action);
        if (engineSwitch.gate().isOpen && isReading) {
            EXPECT_EQ(engineSwitch.gate().activeDigest, engine.manifest);
        }
    }
    void perform(const SwitchAction &action)
    {
        if (std::holds_alternative<RequestFence>(action) && hasPlatform) {
            engineSwitch.onFence(FencingNumber(++fence));
            hasNewFence = true;
        }
        if (std::holds_alternative<RequestGrant>(action) && hasTracker)
            input.grantedUntil = now + 10s;
        if (std::holds_alternative<WithdrawGrant>(action))
            input.grantedUntil.reset();
        const auto *const order = std::get_if<OrderLoad>(&action);
        if (order == nullptr)
            return;
        EXPECT_FALSE(engineSwitch.gate().isOpen);
        EXPECT_EQ(input.admittedAttempts, 0U);
        ++orders;
        if (ordersToLose > 0) {
            --ordersToLose;
            engineSwitch.onOrderResult(OrderResult::Unknown);
            return;
        }
        engineSwitch.onOrderResult(engine.load(*order, now));
    }
    void run(domain::Duration duration)
    {
        for (const TimePoint end = now + duration; now < end;)
            tick();
    }
    bool isServing(const Digest &digest) const
    {
        return engineSwitch.gate().isOpen && engineSwitch.gate().activeDigest == digest;
    }

    EngineSwitch engineSwitch;
    FakeEngine engine;
    SwitchInput input;
    TimePoint now = TimePoint(1h);
    std::vector<SwitchAction> actions;
    std::uint64_t fence = 0;
    int orders = 0;
    int ordersToLose = 0;
    bool hasPlatform = true;
    bool hasTracker = true;
    bool isReading = true;
    bool hasNewFence = false;
};

// Guards against weights that are replaced while requests run on them.
TEST_F(EngineSwitchFixture, switch_requestsAdmitted_waitsUntilDrained)
{
    input.admittedAttempts = 2;
    input.desired->manifest = newWeights;
    run(1s);
    EXPECT_FALSE(engineSwitch.gate().isOpen);
    EXPECT_EQ(orders, 0);
    input.admittedAttempts = 0;
    run(2s);
    EXPECT_TRUE(isServing(newWeights));
    EXPECT_EQ(orders, 1);
}

// Guards against an endpoint that leaves service before the new weights are complete on its VM.
TEST_F(EngineSwitchFixture, switch_notFetched_keepsServingOldWeights)
{
    input.desired->manifest = newWeights;
    input.isFetched = false;
    run(2s);
    EXPECT_TRUE(isServing(oldWeights));
}

// Guards against more endpoints out of service at the same time than the rollout allows.
TEST_F(EngineSwitchFixture, switch_withoutGrant_keepsServingOldWeights)
{
    hasTracker = false;
    input.desired->manifest = newWeights;
    run(2s);
    EXPECT_TRUE(isServing(oldWeights));
    EXPECT_EQ(orders, 0);
}

// Guards against an endpoint that stays closed after its grant expired while it drained.
TEST_F(EngineSwitchFixture, switch_grantExpiresWhileDraining_reopens)
{
    input.admittedAttempts = 1;
    input.desired->manifest = newWeights;
    run(1s);
    ASSERT_FALSE(engineSwitch.gate().isOpen);
    input.grantedUntil = now;
    tick();
    EXPECT_TRUE(isServing(oldWeights));
}

// Guards against an order under a grant that expired and passed to another endpoint while the
// agent was paused.
TEST_F(EngineSwitchFixture, switch_pausedLongerThanGrant_readsAgainBeforeOrder)
{
    input.admittedAttempts = 1;
    input.desired->manifest = newWeights;
    run(1s);
    input.admittedAttempts = 0;
    isReading = false;
    input.reading->requestedAt = now + 15s;
    now += 15s;
    actions = engineSwitch.step(input, now + 1ms);
    for (const SwitchAction &action : actions)
        EXPECT_FALSE(std::holds_alternative<OrderLoad>(action));
    EXPECT_FALSE(engineSwitch.gate().isOpen);
    isReading = true;
    hasTracker = false;
    run(1s);
    EXPECT_TRUE(isServing(oldWeights));
    EXPECT_EQ(orders, 0);
}

// Guards against endpoints that leave service because the platform is unreachable.
TEST_F(EngineSwitchFixture, switch_noFencingNumber_keepsServingOldWeights)
{
    hasPlatform = false;
    input.desired->manifest = newWeights;
    run(3s);
    EXPECT_TRUE(isServing(oldWeights));
    hasPlatform = true;
    run(2s);
    EXPECT_TRUE(isServing(newWeights));
}

// Guards against an unlimited wait after an order or its answer was lost.
TEST_F(EngineSwitchFixture, switch_orderLost_orderedAgainWithHigherNumber)
{
    ordersToLose = 1;
    input.desired->manifest = newWeights;
    run(6s);
    EXPECT_EQ(orders, 2);
    EXPECT_TRUE(isServing(newWeights));
}

// Guards against an engine that restarts during a load and stays empty.
TEST_F(EngineSwitchFixture, switch_engineRestartsDuringLoad_loadsAgain)
{
    input.desired->manifest = newWeights;
    while (engine.state != EngineReadiness::Loading)
        tick();
    engine.restart();
    run(5s);
    EXPECT_TRUE(isServing(newWeights));
}

// Guards against answers that are aborted because their endpoint drains for a switch: the epoch
// stays the same until the last attempt has left.
TEST_F(EngineSwitchFixture, switch_attemptInProgress_epochKeptUntilOrder)
{
    const std::uint64_t epoch = engineSwitch.gate().epoch;
    input.desired->manifest = newWeights;
    input.admittedAttempts = 1;
    run(2s);
    EXPECT_EQ(engineSwitch.phase(), SwitchPhase::Draining);
    EXPECT_FALSE(engineSwitch.gate().isOpen);
    EXPECT_EQ(engineSwitch.gate().epoch, epoch);
    input.admittedAttempts = 0;
    run(3s);
    EXPECT_TRUE(isServing(newWeights));
    EXPECT_GT(engineSwitch.gate().epoch, epoch);
}

// Guards against an answer from mixed weights after the engine restarts while it drains.
TEST_F(EngineSwitchFixture, draining_engineRestarts_epochChanges)
{
    const std::uint64_t epoch = engineSwitch.gate().epoch;
    input.desired->manifest = newWeights;
    input.admittedAttempts = 1;
    run(2s);
    ASSERT_EQ(engineSwitch.phase(), SwitchPhase::Draining);
    engine.restart();
    tick();
    EXPECT_GT(engineSwitch.gate().epoch, epoch);
}

// Guards against requests to an engine that has lost its weights.
TEST_F(EngineSwitchFixture, serving_engineLosesWeights_closesAndLoads)
{
    const std::uint64_t epoch = engineSwitch.gate().epoch;
    engine.restart();
    tick();
    EXPECT_FALSE(engineSwitch.gate().isOpen);
    EXPECT_GT(engineSwitch.gate().epoch, epoch);
    run(3s);
    EXPECT_TRUE(isServing(oldWeights));
}

// Guards against a gate that stays open after a late order of a superseded agent has changed the
// weights of an engine that ignores fencing numbers.
TEST_F(EngineSwitchFixture, serving_lateOrderOnEngineWithoutFences_gateClosedUntilReloaded)
{
    engine.ignoresFences = true;
    input.desired->manifest = newWeights;
    run(3s);
    ASSERT_TRUE(isServing(newWeights));
    engine.load(OrderLoad{oldWeights, FencingNumber(1)}, now);
    tick();
    EXPECT_FALSE(engineSwitch.gate().isOpen);
    run(5s);
    EXPECT_TRUE(isServing(newWeights));
}

// Guards against two agents that alternately send orders: the superseded one must stop.
TEST_F(EngineSwitchFixture, loading_laterFenceSeen_closedUntilHigherFenceReserved)
{
    input.desired->manifest = newWeights;
    while (engine.state != EngineReadiness::Loading)
        tick();
    hasPlatform = false;
    engine.load(OrderLoad{oldWeights, FencingNumber(100)}, now);
    run(3s);
    EXPECT_FALSE(engineSwitch.gate().isOpen);
    engineSwitch.onFenceUnavailable(true);
    run(1s);
    EXPECT_EQ(engineSwitch.phase(), SwitchPhase::Superseded);
    EXPECT_EQ(orders, 1);
}

// Guards against a sequence of failures after which the engine never serves again. Every step
// checks the invariants: the gate is open only for the weights that the engine has loaded, and
// orders are sent only when the gate is closed and no attempt is inside.
TEST_F(EngineSwitchFixture, switch_randomFailures_convergesOnDesired)
{
    for (std::uint32_t seed = 0; seed < 200; ++seed) {
        std::mt19937 random(seed);
        input.desired->manifest = seed % 2 == 0 ? newWeights : oldWeights;
        engine.ignoresFences = seed % 3 == 0;
        for (int i = 0; i < 40; ++i) {
            if (random() % 15 == 0)
                engine.restart();
            ordersToLose = random() % 10 == 0 ? 1 : 0;
            hasPlatform = random() % 4 != 0;
            // Attempts enter while the gate is open and may leave at any time.
            input.admittedAttempts = engineSwitch.gate().isOpen
                    ? random() % 3
                    : random() % (input.admittedAttempts + 1);
            if (random() % 10 == 0)
                input.grantedUntil.reset();
            tick(random() % 20 == 0 ? 3s : 100ms);
        }
        ordersToLose = 0;
        hasPlatform = true;
        input.admittedAttempts = 0;
        input.grantedUntil = now + 1h;
        run(10s);
        ASSERT_TRUE(isServing(input.desired->manifest)) << "seed " << seed;
    }
}

} // namespace oriolerill::rollout
