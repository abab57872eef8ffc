#include "routing/endpointlist.h"

#include <gtest/gtest.h>

namespace oriolerill::routing {

using namespace std::chrono_literals;
using domain::EndpointId;
using domain::TimePoint;

namespace {

ListedEndpoint endpoint(const std::string &id)
{
    ListedEndpoint endpoint;
    endpoint.id = EndpointId(id);
    return endpoint;
}

} // namespace

class EndpointListFixture : public testing::Test
{
protected:
    EndpointListFixture()
    {
        std::vector<ListedEndpoint> all;
        all.reserve(6);
        for (int i = 0; i < 6; ++i)
            all.push_back(endpoint("e" + std::to_string(i)));
        m_list.replaceAll(all, m_now);
    }

    bool has(const std::string &id) const { return m_list.find(EndpointId(id)) != nullptr; }

    TimePoint m_now{1h};
    EndpointList m_list;
};

// Guards against removing endpoints whose records expired during an outage of the store: they are
// listed again within two seconds of its return, or removed then.
TEST_F(EndpointListFixture, replaceAll_afterOutage_retainedTwoSecondsThenRemoved)
{
    m_list.onStoreBack(m_now, m_now);
    m_list.replaceAll({endpoint("e0")}, m_now + 50ms);
    EXPECT_TRUE(has("e3"));
    m_list.apply({{EndpointId("e4"), endpoint("e4")}}, m_now + 1s);
    m_list.expire(m_now + 1990ms);
    EXPECT_TRUE(has("e3"));
    m_list.expire(m_now + 2001ms);
    EXPECT_FALSE(has("e3"));
    EXPECT_TRUE(has("e4"));
}

// Guards against requests to an endpoint that has left when there was no outage.
TEST_F(EndpointListFixture, apply_singleRemoval_removedAtOnce)
{
    m_list.apply({{EndpointId("e1"), std::nullopt}}, m_now);
    EXPECT_FALSE(has("e1"));
}

// Guards against removing half of the list after an outage during which no call of this process
// failed. The drain bound of two seconds still applies.
TEST_F(EndpointListFixture, apply_massRemovalWithoutNotice_retainedLessThanDrainBound)
{
    m_list.apply({{EndpointId("e1"), std::nullopt}, {EndpointId("e2"), std::nullopt},
                         {EndpointId("e3"), std::nullopt}},
            m_now);
    EXPECT_TRUE(has("e2"));
    m_list.expire(m_now + 1900ms);
    EXPECT_FALSE(has("e2"));
}

// Guards against retaining a draining endpoint because it left during an outage.
TEST_F(EndpointListFixture, replaceAll_drainingMissingAfterOutage_removedAtOnce)
{
    ListedEndpoint draining = endpoint("e5");
    draining.isDraining = true;
    m_list.apply({{draining.id, draining}}, m_now);
    m_list.onStoreBack(m_now, m_now);
    m_list.replaceAll({endpoint("e0")}, m_now);
    EXPECT_FALSE(has("e5"));
}

// Regression: an endpoint that changed and left within one batch of changes still got requests
// (hunt on probador-rill, trouble-1 --seed 288836617330: DRAIN, 2100 ms after it had left).
TEST_F(EndpointListFixture, apply_changeAndRemovalInOneBatch_lastOneApplies)
{
    m_list.apply({{EndpointId("e1"), endpoint("e1")}, {EndpointId("e1"), std::nullopt}}, m_now);
    EXPECT_FALSE(has("e1"));
    m_list.apply({{EndpointId("e2"), std::nullopt}, {EndpointId("e2"), endpoint("e2")}}, m_now);
    EXPECT_TRUE(has("e2"));
}

/// A store that returns from an older copy, in which the endpoints e0 to e5 are ready.
class RestoredListFixture : public EndpointListFixture
{
protected:
    static ListedEndpoint state(
            const std::string &id, std::uint64_t sequence, std::uint64_t startedAtMs = 1000)
    {
        ListedEndpoint state = endpoint(id);
        state.sequence = sequence;
        state.startedAtMs = startedAtMs;
        return state;
    }
    static ListedEndpoint draining(const std::string &id, std::uint64_t sequence)
    {
        ListedEndpoint draining = state(id, sequence);
        draining.isDraining = true;
        return draining;
    }
    static std::vector<ListedEndpoint> readyStates(std::uint64_t sequence)
    {
        std::vector<ListedEndpoint> all;
        all.reserve(6);
        for (int i = 0; i < 6; ++i)
            all.push_back(state("e" + std::to_string(i), sequence));
        return all;
    }
    void apply(const ListedEndpoint &endpoint) { m_list.apply({{endpoint.id, endpoint}}, m_now); }
    void remove(const std::string &id) { m_list.apply({{EndpointId(id), std::nullopt}}, m_now); }
    /// The store is back with the states that it had when the sequences were at this number.
    void restore(std::uint64_t sequence)
    {
        m_list.onEraChanged(m_now, m_now);
        m_list.replaceAll(readyStates(sequence), m_now);
    }
    /// The endpoint gets requests.
    bool isReady(const std::string &id) const
    {
        const ListedEndpoint *found = m_list.find(EndpointId(id));
        return found != nullptr && !found->isDraining;
    }

