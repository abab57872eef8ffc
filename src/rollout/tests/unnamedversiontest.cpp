#include "rollout/unnamedversion.h"

#include <gtest/gtest.h>

namespace oriolerill::rollout {

using namespace std::chrono_literals;
using domain::ModelId;
using domain::TimePoint;

class UnnamedVersionFixture : public testing::Test
{
protected:
    UnnamedVersionFixture() { m_unnamed.setModel(ModelId("m")); }

    TimePoint m_now{1h};
    UnnamedVersion m_unnamed;
};

// Guards against an engine that loads a version although the store may name a newer one.
TEST_F(UnnamedVersionFixture, newest_namedVersionsNotRead_none)
{
    m_unnamed.onOriginAnswer(1, m_now);
    m_unnamed.onPeer(1, m_now);
    m_unnamed.onConfirmed(1);
    EXPECT_EQ(m_unnamed.newest(m_now), 0U);
    EXPECT_FALSE(m_unnamed.isSearchNeeded(m_now));
    m_unnamed.onNamedVersionsRead();
    EXPECT_EQ(m_unnamed.newest(m_now), 1U);
}

// Guards against a fleet that waits for ever for a version that a corrupted answer has stated.
TEST_F(UnnamedVersionFixture, newest_originAnswerNotConfirmed_searchedAgain)
{
    m_unnamed.onNamedVersionsRead();
    EXPECT_TRUE(m_unnamed.isSearchNeeded(m_now));
    m_unnamed.onOriginAnswer(9, m_now);
    EXPECT_EQ(m_unnamed.newest(m_now), 9U);
    EXPECT_TRUE(m_unnamed.isSearchNeeded(m_now + 3s));
    m_unnamed.onOriginAnswer(1, m_now + 3s);
    EXPECT_EQ(m_unnamed.newest(m_now + 3s), 1U);
}

// Guards against a transfer that ends because the sources that stated its version are gone.
TEST_F(UnnamedVersionFixture, newest_versionConfirmed_keptWithoutSources)
{
    m_unnamed.onNamedVersionsRead();
    m_unnamed.onPeer(2, m_now);
    m_unnamed.onPeer(1, m_now);
    EXPECT_EQ(m_unnamed.newest(m_now), 2U);
    EXPECT_EQ(m_unnamed.newest(m_now + 1500ms), 0U);
    m_unnamed.onConfirmed(2);
    EXPECT_EQ(m_unnamed.newest(m_now + 1h), 2U);
}

// Guards against a version of one model that is loaded for another one.
TEST_F(UnnamedVersionFixture, setModel_otherModel_versionsForgotten)
{
    m_unnamed.onNamedVersionsRead();
    m_unnamed.onConfirmed(2);
    m_unnamed.onOriginAnswer(2, m_now);
    m_unnamed.setModel(ModelId("m"));
    EXPECT_EQ(m_unnamed.newest(m_now), 2U);
    m_unnamed.setModel(ModelId("other"));
    EXPECT_TRUE(m_unnamed.isSearchNeeded(m_now));
}

} // namespace oriolerill::rollout
