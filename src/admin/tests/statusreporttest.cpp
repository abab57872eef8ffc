#include "admin/statusreport.h"
#include "admin/internal/statustext.h"

#include <gtest/gtest.h>

namespace oriolerill::admin {

using domain::DataCentreId;
using domain::EntryId;
using domain::ServiceId;

class StatusFixture : public testing::Test
{
protected:
    StatusFixture()
    {
        m_members.ownDataCentre = DataCentreId("salto-a");
        addRollout("old", m_oldDigest, 1);
        addRollout("velvet", m_newDigest, 2);
        addEndpoint("vm-1", protocol::ENDPOINT_STATE_SERVING, m_newDigest);
        addEndpoint("vm-2", protocol::ENDPOINT_STATE_SWITCHING, m_newDigest);
        addEndpoint("vm-3", protocol::ENDPOINT_STATE_SERVING, m_oldDigest);
        addSummary("salto-a", 2, {m_oldDigest, m_newDigest});
        addSummary("este-a", 4, {m_newDigest});
        m_config.watermark = {1, 5};
    }

    void addRollout(const char *name, const domain::Digest &manifest, std::uint64_t revision)
    {
        config::Rollout rollout;
        rollout.id = domain::RolloutId(name);
        rollout.service = ServiceId("chat");
        rollout.manifest = manifest;
        rollout.version = {1, revision};
        m_config.rollouts[rollout.id] = rollout;
    }
    void addEndpoint(const char *name, protocol::EndpointState state, const domain::Digest &digest)
    {
        membership::EndpointRecord endpoint;
        endpoint.id = domain::EndpointId(name);
        endpoint.dataCentre = m_members.ownDataCentre;
        endpoint.service = ServiceId("chat");
        endpoint.state = state;
        endpoint.activeDigest = digest;
        m_members.endpoints.push_back(endpoint);
    }
    void addSummary(const char *name, std::uint32_t serving, std::set<domain::Digest> digests)
    {
        membership::DataCentreSummary summary;
        summary.dataCentre = DataCentreId(name);
        summary.services[ServiceId("chat")] = {serving, 0, 8, std::move(digests)};
        m_members.summaries[summary.dataCentre] = summary;
    }

    const domain::Digest m_oldDigest = domain::Digest::of(std::string_view("old"));
    const domain::Digest m_newDigest = domain::Digest::of(std::string_view("new"));
    config::ConfigSnapshot m_config;
    membership::MembershipSnapshot m_members;
};

// Guards against endpoints counted as ready while they switch or serve another version.
TEST_F(StatusFixture, rollouts_inProgress_exactCountsOfOwnDataCentre)
{
    const StatusReport report(m_config, m_members, {});
    const RolloutStatus &velvet = report.rollouts()[1];
    ASSERT_EQ(velvet.dataCentres.size(), 2U);
    EXPECT_EQ(velvet.dataCentres[0].ready, 4U);
    EXPECT_EQ(velvet.dataCentres[1].ready, 1U);
    EXPECT_EQ(velvet.dataCentres[1].switching, 1U);
    EXPECT_EQ(velvet.dataCentres[1].total, 3U);
    EXPECT_FALSE(velvet.isComplete());
    EXPECT_TRUE(report.rollouts()[0].isSuperseded);
    ASSERT_EQ(report.progress().size(), 1U);
    EXPECT_EQ(report.progress()[0].state, "este-a 4 of 4 ready, salto-a 1 of 3 ready, 1 switching");
}

// Guards against a guessed count for a remote data centre that serves several versions: its summary
// has no count for each version.
TEST_F(StatusFixture, rollouts_mixedRemoteDataCentre_readyIsUnknown)
{
    addSummary("este-a", 4, {m_oldDigest, m_newDigest});
    const StatusReport report(m_config, m_members, {});
    EXPECT_FALSE(report.rollouts()[1].dataCentres[0].ready.has_value());
    EXPECT_FALSE(report.rollouts()[1].isComplete());
}

// Guards against a rollout reported as complete although one of its data centres is missing.
TEST_F(StatusFixture, rollouts_unknownDataCentre_incomplete)
{
    m_members.endpoints.resize(1);
    config::Rollout &velvet = m_config.rollouts.at(domain::RolloutId("velvet"));
    velvet.dataCentres = {DataCentreId("salto-a")};
    EXPECT_TRUE(StatusReport(m_config, m_members, {}).rollouts()[1].isComplete());
    velvet.dataCentres.insert(DataCentreId("maldonado-a"));
    const StatusReport report(m_config, m_members, {});
    EXPECT_FALSE(report.rollouts()[1].isComplete());
    ASSERT_FALSE(report.progress().empty());
    EXPECT_EQ(
            report.progress().back().state, "maldonado-a no endpoint known, salto-a 1 of 1 ready");
}

// Guards against a rollout to all data centres that never completes because one lacks the service,
// or that is reported as complete while the only remote endpoint switches.
TEST_F(StatusFixture, rollouts_remoteWithoutServingEndpoints_onlyAbsentServiceIsComplete)
{
    m_members.endpoints.resize(1);
    m_members.summaries[DataCentreId("este-a")].services.clear();
    EXPECT_TRUE(StatusReport(m_config, m_members, {}).rollouts()[1].isComplete());
    addSummary("este-a", 0, {});
    EXPECT_FALSE(StatusReport(m_config, m_members, {}).rollouts()[1].isComplete());
}

// Guards against a version that is reported as in force at entries that do not have it yet.
TEST_F(StatusFixture, entries_oneBehind_countedAgainstWantedVersion)
{
    const std::vector<EntryWatermark> watermarks
            = {{EntryId("entry-1"), DataCentreId("salto-a"), {1, 5}},
                    {EntryId("entry-2"), DataCentreId("este-a"), {1, 4}}};
    m_members.entries.push_back({EntryId("entry-3"), DataCentreId("este-a")});
    const StatusReport latest(m_config, m_members, watermarks);
    EXPECT_EQ(latest.version(), (domain::ConfigVersion{1, 5}));
    EXPECT_EQ(latest.entriesWithVersion(), 1U);
    EXPECT_EQ(latest.entries().size(), 3U);
    const StatusReport wanted(m_config, m_members, watermarks, domain::ConfigVersion{1, 4});
    EXPECT_EQ(wanted.entriesWithVersion(), 2U);
}

// Guards against remote counts that replace the exact ones from an entry of the data centre.
TEST_F(StatusFixture, statusText_twoDataCentres_localCountsTakePrecedence)
{
    const StatusReport salto(m_config, m_members, {});
    membership::MembershipSnapshot este;
    este.ownDataCentre = DataCentreId("este-a");
    este.summaries = m_members.summaries;
    m_members.endpoints.resize(1);
    m_members.endpoints[0].id = domain::EndpointId("vm-9");
    este.endpoints = m_members.endpoints;
    const StatusReport other(m_config, este, {});
    const auto text = internal::statusText({salto.toJson(), other.toJson()});
    ASSERT_TRUE(text) << text.error();
    EXPECT_NE(text->find("    este-a: 1 of 1 ready, 0 switching\n"
                         "    salto-a: 1 of 3 ready, 1 switching\n"),
            std::string::npos)
            << *text;
    EXPECT_NE(text->find("endpoints of este-a:\n  vm-9 (chat): serving, in flight 0 of 1"),
            std::string::npos)
            << *text;
    EXPECT_FALSE(internal::statusText({"{}"}));
}

} // namespace oriolerill::admin
