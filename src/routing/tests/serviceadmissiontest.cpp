#include "routing/serviceadmission.h"

#include <gtest/gtest.h>

namespace oriolerill::routing {

using namespace std::chrono_literals;
using domain::AccountId;
using domain::ServiceId;
using domain::TimePoint;

class ServiceAdmissionFixture : public testing::Test
{
protected:
    static Route route(const std::string &name, std::uint32_t priority, domain::Duration objective)
    {
        Route route;
        route.name = name;
        route.host = "h.example";
        route.pathPrefix = "/" + name + "/";
        route.priority = priority;
        route.objective = objective;
        route.services = {{ServiceId("models"), 1}};
        return route;
    }

    static ServiceRanks ranks(const std::vector<Route> &routes,
            const std::vector<std::optional<std::uint32_t>> &accounts = {})
    {
        ServingConfig config(1, routes, {}, CallerLimits());
        for (std::size_t i = 0; i < accounts.size(); ++i)
            config.addAccount(std::to_string(i), {AccountId(std::to_string(i)), accounts[i], {}});
        return ServiceRanks::of(config).at(ServiceId("models"));
    }

    AdmissionDecision decide(ServiceAdmission &admission, const Route &route, double waitMs)
    {
        m_now += 10ms;
        m_request.id = domain::RequestId(std::to_string(++m_count));
        return admission.decide({route, nullptr, m_request, true, waitMs, 180, 0.45}, m_now);
    }

    Route m_urgent = route("urgent", 0, 400ms);
    Route m_patient = route("patient", 2, 1000ms);
    CallerRequest m_request;
    TimePoint m_now{1h};
    int m_count = 0;
};

// Guards against any effect of ranks where all are equal, in an overload of any length.
TEST_F(ServiceAdmissionFixture, decide_equalRanks_judgedByStrictestObjectiveOnly)
{
    m_patient.priority = 0;
    ServiceAdmission admission(ranks({m_urgent, m_patient}, {3, 3}));
    std::mt19937_64 random(1);
    for (int i = 0; i < 500; ++i) {
        const double waitMs = i % 3 * 100;
        const auto decision = decide(admission, i % 2 == 0 ? m_urgent : m_patient, waitMs);
        EXPECT_EQ(decision.refusal.has_value(), waitMs > 180);
        EXPECT_EQ(decision.refusal.value_or(RefusalReason::Full), RefusalReason::Full);
        EXPECT_FALSE(decision.urgency);
    }
    EXPECT_FALSE(admission.retryAfter(m_urgent, nullptr, 0ms, 1, random, m_now));
    EXPECT_FALSE(admission.takeChange(m_now));
}

// Guards against refusing patient requests by the objective of another route, and against refusing
// urgent ones alike when both have to wait.
TEST_F(ServiceAdmissionFixture, decide_unequalRoutes_patientRefusedFirstWhenEnginesAreFull)
{
    ServiceAdmission admission(ranks({m_urgent, m_patient}));
    const auto patient = decide(admission, m_patient, 400);
    EXPECT_FALSE(patient.refusal);
    EXPECT_EQ(patient.urgency, 1U);
    int refused[2] = {};
    for (int i = 0; i < 400; ++i) {
        refused[0] += decide(admission, m_urgent, 150).refusal ? 1 : 0;
        const auto second = decide(admission, m_patient, 150).refusal;
        refused[1] += second == RefusalReason::Priority ? 1 : 0;
    }
    EXPECT_EQ(refused[0], 0);
    EXPECT_GE(refused[1], 150);
    EXPECT_TRUE(admission.takeChange(m_now));
    // A returning caller finds room where a new one does not.
    m_request.deadline = m_now + 6s;
    decide(admission, m_urgent, 0);
    EXPECT_TRUE(decide(admission, m_urgent, 260).refusal);
    m_request.deadline = m_now + 5s;
    EXPECT_FALSE(decide(admission, m_urgent, 260).refusal);
}

// Guards against ranks in another order than that of the accounts, then of the routes.
TEST_F(ServiceAdmissionFixture, ranks_unequalAccounts_accountGoesFirst)
{
    const ServiceRanks known = ranks({m_urgent, m_patient}, {0, std::nullopt});
    const CallerAccount first{AccountId("0"), 0, {}};
    const CallerAccount other{AccountId("1"), std::nullopt, {}};
    EXPECT_EQ(known.indexOf(rankOf(m_urgent, &first)), 0U);
    EXPECT_EQ(known.indexOf(rankOf(m_patient, &first)), 1U);
    EXPECT_EQ(known.indexOf(rankOf(m_urgent, &other)), 2U);
    EXPECT_EQ(known.indexOf(rankOf(m_patient, nullptr)), 3U);
    // Accounts of one priority do not outrank requests without an account.
    m_patient.isPublic = true;
    m_patient.priority = 0;
    EXPECT_FALSE(ranks({m_urgent, m_patient}, {0, 0}).areUnequal());
}

} // namespace oriolerill::routing
