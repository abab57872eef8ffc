#include "routing/workingset.h"

#include <gtest/gtest.h>

#include <map>

namespace oriolerill::routing {

using domain::DataCentreId;
using domain::EndpointId;

/// The largest deployment of today: 149 entries before 138 engines in five data centres.
class WorkingSetFixture : public testing::Test
{
protected:
    static constexpr int DataCentres = 5;
    static constexpr int Engines = 138;
    static constexpr int Entries = 149;

    void SetUp() override
    {
        for (int i = 0; i < Engines; ++i) {
            ListedEndpoint engine;
            engine.id = EndpointId("i-" + std::to_string(i * 7919));
            engine.dataCentre = DataCentreId("dc" + std::to_string(i % DataCentres));
            m_engines.push_back(engine);
        }
    }

    std::vector<const ListedEndpoint *> listed(const std::string &withoutDataCentre = "") const
    {
        std::vector<const ListedEndpoint *> pointers;
        for (const ListedEndpoint &engine : m_engines) {
            if (engine.dataCentre != DataCentreId(withoutDataCentre))
                pointers.push_back(&engine);
        }
        return pointers;
    }

    static WorkingSet entry(int number)
    {
        return {"edge-" + std::to_string(number),
                DataCentreId("dc" + std::to_string(number % DataCentres))};
    }

    std::vector<ListedEndpoint> m_engines;
};

// Guards against an engine that no entry of its data centre sends to, and one that all send to.
TEST_F(WorkingSetFixture, update_manyEntries_enginesEvenlyUsed)
{
    std::map<EndpointId, int> uses;
    for (int i = 0; i < Entries; ++i) {
        WorkingSet set = entry(i);
        set.update(listed());
        EXPECT_EQ(set.engines().size(), 24U);
        for (const EndpointId &engine : set.engines())
            ++uses[engine];
    }
    EXPECT_EQ(uses.size(), static_cast<std::size_t>(Engines));
    for (const auto &[engine, count] : uses) {
        EXPECT_GE(count, 10) << engine.value();
        EXPECT_LE(count, 45) << engine.value();
    }
}

// Guards against sets that are drawn anew when one engine goes: reports and connections would all
// be begun again.
TEST_F(WorkingSetFixture, update_oneEngineGone_othersStay)
{
    for (int i = 0; i < Entries; ++i) {
        WorkingSet set = entry(i);
        set.update(listed());
        const std::vector<EndpointId> before = set.engines();
        auto without = listed();
        without.erase(without.begin() + 3);
        set.update(without);
        std::size_t kept = 0;
        for (const EndpointId &engine : before)
            kept += set.contains(engine) ? 1 : 0;
        EXPECT_GE(kept, before.size() - 1);
    }
}

// Guards against an entry that is left with half of its engines when its data centre has none.
TEST_F(WorkingSetFixture, update_ownDataCentreGone_othersMakeUpForIt)
{
    WorkingSet set = entry(0);
    set.update(listed("dc0"));
    EXPECT_EQ(set.engines().size(), 24U);
    std::map<std::string, int> dataCentres;
    for (const ListedEndpoint &engine : m_engines)
        dataCentres[engine.dataCentre.value()] += set.contains(engine.id) ? 1 : 0;
    for (const char *other : {"dc1", "dc2", "dc3", "dc4"})
        EXPECT_GE(dataCentres[other], 1);
}

// Guards against counts of entries that differ because entries report to different agents.
TEST_F(WorkingSetFixture, counters_allEntries_sameAgentsInEachDataCentre)
{
    WorkingSet first = entry(0);
    first.update(listed());
    EXPECT_EQ(first.countingEngines().size(), 2U * DataCentres);
    EXPECT_EQ(first.localCountingEngines().size(), 2U);
    for (int i = 1; i < Entries; ++i) {
        WorkingSet set = entry(i);
        set.update(listed());
        EXPECT_EQ(set.countingEngines(), first.countingEngines());
    }
}

// Guards against small deployments that lose sight of engines which they can well afford to know.
TEST_F(WorkingSetFixture, update_fourteenEngines_allKnown)
{
    m_engines.resize(14);
    WorkingSet set = entry(0);
    set.update(listed());
    EXPECT_EQ(set.engines().size(), 14U);
}

} // namespace oriolerill::routing
