#include "relay/internal/loadlistener.h"
#include "config/versiontext.h"
#include "objectstore/tests/fakeobjectstore.h"
#include "relay/tests/relayfixture.h"

#include <array>
#include <limits>
#include <random>

namespace oriolerill::relay {

using namespace std::chrono_literals;
using boost::asio::ip::udp;

/// An entry that receives load reports over a real socket. Runs on the test's own thread.
class LoadListenerFixture : public testing::Test
{
protected:
    static constexpr std::uint16_t Port = 21480;
    /// Era of the fake store.
    static constexpr std::uint64_t StoreEra = 1;

    void SetUp() override
    {
        routing::Route route;
        route.host = "h.example";
        route.pathPrefix = "/s/";
        route.kind = routing::RequestKind::Stream;
        route.services = {{domain::ServiceId("models"), 1}};
        routing::ServiceSpec service;
        service.id = domain::ServiceId("models");
        service.models = {domain::ModelId("m")};
        service.engine = routing::EngineSpeed{16, 6.73, 0.0219, 30.6, 964, 119};
        m_dispatcher.setConfig(std::make_shared<routing::ServingConfig>(
                1, std::vector{route}, std::vector{service}, routing::CallerLimits()));
        std::vector<routing::ListedEndpoint> listed;
        for (int i = 1; i <= 2; ++i) {
            routing::ListedEndpoint endpoint;
            endpoint.id = domain::EndpointId("e" + std::to_string(i));
            endpoint.service = service.id;
            endpoint.address = {"127.0.0.1", static_cast<std::uint16_t>(Port + i)};
            endpoint.weights[domain::ModelId("m")] = 1;
            listed.push_back(endpoint);
        }
        // The first list, of the empty store, is applied before the endpoints are set.
        m_subscriber.start();
        m_context.run_for(20ms);
        m_dispatcher.endpoints().replaceAll(listed, domain::TimePoint::clock::now());
        ASSERT_TRUE(m_listener.open().hasValue());
        boost::asio::co_spawn(m_context, m_listener.receive(), boost::asio::detached);
    }

    void send(const std::string &bytes)
    {
        m_agent.send_to(
                boost::asio::buffer(bytes), {boost::asio::ip::make_address_v4("127.0.0.1"), Port});
        m_context.run_for(1ms);
    }

    void send(const protocol::LoadReport &message)
    {
        protocol::EntryDatagram datagram;
        *datagram.mutable_report() = message;
        send(datagram.SerializeAsString());
    }

    protocol::LoadReport report(int endpoint)
    {
        protocol::LoadReport report;
        report.set_endpoint_port(static_cast<std::uint32_t>(Port + endpoint));
        report.set_sequence(++m_sequence);
        report.set_weights_version(1);
        report.set_grant(4);
        report.set_entries(2);
        return report;
    }

    /// Endpoint chosen for a request that arrives now; empty if it is refused.
    std::string chosen()
    {
        routing::CallerRequest request;
        request.model = domain::ModelId("m");
        routing::DispatchQuery query;
        const auto config = m_dispatcher.config();
        query.route = &config->routes().front();
        query.request = &request;
        query.service = domain::ServiceId("models");
        const auto decision = m_dispatcher.choose(query, domain::TimePoint::clock::now());
        const auto *dispatch = std::get_if<routing::Dispatch>(&decision);
        return dispatch == nullptr ? "" : dispatch->endpoint.value();
    }

    /// The agent publishes version 2 of the weights without the time of the naming.
    void publishUntimed(int agent)
    {
        protocol::LoadReport message = report(agent);
        config::toProtocol(
                {StoreEra, 99}, message.mutable_knowledge()->mutable_weights_changed_at());
        protocol::NamedWeights &named = *message.mutable_knowledge()->add_named();
        named.set_model("m");
        named.set_version(2);
        send(message);
    }

