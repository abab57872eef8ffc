#include "distribution/fleetholdings.h"

#include <gtest/gtest.h>

namespace oriolerill::distribution {

using namespace std::chrono_literals;
using domain::TimePoint;

class FleetHoldingsFixture : public testing::Test
{
protected:
    static constexpr std::uint64_t Version = 2;
    static constexpr std::size_t Pieces = 8;

    static HaveMap pieces(std::initializer_list<std::size_t> numbers)
    {
        HaveMap held(Pieces);
        for (const std::size_t number : numbers)
            held.set(number);
        return held;
    }

    std::size_t fleetCount() const { return m_holdings.fleet(Version, Pieces, m_now).count(); }

    const domain::DataCentreId m_other{"dc1"};
    TimePoint m_now{1h};
    FleetHoldings m_holdings{"10.0.0.1"};
};

// Guards against a piece that is read from the origin although a VM of the fleet holds it.
TEST_F(FleetHoldingsFixture, fleet_ownLocalAndRemotePieces_union)
{
    m_holdings.setOwn(Version, pieces({0}));
    m_holdings.onLocal(Version, "10.0.0.2", pieces({1, 2}), m_now);
    m_holdings.onRemote(Version, {m_other, pieces({2, 3}), m_now});
    EXPECT_EQ(m_holdings.local(Version, Pieces, m_now).count(), 3U);
    EXPECT_EQ(fleetCount(), 4U);
    EXPECT_EQ(m_holdings.remote(Version, m_now).size(), 1U);
    EXPECT_EQ(m_holdings.fleet(Version + 1, Pieces, m_now).count(), 0U);
}

// Guards against pieces that only a killed VM, or a data centre that is cut off, has held: they
// have to be read again.
TEST_F(FleetHoldingsFixture, fleet_reportsStop_piecesCountedAsMissing)
{
    m_holdings.setOwn(Version, pieces({0}));
    m_holdings.onLocal(Version, "10.0.0.2", pieces({1}), m_now);
    m_holdings.onRemote(Version, {m_other, pieces({2}), m_now});
    m_now += 1000ms;
    EXPECT_EQ(fleetCount(), 3U);
    m_now += 1ms;
    EXPECT_EQ(fleetCount(), 2U);
    m_now += 1000ms;
    EXPECT_EQ(fleetCount(), 1U);
}

// Guards against an older report, which arrived late over another VM, that replaces a newer one.
TEST_F(FleetHoldingsFixture, onRemote_olderReportArrivesLater_newerKept)
{
    m_holdings.onRemote(Version, {m_other, pieces({1, 2, 3}), m_now});
    m_holdings.onRemote(Version, {m_other, pieces({1}), m_now - 100ms});
    EXPECT_EQ(fleetCount(), 3U);
    EXPECT_TRUE(m_holdings.isReachable(m_other, m_now + 2000ms));
}

// Guards against maps of a manifest with another number of pieces.
TEST_F(FleetHoldingsFixture, fleet_mapOfOtherSize_ignored)
{
    m_holdings.onLocal(Version, "10.0.0.2", HaveMap::fromBytes("\xff\xff", 16), m_now);
    m_holdings.onRemote(Version, {m_other, HaveMap::fromBytes("\xff\xff", 16), m_now});
    EXPECT_EQ(fleetCount(), 0U);
}

// Guards against a killed reader that is waited for longer than about a second.
TEST_F(FleetHoldingsFixture, isRunning_datagramsStop_falseAfterASecond)
{
    EXPECT_FALSE(m_holdings.isRunning("10.0.0.2", m_now));
    EXPECT_TRUE(m_holdings.isRunning("10.0.0.1", m_now));
    m_holdings.onHost("10.0.0.2", true, m_now);
    EXPECT_TRUE(m_holdings.isOriginUnreachable("10.0.0.2"));
    EXPECT_TRUE(m_holdings.isRunning("10.0.0.2", m_now + 1000ms));
    EXPECT_FALSE(m_holdings.isRunning("10.0.0.2", m_now + 1001ms));
}

// Guards against VMs that are all taken for killed when a version is named, because they were
// silent before.
TEST_F(FleetHoldingsFixture, expectReports_namedAfterSilence_allRunAndAreReachableAtFirst)
{
    m_holdings.onHost("10.0.0.2", false, m_now);
    m_now += 1h;
    m_holdings.expectReports(m_now);
    EXPECT_TRUE(m_holdings.isRunning("10.0.0.2", m_now + 1000ms));
    EXPECT_FALSE(m_holdings.isRunning("10.0.0.2", m_now + 1001ms));
    EXPECT_TRUE(m_holdings.isReachable(m_other, m_now + 2000ms));
    EXPECT_FALSE(m_holdings.isReachable(m_other, m_now + 2001ms));
}

// Guards against holdings of old versions that are kept for ever.
TEST_F(FleetHoldingsFixture, erase_versionEvicted_nothingKept)
{
    m_holdings.setOwn(Version, pieces({0}));
    m_holdings.onRemote(Version, {m_other, pieces({2}), m_now});
    m_holdings.erase(Version);
    EXPECT_EQ(fleetCount(), 0U);
    EXPECT_TRUE(m_holdings.remote(Version, m_now).empty());
}

} // namespace oriolerill::distribution
