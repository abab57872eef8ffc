#pragma once

#include "domain/expected.h"
#include "domain/socketaddress.h"
#include "domain/strongid.h"
#include "domain/timepoint.h"
#include "protocol/control.pb.h"
#include "relayagent/internal/engineclient.h"
#include "rollout/enginestate.h"
#include "routing/capacitygrants.h"
#include "routing/crashevidence.h"
#include "routing/namedversion.h"
#include "routing/servingconfig.h"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/udp.hpp>

#include <functional>
#include <map>
#include <optional>

namespace oriolerill::relayagent::internal {

/// Reads the state of the engine on this VM several times a second and sends it to the subscribed
/// entries.
class LoadReporter
{
public:
    LoadReporter(boost::asio::io_context &context, EngineClient &engine,
            domain::DataCentreId dataCentre, const domain::SocketAddress &listen);

    domain::Expected<domain::Done> open();
    /// Receives the datagrams of entries and other agents.
    boost::asio::awaitable<void> receive();
    boost::asio::awaitable<void> report();

    using HoldingsHandler
            = std::function<void(const std::string &host, const protocol::PieceHoldings &holdings)>;
    using NamedHandler = std::function<void(const routing::NamedVersion &version)>;
    /// Called for each named version that an entry reports.
    void setNamedHandler(NamedHandler handler) { m_onNamed = std::move(handler); }
    using NamedVersionsReadHandler = std::function<void()>;
    /// Called after all named versions of an entry that has read the store.
    void setNamedVersionsReadHandler(NamedVersionsReadHandler handler)
    {
        m_onNamedVersionsRead = std::move(handler);
    }
    using FactsHandler = std::function<void(const protocol::ServiceFacts &facts)>;
    /// Called for the service facts that entries send.
    void setFactsHandler(FactsHandler handler) { m_onFacts = std::move(handler); }
    /// Whether an entry has reported recently that the store answers it.
    bool isStoreAnsweringEntries(domain::TimePoint now) const;
    /// Address at which an entry of the data centre serves its copies of collections, in
    /// round-robin order; entries without the store only if there are no others. None without a
    /// recent subscription.
    std::optional<domain::SocketAddress> nextEntry(domain::TimePoint now);
    void setHoldingsHandler(HoldingsHandler handler) { m_onHoldings = std::move(handler); }
    using RemoteHoldingsHandler = std::function<void(const protocol::DataCentreHoldings &holdings)>;
    /// Called for the holdings of other data centres.
    void setRemoteHoldingsHandler(RemoteHoldingsHandler handler)
    {
        m_onRemoteHoldings = std::move(handler);
    }
    /// Sends the datagram to the agents on other hosts.
    void sendToAgents(
            const protocol::AgentDatagram &datagram, const std::vector<std::string> &hosts);

    /// Latest state; none while the engine does not answer.
    const std::optional<rollout::EngineState> &state() const { return m_state; }
    /// Reports to entries, immediately and with each later report, whether the engine is about to
    /// switch.
    void setSwitching(bool isSwitching);
    /// Sets the model whose version is reported, and the speed of the engine.
    void setModel(const domain::ModelId &model, const routing::EngineSpeed &speed);

private:
    struct Subscriber
    {
        /// Requests a second for this engine.
        double demand = 0;
        bool isLocal = false;
        /// Time of the last subscription with a demand.
        domain::TimePoint activeAt;
        /// Time of the last subscription.
        domain::TimePoint seenAt;
        protocol::StoreKnowledge knowledge;
    };

    /// Keeps evidence of crashes for entries that start later, and forwards news.
    void onCrashEvidence(
            const protocol::CrashEvidence &evidence, const boost::asio::ip::udp::endpoint &sender);
    /// Sends the evidence to the entries of the data centre, except for the given one.
    void sendCrashEvidence(const boost::asio::ip::udp::endpoint *sender);
    void sendCrashEvidenceTo(const boost::asio::ip::udp::endpoint &entry);
    void repeatCrashEvidence(domain::TimePoint now);
    /// An urgent report goes to all subscribers.
    void send(bool isUrgent);
    bool isReportDue(
            const Subscriber &subscriber, std::size_t position, domain::TimePoint now) const;
    /// Forwards an endpoint's raised limit to all entries except the sender.
    void forward(const protocol::RaisedLimit &raised, const boost::asio::ip::udp::endpoint &sender);
    /// Forwards an entry's store update to the other entries of this data centre.
    void forward(const protocol::StoreUpdate &update, const boost::asio::ip::udp::endpoint &sender);
    void onKnowledge(const protocol::StoreKnowledge &knowledge);
    /// Store knowledge of all subscribed entries, merged.
    protocol::StoreKnowledge knowledge() const;
    using VersionField = const protocol::Version &(protocol::StoreKnowledge::*)() const;
    /// Address of an entry of the data centre that has the newest version; empty if none has it.
    std::string sourceOf(VersionField field, const protocol::StoreKnowledge &merged,
            domain::TimePoint now) const;

    boost::asio::io_context &m_context;
    EngineClient &m_engine;
    domain::DataCentreId m_dataCentre;
    domain::SocketAddress m_listen;
    boost::asio::ip::udp::socket m_socket;
    std::map<boost::asio::ip::udp::endpoint, Subscriber> m_subscribers;
    std::size_t m_entryTurn = 0;
    std::optional<rollout::EngineState> m_state;
    domain::ModelId m_model;
    routing::EngineSpeed m_speed;
    routing::CapacityGrants m_grants;
    bool m_isSwitching = false;
    std::uint64_t m_sequence = 0;
    HoldingsHandler m_onHoldings;
    RemoteHoldingsHandler m_onRemoteHoldings;
    NamedHandler m_onNamed;
    NamedVersionsReadHandler m_onNamedVersionsRead;
    /// The newest versions that entries have published, each with its earliest reported naming
    /// time.
    std::map<domain::ModelId, std::map<std::uint64_t, routing::NamedVersion>> m_named;
    FactsHandler m_onFacts;
    routing::CrashEvidence m_crashes;
    domain::TimePoint m_evidenceRepeatAt;
};

} // namespace oriolerill::relayagent::internal
