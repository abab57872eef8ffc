#include "agentfleet.h"

#include <gtest/gtest.h>

#include <array>
#include <thread>

namespace oriolerill::relayagent {

using namespace std::chrono_literals;
using domain::TimePoint;

/// One agent and its engine; a piece of version 2 is corrupted after the agent has checked it.
class VerifiedLoadFixture : public testing::Test
{
protected:
    /// Longer than the platform tolerates between the corruption of a piece and its load.
    static constexpr auto Pause = 3200ms;
    static constexpr std::uint32_t LastPiece = 47;
    static constexpr std::uint32_t CorruptedPiece = 3;

    static AgentFleetOptions options(domain::SuspensionClock::Reader suspended = {})
    {
        AgentFleetOptions options;
        options.dataCentres = 1;
        options.agentsPerDataCentre = 1;
        options.suspended = std::move(suspended);
        return options;
    }

    /// Runs the action once, when the agent reads the last staged piece for the first time.
    static void atEndOfFirstCheck(platform::StandInEngine &engine, std::function<void()> action)
    {
        engine.onStagedRead = [&engine, action = std::move(action), isDone = false](
                                      std::uint32_t piece) mutable {
            if (std::exchange(isDone, isDone || piece == LastPiece) || piece != LastPiece)
                return;
            EXPECT_TRUE(engine.corruptStagedPiece(CorruptedPiece));
            action();
        };
    }

    static void expectLoadedIntact(AgentFleet &fleet, std::uint64_t version)
    {
        fleet.sendSubscription();
        fleet.nameVersion(version);
        EXPECT_TRUE(fleet.runUntil([&] { return fleet.isServedEverywhere(version); }, 15s));
        EXPECT_EQ(fleet.wrongLoads(), 0);
        EXPECT_EQ(fleet.agents.front().engine->orders(), 1);
    }
};

// Regression: an agent that stood still between the check of the staged pieces and its order loaded
// a piece that had been corrupted since. Engines made tokens with it.
TEST_F(VerifiedLoadFixture, push_vmStandsStillBeforeOrder_piecesCheckedAgain)
{
    AgentFleet fleet(options());
    // All of the fleet runs on this thread.
    atEndOfFirstCheck(*fleet.agents.front().engine, [] { std::this_thread::sleep_for(Pause); });
    expectLoadedIntact(fleet, 2);
}

// The same for a suspended VM, for which the steady clock stands still too.
TEST_F(VerifiedLoadFixture, push_vmSuspendedBeforeOrder_piecesCheckedAgain)
{
    const auto suspended = std::make_shared<domain::Duration>(0s);
    AgentFleet fleet(options([suspended] { return *suspended; }));
    atEndOfFirstCheck(*fleet.agents.front().engine, [suspended] { *suspended += Pause; });
    expectLoadedIntact(fleet, 2);
}

// The same without any pause: on a slow VM the check of the first piece is too old once the last
// piece has been read.
TEST_F(VerifiedLoadFixture, push_checkTakesLongerThanItsLifetime_piecesCheckedAgain)
{
    AgentFleet fleet(options());
    platform::StandInEngine &engine = *fleet.agents.front().engine;
    engine.stagedReadTime = Pause / (LastPiece + 1);
    atEndOfFirstCheck(engine, [&engine] { engine.stagedReadTime = 0s; });
    expectLoadedIntact(fleet, 2);
}

// Guards against an engine that crashed and started again after the check: its staged pieces were
// not checked since.
TEST_F(VerifiedLoadFixture, push_engineRestartsBeforeOrder_piecesCheckedAgain)
{
    AgentFleet fleet(options());
    platform::StandInEngine &engine = *fleet.agents.front().engine;
    atEndOfFirstCheck(engine, [&engine] { engine.restart(2); });
    expectLoadedIntact(fleet, 2);
}

// Guards against an order that an engine accepts late, after another one: it would load the staged
// pieces of the newer version as those of the older one.
TEST_F(VerifiedLoadFixture, order_acceptedAfterAnotherOrder_conflicts)
{
    AgentFleet fleet(options());
    platform::StandInEngine &engine = *fleet.agents.front().engine;
    std::uint64_t expectedOrders = 7;
    engine.onOrder = [&] { expectedOrders = static_cast<std::uint64_t>(engine.orders()); };
    expectLoadedIntact(fleet, 2);
    EXPECT_EQ(expectedOrders, 0U);
    transport::HttpRequest late;
    late.method = "POST";
    late.target = platform::orderTarget();
    late.body = platform::startOrder({domain::ModelId("m"), 1}, 0);
    EXPECT_EQ(engine.handle(late).status, 409U);
    EXPECT_EQ(engine.orders(), 1);
}

/// The engine stands still when the order arrives, and accepts it when the answer is no longer
/// awaited.
class LateOrderFixture : public VerifiedLoadFixture
{
protected:
    void SetUp() override
    {
        platform::StandInEngine &engine = *m_fleet.agents.front().engine;
        engine.onOrder = [this, &engine] {
            engine.onOrder = nullptr;
            engine.standStillUntil(TimePoint::clock::now() + Pause);
            if (m_isCorrupted) {
                EXPECT_TRUE(engine.corruptStagedPiece(CorruptedPiece));
            }
        };
        m_entry.non_blocking(true);
        subscribe();
        m_fleet.sendSubscription();
        m_fleet.nameVersion(2);
        ASSERT_TRUE(m_fleet.runUntil([&] { return m_fleet.isServedEverywhere(2); }, 15s));
    }

