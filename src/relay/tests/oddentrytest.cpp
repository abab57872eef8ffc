#include "platform/fleetobjectstore.h"
#include "platform/tests/standinstore.h"
#include "relay/internal/fleetsubscriber.h"
#include "relay/tests/relayfixture.h"

#include <ostream>
#include <string>
#include <vector>

namespace oriolerill::relay {

using namespace std::chrono_literals;

namespace {

/// Objects of another writer, and the size of the store's pages.
struct OddEntries
{
    const char *label;
    std::string name;
    std::size_t count;
    std::size_t pageSize;
    /// Stands in place of the objects on a page; empty for objects whose names can be read.
    std::string item;
};

std::ostream &operator<<(std::ostream &stream, const OddEntries &entries)
{
    return stream << entries.label;
}

const OddEntries eachOddEntries[] = {
        {"OneOnItsOwnPage", "a&b", 1, 1, ""},
        {"ThreeFillAPage", "i#odd", 3, 3, ""},
        {"FortyOnTwoPages", "i&odd", 40, 20, ""},
        {"BlanksFillAPage", "i odd", 3, 3, ""},
        {"PercentsFillAPage", "i%odd", 3, 3, ""},
        {"PlusesFillAPage", "i+odd", 3, 3, ""},
        {"InvalidBytesFillAPage", "i\xff", 3, 3, ""},
        {"NoNameOnItsOwnPage", "a&b", 1, 1, R"({"metadata":{},"spec":{}})"},
};

} // namespace

/// An entry that starts while another writer's objects stand in the store.
class OddEntryFixture : public testing::TestWithParam<OddEntries>
{
protected:
    /// config_apply_ms and drain_ms of the operators' smaller sites.
    static constexpr auto Bound = 2000ms;
    static constexpr std::size_t Endpoints = 7;

    void SetUp() override
    {
        m_standIn.pageSize = GetParam().pageSize;
        m_standIn.put("config", "main",
                boost::json::parse(R"({"version":1,"routes":[],"services":[],"tenants":[]})"));
        m_standIn.put("versions", "m", boost::json::parse(R"({"model":"m","version":1})"));
        m_standIn.put("evacuations", "zone-b", boost::json::object());
        for (std::size_t i = 0; i < Endpoints; ++i)
            m_standIn.put("servers", "i-" + std::to_string(i), m_server);
        for (const char *kind : {"config", "versions", "evacuations", "servers"})
            putOddEntries(kind);
    }

    void putOddEntries(const std::string &kind)
    {
        for (std::size_t i = 0; i < GetParam().count; ++i) {
            const std::string name = GetParam().name + (i == 0 ? "" : std::to_string(i));
            m_standIn.put(kind, name, boost::json::object{{"zone", 7}});
            if (!GetParam().item.empty())
                m_standIn.replacedItems[name] = GetParam().item;
        }
    }

    std::size_t usableEndpoints() const
    {
        std::size_t count = 0;
        for (std::size_t i = 0; i < Endpoints; ++i) {
            const domain::EndpointId id("i-" + std::to_string(i));
            count += m_dispatcher.endpoints().find(id) != nullptr ? 1 : 0;
        }
        return count;
    }

    boost::asio::io_context m_context{1};
    platform::StandInStore m_standIn{m_context};
    platform::FleetObjectStore m_store{m_context.get_executor(), m_standIn.address()};
    routing::Dispatcher m_dispatcher{routing::DispatcherOptions()};
    internal::EndpointConnections m_connections{m_context};
    observability::Metrics m_metrics;
    internal::RelayContext m_relay{m_dispatcher, m_connections, m_metrics};
    internal::FleetSubscriber m_subscriber{m_context, m_store, m_relay, {Bound, Bound}};
    const boost::json::value m_server = boost::json::parse(
            R"({"service":"s","address":"127.0.0.1:1","zone":"a","state":"ready","models":[]})");
};

INSTANTIATE_TEST_SUITE_P(Entries, OddEntryFixture, testing::ValuesIn(eachOddEntries),
        [](const auto &info) { return std::string(info.param.label); });

// Regression: after a restart of all entries, almost no request was served: the list of endpoints
// could not be read while another writer's objects stood in it.
TEST_P(OddEntryFixture, start_oddEntriesInEveryCollection_allEndpointsUsable)
{
    m_subscriber.start();
    m_context.run_for(Bound);
    EXPECT_TRUE(m_subscriber.isComplete());
    EXPECT_EQ(usableEndpoints(), Endpoints);
    EXPECT_EQ(m_dispatcher.endpoints().find(domain::EndpointId(GetParam().name)), nullptr);
}

} // namespace oriolerill::relay