    boost::asio::io_context m_context{1};
    udp::socket m_agent{m_context, {boost::asio::ip::make_address_v4("127.0.0.1"), 0}};
    objectstore::FakeObjectStore m_store;
    routing::Dispatcher m_dispatcher{routing::DispatcherOptions()};
    internal::EndpointConnections m_connections{m_context};
    observability::Metrics m_metrics;
    internal::RelayContext m_relay{m_dispatcher, m_connections, m_metrics};
    internal::FleetSubscriber m_subscriber{m_context, m_store, m_relay, {2s, 2s}};
    internal::LoadListener m_listener{m_context, m_dispatcher, m_subscriber,
            domain::EntryId("entry-1"), domain::DataCentreId("a"), {"127.0.0.1", Port}};
    std::uint64_t m_sequence = 0;
};

/// An entry that has not read the store since its start.
class LoadListenerWithoutStoreFixture : public LoadListenerFixture
{
protected:
    void SetUp() override
    {
        m_store.isDown = true;
        LoadListenerFixture::SetUp();
    }
};

// Guards against a malformed datagram that crashes the process or stops dispatching. With a pace
// that was not a number, the comparison of all candidates failed.
TEST_F(LoadListenerFixture, receive_invalidPace_requestsStillDispatched)
{
    for (const double pace : {std::numeric_limits<double>::quiet_NaN(),
                 std::numeric_limits<double>::infinity(), -1e300, 0.0}) {
        for (const int endpoint : {1, 2}) {
            protocol::LoadReport message = report(endpoint);
            message.set_pace(pace);
            send(message);
        }
        EXPECT_NE(chosen(), "") << pace;
    }
}

// Guards against malformed datagrams after which valid reports are no longer applied.
TEST_F(LoadListenerFixture, receive_datagramsMutatedAtRandom_validReportsStillApplied)
{
    std::mt19937 random(20261204);
    constexpr int Rounds = 1500;
    for (int round = 0; round < Rounds; ++round) {
        protocol::LoadReport message = report(1);
        config::toProtocol({random(), random()},
                message.mutable_knowledge()->mutable_configuration_changed_at());
        message.mutable_knowledge()->add_leaving()->set_id("e9");
        protocol::EntryDatagram datagram;
        *datagram.mutable_report() = message;
        std::string bytes = datagram.SerializeAsString();
        for (int change = 0; change < 3; ++change)
            bytes[random() % bytes.size()] = static_cast<char>(random() % 256);
        if (random() % 4 == 0)
            bytes.resize(random() % bytes.size());
        send(bytes);
    }
    for (const int endpoint : {1, 2}) {
        protocol::LoadReport message = report(endpoint);
        message.set_running(7);
        send(message);
        EXPECT_EQ(m_dispatcher.load(domain::EndpointId("e" + std::to_string(endpoint)))
                          .occupancy(domain::TimePoint::clock::now()),
                7);
    }
}

// Guards against requests to a leaving endpoint that has announced it only to another entry of the
// data centre.
TEST_F(LoadListenerFixture, receive_leavingReportedByOtherEntry_endpointLeftOut)
{
    protocol::LoadReport message = report(1);
    message.mutable_knowledge()->add_leaving()->set_id("e1");
    send(message);
    for (int i = 0; i < 20; ++i)
        EXPECT_EQ(chosen(), "e2");
}

// Guards against an entry that applies an ended limit until its own next slot, minutes later in a
// large fleet, although another entry has received the end of the limit.
TEST_F(LoadListenerFixture, receive_limitEndReportedByOtherEntry_endpointUsedAsBefore)
{
    const auto now = domain::TimePoint::clock::now();
    m_dispatcher.limits().onAnswer({domain::EndpointId("e1"), 0}, 0.1, now, now);
    m_dispatcher.limits().onAnswer({domain::EndpointId("e2"), 0}, 0.1, now, now);
    while (!chosen().empty()) {
    }
    protocol::EntryDatagram datagram;
    datagram.mutable_raised_limit()->set_id("e1");
    send(datagram.SerializeAsString());
    for (int i = 0; i < 20; ++i)
        EXPECT_EQ(chosen(), "e1");
}

// Guards against the end of a limit that is not published to other entries; it is sent to the
// endpoint's own agent.
TEST_F(LoadListenerFixture, publishRaisedLimit_limitEnded_sentToAgentOfEndpoint)
{
    udp::socket agent(m_context, {boost::asio::ip::make_address_v4("127.0.0.7"), Port});
    routing::ListedEndpoint endpoint;
    endpoint.id = domain::EndpointId("e7");
    endpoint.service = domain::ServiceId("models");
    endpoint.address = {"127.0.0.7", 9};
    m_dispatcher.endpoints().replaceAll({endpoint}, domain::TimePoint::clock::now());
    m_listener.publishRaisedLimit({endpoint.id, 5}, std::nullopt);
    std::array<char, 1500> bytes{};
    agent.non_blocking(true);
    const std::size_t size = agent.receive(boost::asio::buffer(bytes));
    protocol::AgentDatagram datagram;
    ASSERT_TRUE(datagram.ParseFromArray(bytes.data(), static_cast<int>(size)));
    EXPECT_EQ(datagram.raised_limit().id(), "e7");
    EXPECT_EQ(datagram.raised_limit().started_at_ms(), 5U);
    EXPECT_FALSE(datagram.raised_limit().has_per_second());
}

// Guards against crashes that an entry does not receive from the others, and against its own that
// it does not send: to the agents that all entries subscribe to.
TEST_F(LoadListenerFixture, publishCrashEvidence_crashObserved_sentToAgentsAndAppliedByReceiver)
{
    udp::socket agent(m_context, {boost::asio::ip::make_address_v4("127.0.0.7"), Port});
    agent.non_blocking(true);
    routing::ListedEndpoint endpoint;
    endpoint.id = domain::EndpointId("e7");
    endpoint.service = domain::ServiceId("models");
    endpoint.address = {"127.0.0.7", 9};
    m_dispatcher.endpoints().replaceAll({endpoint}, domain::TimePoint::clock::now());
    const auto now = domain::TimePoint::clock::now();
    const std::vector<routing::RequestTrait> traits{routing::RequestTrait("bad\xff")};
    for (std::uint64_t i = 1; i <= 3; ++i) {
        m_dispatcher.crashes().onCrash(
                {{domain::EndpointId("e" + std::to_string(i)), i}, domain::RequestId("r\xfe"),
                        traits, 1, now - 1s + i * 200ms},
                now);
    }
    m_listener.publishCrashEvidence();
    std::array<char, 1500> bytes{};
    const std::size_t size = agent.receive(boost::asio::buffer(bytes));
    protocol::AgentDatagram datagram;
    ASSERT_TRUE(datagram.ParseFromArray(bytes.data(), static_cast<int>(size)));

    routing::CrashAttribution other;
    m_listener.setEvidenceHandler([&](const protocol::CrashEvidence &evidence) {
        other.onEvidence(evidence, domain::TimePoint::clock::now());
    });
    protocol::EntryDatagram forwarded;
    *forwarded.mutable_crash_evidence() = datagram.crash_evidence();
    send(forwarded.SerializeAsString());
    ASSERT_EQ(other.refused().size(), 1U);
    EXPECT_EQ(other.refused().front().traits, traits);
}

// Regression: an entry sent requests to engines with an older version after the version bound. It
// received the version late, although an agent had published since when the version was named.
TEST_F(LoadListenerFixture, receive_agentPublishesAgeOfNaming_olderEnginesLeftOutInTime)
{
    m_dispatcher.weights().onNamed(domain::ModelId("m"), 2, false, domain::TimePoint::clock::now());
    ASSERT_NE(chosen(), "");
    protocol::LoadReport message = report(1);
    protocol::NamedWeights &named = *message.mutable_knowledge()->add_named();
    named.set_model("m");
    named.set_version(2);
    named.set_age_ms(7000);
    send(message);
    m_context.run_for(200ms);
    EXPECT_EQ(chosen(), "");
}

// Regression: an entry that could not read the store sent requests to a withdrawn data centre. All
// agents published that the withdrawals had changed, but not which data centres are withdrawn.
TEST_F(LoadListenerFixture,
        receive_agentsPublishWithdrawalWhileStoreIsUnreachable_dataCentreLeftOut)
{
    m_store.isDown = true;
    std::vector<routing::ListedEndpoint> listed;
    for (const auto &[id, endpoint] : m_dispatcher.endpoints().endpoints()) {
        listed.push_back(endpoint);
        listed.back().dataCentre = domain::DataCentreId("b");
    }
    m_dispatcher.endpoints().replaceAll(listed, domain::TimePoint::clock::now());
    for (const int agent : {1, 2}) {
        ASSERT_NE(chosen(), "");
        protocol::LoadReport message = report(agent);
        config::toProtocol(
                {StoreEra, 99}, message.mutable_knowledge()->mutable_withdrawals_changed_at());
        message.mutable_knowledge()->add_withdrawn("b");
        send(message);
    }
    EXPECT_EQ(chosen(), "");
}

// Regression: an entry whose store calls failed sent requests to engines with an older version
// after the version bound. All agents published the naming, which had no effect before the entry's
// own read, seconds later. A report of one agent alone has no effect, and the store's answer
// overrides the reports.
TEST_F(LoadListenerFixture, receive_agentsPublishVersionWhileStoreIsUnreachable_olderEnginesLeftOut)
{
    m_store.isDown = true;
    const auto publish = [this](int agent) {
        protocol::LoadReport message = report(agent);
        config::toProtocol(
                {StoreEra, 99}, message.mutable_knowledge()->mutable_weights_changed_at());
        protocol::NamedWeights &named = *message.mutable_knowledge()->add_named();
        named.set_model("m");
        named.set_version(2);
        named.set_age_ms(7000);
        send(message);
    };
    for (const int agent : {1, 2}) {
        ASSERT_NE(chosen(), "");
        publish(agent);
        publish(agent);
    }
    EXPECT_EQ(chosen(), "");
    // The store does not have the version, though the agents still publish it.
    m_store.isDown = false;
    m_store.put("weights/m", R"({"model":"m","version":1})");
    const auto end = domain::TimePoint::clock::now() + 20s;
    while (chosen().empty() && domain::TimePoint::clock::now() < end) {
        publish(1);
        publish(2);
        m_context.run_for(50ms);
    }
    publish(1);
    publish(2);
    EXPECT_NE(chosen(), "");
}

// Regression: an entry sent requests to engines with an older version until its own read of the
// store, 5.3 s after its start. After a restart of all processes none has the time of the naming,
// so agents publish the version without an age, which had no effect (trouble-3 on
// probador-rill-large).
TEST_F(LoadListenerWithoutStoreFixture,
        receive_agentsPublishVersionFoundAtStartWhileStoreIsUnreachable_olderEnginesLeftOut)
{
    for (const int agent : {1, 2}) {
        ASSERT_NE(chosen(), "");
        publishUntimed(agent);
        publishUntimed(agent);
    }
    // The dispatcher's options state no start time, so the grace period after the start is over.
    EXPECT_EQ(chosen(), "");
}

// Guards against an entry that has read the store and refuses all requests as soon as restarted
// agents publish a naming without its time, and against one that sends requests to older engines
// after the bound from the last proof of its copy, also if the VM was suspended since.
TEST_F(LoadListenerFixture,
        receive_agentsPublishVersionWithoutTimeAfterOwnRead_olderEnginesLeftOutAtBoundFromProof)
{
    const domain::ModelId model("m");
    m_context.run_for(50ms);
    m_store.isDown = true;
    m_dispatcher.onSuspended(1s);
    const auto provenBy = domain::TimePoint::clock::now() - 1s;
    m_context.run_for(50ms);
    publishUntimed(1);
    EXPECT_EQ(m_dispatcher.weights().newestVersion(model), 0U);
    publishUntimed(2);
    EXPECT_EQ(m_dispatcher.weights().newestVersion(model), 2U);
    EXPECT_NE(chosen(), "");
    // Up to 1.3 s pass between the proof and the call of onSuspended() on a busy machine.
    EXPECT_EQ(m_dispatcher.weights().requiredVersion(model, provenBy + 5s), 0U);
    EXPECT_EQ(m_dispatcher.weights().requiredVersion(model, provenBy + 6300ms), 2U);
    m_dispatcher.onSuspended(6300ms);
    EXPECT_EQ(m_dispatcher.weights().requiredVersion(model, domain::TimePoint::clock::now()), 2U);
    EXPECT_EQ(chosen(), "");
}

// Guards against a version that stays required although the store never had it. The entry reaches
// the revision stated by the agents through a watch, not through a complete list.
TEST_F(LoadListenerFixture, receive_watchPassesPublishedRevision_versionNoLongerRequired)
{
    for (const int agent : {1, 2}) {
        protocol::LoadReport message = report(agent);
        config::toProtocol(
                {StoreEra, 1}, message.mutable_knowledge()->mutable_weights_changed_at());
        protocol::NamedWeights &named = *message.mutable_knowledge()->add_named();
        named.set_model("m");
        named.set_version(2);
        named.set_age_ms(7000);
        send(message);
    }
    ASSERT_EQ(chosen(), "");
    m_store.put("weights/other", R"({"model":"other","version":1})");
    const auto end = domain::TimePoint::clock::now() + 5s;
    while (chosen().empty() && domain::TimePoint::clock::now() < end) {
        for (const int agent : {1, 2}) {
            protocol::LoadReport message = report(agent);
            config::toProtocol(
                    {StoreEra, 1}, message.mutable_knowledge()->mutable_weights_changed_at());
            send(message);
        }
        m_context.run_for(50ms);
    }
    EXPECT_NE(chosen(), "");
}

// Guards against a share of the cold bound that is far too large after a restart of all processes:
// the agents' first counts include only the few entries that have contacted them so far
// (hunt-aebc-7 on kovacevic-nakovnji-grown, FAILBACK).
TEST_F(LoadListenerFixture, countEntries_firstCountsAfterRestart_notBelowAssumedCount)
{
    boost::asio::co_spawn(m_context, m_listener.publishUpdates(), boost::asio::detached);
    protocol::LoadReport message = report(1);
    message.set_entries(3);
    send(message);
    m_context.run_for(1s);
    EXPECT_EQ(m_dispatcher.share().entries, routing::DispatcherOptions().assumedEntries);
    for (int i = 0; i < 6; ++i) {
        send(message);
        m_context.run_for(500ms);
    }
    EXPECT_EQ(m_dispatcher.share().entries, 3U);
}

// Regression: entries that knew of a newer configuration asked only the publishers, of which one
// lacked it and the other had lost the store, although the latter and two entries beside them had
// it for three seconds (trouble-3 on probador-rill-large: HOME).
TEST_F(LoadListenerFixture, nextSource_entryHasNewerCopyWithoutPublisher_thatEntry)
{
    protocol::LoadReport message = report(1);
    protocol::StoreKnowledge &knowledge = *message.mutable_knowledge();
    config::toProtocol({StoreEra, 9}, knowledge.mutable_configuration_changed_at());
    knowledge.set_configuration_source("127.0.0.1:5");
    config::toProtocol({StoreEra, 8}, knowledge.mutable_endpoints_changed_at());
    knowledge.set_endpoints_source("127.0.0.1:6");
    EXPECT_FALSE(m_listener.nextSource("configuration"));
    send(message);
    EXPECT_EQ(m_listener.nextSource("configuration"), (domain::SocketAddress{"127.0.0.1", 5}));
    EXPECT_EQ(m_listener.nextSource("endpoints"), (domain::SocketAddress{"127.0.0.1", 6}));
}

// Guards against fetching from an entry whose copy is not newer, or from this entry itself.
TEST_F(LoadListenerFixture, nextSource_copyNotNewerOrOwnAddress_none)
{
    protocol::LoadReport message = report(1);
    protocol::StoreKnowledge &knowledge = *message.mutable_knowledge();
    knowledge.set_configuration_source("127.0.0.1:5");
    config::toProtocol({StoreEra, 8}, knowledge.mutable_endpoints_changed_at());
    knowledge.set_endpoints_source("127.0.0.1:" + std::to_string(Port));
    send(message);
    EXPECT_FALSE(m_listener.nextSource("configuration"));
    EXPECT_FALSE(m_listener.nextSource("endpoints"));
}

} // namespace oriolerill::relay
