#include "routing/accountadmission.h"
#include "routing/concurrencylimit.h"
#include "routing/datacentrechooser.h"
#include "routing/endpointchooser.h"
#include "routing/retrybudget.h"
#include "routing/slotowner.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <map>
#include <set>

namespace oriolerill::routing {

using namespace std::chrono_literals;
using domain::DataCentreId;
using domain::TimePoint;

namespace {

std::vector<EndpointCandidate> idleEndpoints(std::size_t count)
{
    std::vector<EndpointCandidate> candidates(count);
    for (std::size_t i = 0; i < count; ++i) {
        candidates[i].idHash = endpointHash(domain::EndpointId("e" + std::to_string(i)));
        candidates[i].limit = 8;
    }
    return candidates;
}

config::Account account(const std::string &name, std::uint32_t weight = 1)
{
    config::Account account;
    account.id = domain::AccountId(name);
    account.weight = weight;
    return account;
}

DataCentreCandidate dataCentre(const std::string &name, std::uint32_t inFlight = 0)
{
    return {DataCentreId(name), false, true, 5, inFlight, 40};
}

} // namespace

class RoutingFixture : public testing::Test
{
protected:
    std::mt19937_64 m_random{1};
    TimePoint m_now{1h};
    EndpointChooser m_chooser{EndpointChooserOptions()};
    AccountAdmission m_admission{AccountAdmissionOptions()};
    const domain::ServiceId m_service{"drafts"};
};

// Guards against prompts that lose their cached prefix although their endpoint has free capacity.
TEST_F(RoutingFixture, choose_samePrefixAtLowLoad_sameEndpoint)
{
    const auto candidates = idleEndpoints(50);
    std::set<std::size_t> chosen;
    for (int i = 0; i < 20; ++i)
        chosen.insert(*m_chooser.choose(candidates, 42, m_random));
    EXPECT_EQ(chosen.size(), 1U);
}

// Guards against a popular prefix that overloads its endpoint.
TEST_F(RoutingFixture, choose_onePrefixForAll_loadBounded)
{
    auto candidates = idleEndpoints(10);
    for (int i = 0; i < 40; ++i)
        ++candidates[*m_chooser.choose(candidates, 42, m_random)].inFlight;
    const auto busiest = std::max_element(candidates.begin(), candidates.end(),
            [](const auto &a, const auto &b) { return a.inFlight < b.inFlight; });
    EXPECT_LT(busiest->inFlight, busiest->limit);
}

// Guards against a cold endpoint that gets more requests than its small limit.
TEST_F(RoutingFixture, choose_coldEndpointAtItsLimit_neverChosen)
{
    auto candidates = idleEndpoints(5);
    candidates[2].limit = 1;
    candidates[2].inFlight = 1;
    for (std::uint64_t i = 0; i < 500; ++i)
        EXPECT_NE(*m_chooser.choose(candidates, i, m_random), 2U);
}

// Guards against a request to an endpoint at its limit when all others are at theirs, too.
TEST_F(RoutingFixture, choose_allFull_none)
{
    auto candidates = idleEndpoints(5);
    for (EndpointCandidate &candidate : candidates)
        candidate.inFlight = candidate.limit;
    EXPECT_FALSE(m_chooser.choose(candidates, 1, m_random));
}

// Guards against requests to a withdrawn, empty or overloaded data centre.
TEST_F(RoutingFixture, chooseDataCentre_ownUnusable_other)
{
    DataCentreChooser chooser(DataCentreId("a"), DataCentreChooserOptions());
    auto candidates = std::vector{dataCentre("a"), dataCentre("b"), dataCentre("c", 40)};
    EXPECT_EQ(chooser.choose(candidates, m_now, m_random)->value(), "a");
    candidates[0].inFlight = candidates[0].limit;
    EXPECT_EQ(chooser.choose(candidates, m_now, m_random)->value(), "b");
    candidates[0].inFlight = 0;
    candidates[0].isWithdrawn = true;
    EXPECT_EQ(chooser.choose(candidates, m_now, m_random)->value(), "b");
    candidates[1].isFresh = false;
    candidates[2].isWithdrawn = true;
    EXPECT_FALSE(chooser.choose(candidates, m_now, m_random));
}

// Guards against a returned data centre that gets its full load at once.
TEST_F(RoutingFixture, chooseDataCentre_afterReturn_rampedUp)
{
    DataCentreChooser chooser(DataCentreId("a"), DataCentreChooserOptions());
    auto candidates = std::vector{dataCentre("a"), dataCentre("b")};
    candidates[0].isWithdrawn = true;
    chooser.choose(candidates, m_now, m_random);
    candidates[0].isWithdrawn = false;
    const auto share = [&](domain::Duration after) {
        int own = 0;
        for (int i = 0; i < 400; ++i)
            own += chooser.choose(candidates, m_now + after, m_random)->value() == "a" ? 1 : 0;
        return own / 400.0;
    };
    EXPECT_LT(share(0s), 0.2);
    EXPECT_NEAR(share(5s), 0.5, 0.15);
    EXPECT_EQ(share(10s), 1.0);
}

// Guards against long requests of one service that use up the shares of another.
TEST_F(RoutingFixture, enter_otherServiceBusy_shareUnaffected)
{
    constexpr std::uint32_t Capacity = 3;
    for (int i = 0; i < 20; ++i)
        m_admission.enter(
                account("chat" + std::to_string(i)), domain::ServiceId("chat"), false, 40, m_now);
    EXPECT_FALSE(m_admission.enter(account("chat0"), m_service, false, Capacity, m_now));
}

// Guards against one account with many requests that starves the others.
TEST_F(RoutingFixture, enter_oneAccountAboveItsShare_othersAdmitted)
{
    constexpr std::uint32_t Capacity = 20;
    ASSERT_FALSE(m_admission.enter(account("small"), m_service, false, Capacity, m_now));
    int greedy = 0;
    for (int i = 0; i < 60; ++i)
        greedy += m_admission.enter(account("greedy"), m_service, false, Capacity, m_now) ? 0 : 1;
    EXPECT_LE(greedy, 10);
    for (int i = 0; i < 9; ++i)
        EXPECT_FALSE(m_admission.enter(account("small"), m_service, false, Capacity, m_now));
}

// Guards against batch requests that delay interactive ones.
TEST_F(RoutingFixture, enter_batchUnderContention_refusedWithRetryAfter)
{
    for (int i = 0; i < 6; ++i)
        m_admission.enter(account("a"), m_service, false, 10, m_now);
    const auto batch = m_admission.enter(account("a"), m_service, true, 10, m_now);
    ASSERT_TRUE(batch);
    EXPECT_GT(batch->retryAfter, 0s);
    EXPECT_FALSE(m_admission.enter(account("a"), m_service, false, 10, m_now));
}

// Guards against an account that exceeds its request rate, or is still refused when its rate allows
// the next request.
TEST_F(RoutingFixture, enter_aboveRate_refusedUntilRefilled)
{
    config::Account limited = account("a");
    limited.requestsPerSecond = 5;
    limited.maxConcurrency = 100;
    for (int i = 0; i < 5; ++i)
        EXPECT_FALSE(m_admission.enter(limited, m_service, false, 100, m_now));
    EXPECT_TRUE(m_admission.enter(limited, m_service, false, 100, m_now));
    EXPECT_FALSE(m_admission.enter(limited, m_service, false, 100, m_now + 300ms));
}

// Guards against retries that multiply an overload.
TEST_F(RoutingFixture, tryRetry_everyRequestFails_retriesLimitedToShare)
{
    RetryBudget budget({0.1, 1, 10}, m_now);
    int retries = 0;
    for (int i = 0; i < 1000; ++i) {
        budget.onRequest();
        retries += budget.tryRetry(m_now + std::chrono::milliseconds(i)) ? 1 : 0;
    }
    EXPECT_LE(retries, 103);
    EXPECT_GE(retries, 90);
}

// Guards against a limit that exceeds what a cold endpoint can take, or never increases.
TEST_F(RoutingFixture, concurrencyLimit_successesThenCold_increasesAndFallsBack)
{
    ConcurrencyLimit limit({2, 16, 75, 3.0});
    const auto serve = [&](domain::Duration latency) {
        std::uint32_t entered = 0;
        while (limit.tryEnter(false))
            ++entered;
        for (; entered > 0; --entered)
            limit.leaveAnswered(latency);
    };
    for (int i = 0; i < 40; ++i)
        serve(10ms);
    EXPECT_EQ(limit.limit(), 16U);
    for (int i = 0; i < 3; ++i)
        serve(200ms);
    EXPECT_LE(limit.limit(), 4U);
    for (int i = 0; i < 40; ++i)
        serve(10ms);
    EXPECT_TRUE(limit.tryEnter(false));
    limit.leaveFailed();
    EXPECT_EQ(limit.limit(), 2U);
}

// Guards against a limit that increases although the endpoint was never at its limit.
TEST_F(RoutingFixture, concurrencyLimit_neverFull_notIncreased)
{
    ConcurrencyLimit limit({2, 16, 75, 3.0});
    for (int i = 0; i < 100; ++i) {
        limit.tryEnter(false);
        limit.leaveAnswered(10ms);
    }
    EXPECT_EQ(limit.limit(), 2U);
}

// Guards against slots that move to another endpoint although their owner stays.
TEST_F(RoutingFixture, slotEndpoint_otherEndpointLeaves_ownersStay)
{
    const domain::ServiceId service("orders");
    std::vector<domain::EndpointId> serving;
    for (const char *name : {"e0", "e1", "e2", "e3", "e4", "e5"})
        serving.emplace_back(name);
    for (std::uint32_t slot = 0; slot < 32; ++slot) {
        const auto owner = *slotEndpoint(service, slot, serving);
        auto rest = serving;
        std::erase_if(rest, [&](const auto &id) { return id == serving[0] && id != owner; });
        std::reverse(rest.begin(), rest.end());
        EXPECT_EQ(*slotEndpoint(service, slot, rest), owner);
    }
}

} // namespace oriolerill::routing
