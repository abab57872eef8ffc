#include "relay/internal/crashtrials.h"
#include "objectstore/tests/fakeobjectstore.h"

#include <gtest/gtest.h>

namespace oriolerill::relay {

using namespace std::chrono_literals;
using domain::TimePoint;

/// Counts the claims.
class CountingStore : public objectstore::FakeObjectStore
{
public:
    Result<domain::ConfigVersion> create(
            std::string key, std::string value, TimePoint deadline) override
    {
        ++creates;
        return FakeObjectStore::create(std::move(key), std::move(value), deadline);
    }

    int creates = 0;
};

/// Two entries that refuse the same trait and share a store.
class CrashTrialsFixture : public testing::Test
{
protected:
    CrashTrialsFixture()
    {
        const TimePoint now = TimePoint::clock::now();
        for (std::uint64_t i = 1; i <= 3; ++i) {
            for (routing::CrashAttribution &crashes : m_crashes) {
                crashes.onCrash({{domain::EndpointId("e" + std::to_string(i)), i},
                                        domain::RequestId("r"), m_traits, 1, now - 1s + i * 200ms},
                        now);
            }
        }
    }

    /// Requests a trial at one entry; true if it is granted.
    bool requestTrial(std::size_t entry)
    {
        m_trials[entry].request(m_crashes[entry].refused().front());
        m_context.restart();
        m_context.run();
        const auto decision = m_crashes[entry].decide(m_traits, 1, TimePoint::clock::now());
        return std::holds_alternative<routing::TraitsUsable>(decision);
    }

    static constexpr internal::CrashTrialsOptions Options{0ms, 100ms};

    const std::vector<routing::RequestTrait> m_traits{routing::RequestTrait("bad/?\xff")};
    boost::asio::io_context m_context{1};
    CountingStore m_store;
    routing::CrashAttribution m_crashes[2];
    internal::CrashTrials m_trials[2]
            = {{m_context, m_store, m_crashes[0], domain::EntryId("one"), Options},
                    {m_context, m_store, m_crashes[1], domain::EntryId("two"), Options}};
};

// Guards against two trials at a time: a further one is granted only when the claim has not changed
// for its lifetime.
TEST_F(CrashTrialsFixture, request_twoEntries_oneTrialAtATime)
{
    EXPECT_TRUE(requestTrial(0));
    EXPECT_FALSE(requestTrial(1));
    EXPECT_FALSE(requestTrial(0));
    std::this_thread::sleep_for(120ms);
    EXPECT_TRUE(requestTrial(1));
    EXPECT_FALSE(requestTrial(0));
}

// Guards against traits that stay refused because the store has lost a claim, and against a new
// claim that is taken for the lost one, whose lifetime has passed, because it has the same
// revision.
TEST_F(CrashTrialsFixture, request_storeReturnsWithoutClaim_newClaimHasItsOwnLifetime)
{
    ASSERT_TRUE(requestTrial(0));
    ASSERT_FALSE(requestTrial(1));
    std::this_thread::sleep_for(120ms);
    m_store.restoreEmpty();
    internal::CrashTrials third(
            m_context, m_store, m_crashes[0], domain::EntryId("three"), Options);
    third.request(m_crashes[0].refused().front());
    m_context.restart();
    m_context.run();
    EXPECT_FALSE(requestTrial(1));
    EXPECT_FALSE(requestTrial(1));
    std::this_thread::sleep_for(120ms);
    EXPECT_TRUE(requestTrial(1));
}

// Guards against a trial without a claim while the store is away or its answer is lost.
TEST_F(CrashTrialsFixture, request_storeAwayOrAnswerLost_noTrial)
{
    m_store.isDown = true;
    EXPECT_FALSE(requestTrial(0));
    m_store.isDown = false;
    m_store.answersToLose = 1;
    EXPECT_FALSE(requestTrial(0));
    EXPECT_FALSE(requestTrial(1));
}

// Guards against store calls for each refused request.
TEST_F(CrashTrialsFixture, request_repeated_oneCallPerInterval)
{
    internal::CrashTrials trials(m_context, m_store, m_crashes[0], domain::EntryId("one"),
            {std::chrono::hours(1), std::chrono::hours(1)});
    m_store.isDown = true;
    for (int i = 0; i < 100; ++i)
        trials.request(m_crashes[0].refused().front());
    m_context.run();
    EXPECT_EQ(m_store.creates, 1);
}

} // namespace oriolerill::relay