    /// Entries subscribe every second.
    void subscribe()
    {
        protocol::AgentDatagram datagram;
        datagram.mutable_subscription()->set_entry("e");
        const domain::SocketAddress load = m_fleet.loadAddress(m_fleet.agents.front().host);
        m_entry.send_to(boost::asio::buffer(datagram.SerializeAsString()),
                {boost::asio::ip::make_address_v4(load.host), load.port});
    }

    /// Whether the last report of the next second states that the engine is switching.
    bool isReportedAsSwitching()
    {
        subscribe();
        m_fleet.runUntil([] { return false; }, 1s);
        bool isSwitching = false;
        std::array<char, 1500> bytes{};
        boost::system::error_code code;
        for (;;) {
            const std::size_t size = m_entry.receive(boost::asio::buffer(bytes), 0, code);
            if (code)
                return isSwitching;
            protocol::EntryDatagram datagram;
            datagram.ParseFromArray(bytes.data(), static_cast<int>(size));
            if (datagram.has_report())
                isSwitching = datagram.report().is_switching();
        }
    }

    bool m_isCorrupted = true;
    AgentFleet m_fleet{options()};
    boost::asio::ip::udp::socket m_entry{
            m_fleet.context, {boost::asio::ip::make_address_v4("127.0.9.7"), 0}};
};

// Guards against requests at an engine that may have loaded corrupted pieces, because it accepted
// an order long after the check.
TEST_F(LateOrderFixture, push_pieceCorruptedBeforeLateAcceptance_withheldUntilNextVersion)
{
    EXPECT_EQ(m_fleet.wrongLoads(), 1);
    EXPECT_TRUE(isReportedAsSwitching());
    m_fleet.nameVersion(3);
    EXPECT_TRUE(m_fleet.runUntil([&] { return m_fleet.isServedEverywhere(3); }, 15s));
    EXPECT_EQ(m_fleet.wrongLoads(), 1);
    EXPECT_FALSE(isReportedAsSwitching());
}

class IntactLateOrderFixture : public LateOrderFixture
{
protected:
    IntactLateOrderFixture() { m_isCorrupted = false; }
};

// Guards against an engine that stays without requests although a late order loaded intact pieces.
TEST_F(IntactLateOrderFixture, push_piecesIntactAfterLateAcceptance_notWithheld)
{
    EXPECT_EQ(m_fleet.wrongLoads(), 0);
    EXPECT_FALSE(isReportedAsSwitching());
}

} // namespace oriolerill::relayagent
