#include "rollout/rolloutstatus.h"

#include <gtest/gtest.h>

namespace oriolerill::rollout {

class RolloutStatusFixture : public testing::Test
{
protected:
    void SetUp() override
    {
        m_rollout.id = domain::RolloutId("quill-2");
        m_rollout.service = domain::ServiceId("drafting");
        m_rollout.manifest = domain::Digest::of(std::string_view("new"));
        m_rollout.version = {1, 2};
        m_config.rollouts[m_rollout.id] = m_rollout;
        m_members.ownDataCentre = domain::DataCentreId("central-a");
        for (const char *const name : {"central-a", "west-a"}) {
            auto &summary = m_members.summaries[domain::DataCentreId(name)];
            summary.services[m_rollout.service].serving = 2;
            summary.services[m_rollout.service].activeDigests = {m_rollout.manifest};
        }
    }

    RolloutState state() const { return rolloutStatus(m_rollout, m_config, m_members).state; }

    config::Rollout m_rollout;
    config::ConfigSnapshot m_config;
    membership::MembershipSnapshot m_members;
};

// Guards against "running" after all endpoints serve the version.
TEST_F(RolloutStatusFixture, rolloutStatus_allOnVersion_done)
{
    EXPECT_EQ(state(), RolloutState::Done);
}

// Guards against "done" while endpoints still serve the old version or are switching.
TEST_F(RolloutStatusFixture, rolloutStatus_oldVersionOrSwitching_running)
{
    auto &service = m_members.summaries[domain::DataCentreId("west-a")].services[m_rollout.service];
    service.activeDigests.insert(domain::Digest::of(std::string_view("old")));
    EXPECT_EQ(state(), RolloutState::Running);
    service.activeDigests.erase(domain::Digest::of(std::string_view("old")));
    membership::EndpointRecord endpoint;
    endpoint.service = m_rollout.service;
    endpoint.state = protocol::ENDPOINT_STATE_SWITCHING;
    m_members.endpoints.push_back(endpoint);
    EXPECT_EQ(state(), RolloutState::Running);
}

// Guards against "done" while the summary of a data centre is too old.
TEST_F(RolloutStatusFixture, rolloutStatus_staleSummary_running)
{
    m_members.summaries[domain::DataCentreId("west-a")].isFresh = false;
    EXPECT_EQ(state(), RolloutState::Running);
}

// Guards against a rollout that is reported as done or running after a later one has replaced it.
TEST_F(RolloutStatusFixture, rolloutStatus_laterRollout_superseded)
{
    config::Rollout later = m_rollout;
    later.id = domain::RolloutId("quill-3");
    later.version = {1, 3};
    m_config.rollouts[later.id] = later;
    EXPECT_EQ(state(), RolloutState::Superseded);
}

} // namespace oriolerill::rollout
