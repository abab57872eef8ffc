#include "agentfleet.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <array>
#include <thread>
#include <vector>

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
        engine.onStagedRead = [&engine, action = std::move(action)](std::uint32_t piece) {
            if (piece != LastPiece)
                return;
            engine.onStagedRead = nullptr;
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

/// The engine accepts an order when its answer is no longer awaited.
class UnconfirmedOrderFixture : public VerifiedLoadFixture
{
protected:
    void SetUp() override
    {
        m_entry.non_blocking(true);
        subscribe();
        m_fleet.sendSubscription();
        m_fleet.nameVersion(2);
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

    /// Reports that have arrived since the last call and in the next second.
    std::vector<protocol::LoadReport> reports()
    {
        subscribe();
        m_fleet.runUntil([] { return false; }, 1s);
        std::vector<protocol::LoadReport> reports;
        std::array<char, 1500> bytes{};
        boost::system::error_code code;
        for (;;) {
            const std::size_t size = m_entry.receive(boost::asio::buffer(bytes), 0, code);
            if (code)
                return reports;
            protocol::EntryDatagram datagram;
            datagram.ParseFromArray(bytes.data(), static_cast<int>(size));
            if (datagram.has_report())
                reports.push_back(datagram.report());
        }
    }
    /// Whether the last report states that the engine is switching.
    bool isReportedAsSwitching()
    {
        const auto received = reports();
        return !received.empty() && received.back().is_switching();
    }
    /// Whether any report offers the version to requests.
    bool isOffered(std::uint64_t version)
    {
        const auto received = reports();
        EXPECT_FALSE(received.empty());
        return std::any_of(received.begin(), received.end(), [version](const auto &report) {
            return report.weights_version() == version && !report.is_switching();
        });
    }

    /// After a wrong load of version 2.
    void expectWithheldUntilNextVersion()
    {
        EXPECT_EQ(m_fleet.wrongLoads(), 1);
        EXPECT_TRUE(isReportedAsSwitching());
        m_fleet.nameVersion(3);
        EXPECT_TRUE(m_fleet.runUntil([&] { return m_fleet.isServedEverywhere(3); }, 15s));
        EXPECT_EQ(m_fleet.wrongLoads(), 1);
        EXPECT_FALSE(isReportedAsSwitching());
    }

    AgentFleet m_fleet{options()};
    platform::StandInEngine &m_engine = *m_fleet.agents.front().engine;
    boost::asio::ip::udp::socket m_entry{
            m_fleet.context, {boost::asio::ip::make_address_v4("127.0.9.7"), 0}};
};

// Regression: an agent staged a corrupted piece again right after the engine had accepted an
// earlier order, whose answer was lost, and loaded it. The pieces were intact when they were
// checked after the load, and the engine made tokens with the corrupted one.
TEST_F(UnconfirmedOrderFixture, push_acceptedBeforeCorruptedPieceStagedAgain_withheld)
{
    m_engine.areOrdersHeld = true;
    m_engine.onOrder = [this] {
        m_engine.onOrder = nullptr;
        EXPECT_TRUE(m_engine.corruptStagedPiece(CorruptedPiece));
        m_engine.onStagedRead = [this](std::uint32_t) {
            m_engine.onStagedRead = nullptr;
            m_engine.areOrdersHeld = false;
            m_engine.acceptHeldOrder();
        };
    };
    ASSERT_TRUE(m_fleet.runUntil([&] { return m_fleet.isServedEverywhere(2); }, 15s));
    expectWithheldUntilNextVersion();
}

// Guards against an engine that accepts the older of two unconfirmed orders when the pieces of the
// newer version are staged.
TEST_F(UnconfirmedOrderFixture, push_olderOfTwoAccepted_withheldUntilNewerServed)
{
    m_engine.areOrdersHeld = true;
    ASSERT_TRUE(m_fleet.runUntil([&] { return m_engine.heldOrderCount() > 0; }, 15s));
    m_fleet.nameVersion(3);
    bool isNewerOrdered = false;
    m_engine.onOrder = [this, &isNewerOrdered] {
        isNewerOrdered = m_engine.stagedPiece(0) == platform::StandInWeights().piece(3, 0);
    };
    ASSERT_TRUE(m_fleet.runUntil([&] { return isNewerOrdered; }, 15s));
    m_engine.acceptHeldOrder();
    ASSERT_TRUE(m_fleet.runUntil([&] { return m_fleet.isServedEverywhere(2); }, 15s));
    EXPECT_EQ(m_fleet.wrongLoads(), 1);
    EXPECT_FALSE(isOffered(2));
    m_engine.onOrder = nullptr;
    m_engine.areOrdersHeld = false;
    EXPECT_TRUE(m_fleet.runUntil([&] { return m_fleet.isServedEverywhere(3); }, 15s));
    EXPECT_EQ(m_fleet.wrongLoads(), 1);
    EXPECT_FALSE(isReportedAsSwitching());
}

/// The engine stands still when the order arrives, and accepts it when the answer is no longer
/// awaited.
class LateOrderFixture : public UnconfirmedOrderFixture
{
protected:
    void SetUp() override
    {
        m_engine.onOrder = [this] {
            m_engine.onOrder = nullptr;
            m_engine.standStillUntil(TimePoint::clock::now() + Pause);
            if (m_isCorrupted) {
                EXPECT_TRUE(m_engine.corruptStagedPiece(CorruptedPiece));
            }
        };
        UnconfirmedOrderFixture::SetUp();
        ASSERT_TRUE(m_fleet.runUntil([&] { return m_fleet.isServedEverywhere(2); }, 15s));
    }

    bool m_isCorrupted = true;
};

// Guards against requests at an engine that may have loaded corrupted pieces, because it accepted
// an order long after the check.
TEST_F(LateOrderFixture, push_pieceCorruptedBeforeLateAcceptance_withheldUntilNextVersion)
{
    expectWithheldUntilNextVersion();
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