    RestoredListFixture() { m_list.replaceAll(readyStates(10), m_now); }
};

// Guards against requests to a leaving endpoint because the store has returned from a copy that is
// older than its leaving.
TEST_F(RestoredListFixture, replaceAll_drainingBeforeReturn_notReadyUntilNewerState)
{
    apply(draining("e1", 20));
    m_now += 5s;
    restore(15);
    EXPECT_FALSE(isReady("e1"));
    EXPECT_TRUE(isReady("e2"));
    apply(state("e1", 20));
    EXPECT_FALSE(isReady("e1"));
    apply(state("e1", 21));
    EXPECT_TRUE(isReady("e1"));
}

// Guards against requests to an endpoint that was removed before the return. A removal names no
// sequence, and the last change that was seen may be many writes older than the restored state.
TEST_F(RestoredListFixture, replaceAll_removedBeforeReturn_keptOutUntilNewerState)
{
    remove("e1");
    m_now += 5s;
    restore(15);
    EXPECT_FALSE(has("e1"));
    m_list.replaceAll(readyStates(15), m_now + 1s);
    EXPECT_FALSE(has("e1"));
    apply(state("e1", 16));
    EXPECT_TRUE(isReady("e1"));
}

// Guards against an endpoint that stays out of use although another process of it has been listed
// since, before the return or after it; and against one of an earlier process.
TEST_F(RestoredListFixture, replaceAll_otherProcessListed_onlyLaterOneReady)
{
    remove("e1");
    remove("e2");
    apply(state("e2", 1, 2000));
    m_now += 5s;
    m_list.onEraChanged(m_now, m_now);
    m_list.replaceAll({state("e1", 1, 900), state("e2", 1, 2000)}, m_now);
    EXPECT_FALSE(isReady("e1"));
    EXPECT_TRUE(isReady("e2"));
    apply(state("e1", 1, 3000));
    EXPECT_TRUE(isReady("e1"));
}

// Guards against losing endpoints that registered after the copy was made: they are listed again
// within two seconds of the return, or removed then.
TEST_F(RestoredListFixture, replaceAll_missingInCopy_retainedTwoSecondsThenRemoved)
{
    m_list.onEraChanged(m_now, m_now);
    m_list.replaceAll({state("e0", 10)}, m_now);
    EXPECT_TRUE(isReady("e3"));
    m_list.apply({{EndpointId("e4"), state("e4", 11)}}, m_now + 1s);
    m_list.expire(m_now + 2001ms);
    EXPECT_FALSE(has("e3"));
    EXPECT_TRUE(isReady("e4"));
}

// Guards against an endpoint that is never used again: it was removed although it is alive, and
// after the return nothing but its sequence changes, which is no change of the list.
TEST_F(RestoredListFixture, replaceAll_lostRemovalNotRepeated_readyAgainLater)
{
    remove("e1");
    restore(15);
    EXPECT_FALSE(has("e1"));
    m_list.replaceAll(readyStates(15), m_now + 29s);
    EXPECT_FALSE(has("e1"));
    m_list.expire(m_now + 31s);
    EXPECT_TRUE(isReady("e1"));
}

// Guards against leaving endpoints that come back at the second of two returns.
TEST_F(RestoredListFixture, replaceAll_secondReturn_leavingOfBothErasKept)
{
    apply(draining("e1", 20));
    restore(15);
    apply(draining("e2", 22));
    remove("e3");
    m_now += 5s;
    restore(18);
    for (const std::string id : {"e1", "e2", "e3"})
        EXPECT_FALSE(isReady(id)) << id;
    EXPECT_TRUE(isReady("e4"));
}

// Guards against endpoints that cannot stop draining, or register again, while there was no return.
TEST_F(RestoredListFixture, apply_noReturn_listCounts)
{
    apply(draining("e1", 20));
    apply(state("e1", 12));
    EXPECT_TRUE(isReady("e1"));
    remove("e2");
    apply(state("e2", 3));
    EXPECT_TRUE(isReady("e2"));
}

} // namespace oriolerill::routing
