#pragma once

#include "domain/expected.h"
#include "domain/socketaddress.h"
#include "relay/internal/fleetsubscriber.h"
#include "routing/dispatcher.h"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/udp.hpp>
#include <boost/asio/steady_timer.hpp>

#include <functional>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace oriolerill::relay::internal {

/// Subscribes to the load reports of the agents beside the engines and passes them to the
/// dispatcher. The reports also carry the number of entries and other entries' knowledge of the
/// store. As a publisher, sends changes of the store to the other entries of the data centre.
class LoadListener
{
public:
    LoadListener(boost::asio::io_context &context, routing::Dispatcher &dispatcher,
            FleetSubscriber &fleet, domain::EntryId entry, domain::DataCentreId dataCentre,
            const domain::SocketAddress &listen);

    domain::Expected<domain::Done> open();
    boost::asio::awaitable<void> subscribe();
    boost::asio::awaitable<void> receive();
    /// Sends this entry's knowledge to the agents of this data centre at once, after a version was
    /// named or an endpoint stated that it is leaving.
    void publishKnowledge();
    /// Notifies the other entries that an endpoint has raised or ended its limit.
    void publishRaisedLimit(
            const routing::EndpointInstance &instance, std::optional<double> perSecond);
    using EvidenceHandler = std::function<void(const protocol::CrashEvidence &evidence)>;
    /// Called with the evidence of crashes that agents send.
    void setEvidenceHandler(EvidenceHandler handler) { m_onEvidence = std::move(handler); }
    /// Sends this entry's evidence of crashes to all entries.
    void publishCrashEvidence();
    /// Sends it to one agent at a time at a fixed interval, for processes that missed it.
    boost::asio::awaitable<void> repeatCrashEvidence();
    /// Sends changes from this entry's watches to the other entries of the data centre, if this
    /// entry is a publisher.
    void publishUpdates(const PublishedChanges &changes);
    /// Sends this entry's confirmed versions at a fixed interval, if it is a publisher.
    boost::asio::awaitable<void> publishUpdates();
    /// Sends the confirmed versions at once, if this entry is a publisher: the store has proved
    /// them.
    void publishProof();
    /// An entry from which to fetch the collection: a publisher that has sent a recent update, in
    /// round-robin order, or in turn with these one that has a newer copy than this entry,
    /// whether or not it reaches the store. Empty without either.
    std::optional<domain::SocketAddress> nextSource(const std::string &collection);

private:
    /// An entry of the data centre that has this version of a collection.
    struct CopySource
    {
        domain::SocketAddress address;
        domain::ConfigVersion version;
        domain::TimePoint reportedAt;
    };
    struct EntryCount
    {
        routing::EntryShare share;
        /// Among the entries of this data centre; zero entries when the agent is in another one.
        routing::EntryShare local;
        domain::TimePoint at;
    };

    std::optional<domain::SocketAddress> nextPublisher();
    void recordSource(const std::string &collection, const std::string &address,
            const protocol::Version &version, domain::TimePoint now);
    /// Demand was counted over so many seconds since the last call.
    void sendSubscriptions(double seconds);
    /// Adds what an agent would otherwise read from the configuration, which may be large.
    void addFacts(const domain::ServiceId &id, protocol::ServiceFacts &facts) const;
    /// Whether this entry needs the load reports of the endpoint.
    bool needsReports(const routing::ListedEndpoint &endpoint);
    /// This entry is a publisher by its rank, or stands in because no update has been received for
    /// too long.
    bool isPublishing(domain::TimePoint now) const;
    void sendUpdate(const protocol::StoreUpdate &update);
    void applyUpdate(const protocol::StoreUpdate &update, domain::TimePoint now);
    void recordPublisher(
            const domain::SocketAddress &source, bool isStoreLost, domain::TimePoint now);
    bool isEngine(const routing::ListedEndpoint &endpoint) const;
    /// Requests per second and engine of this data centre, by service.
    std::map<domain::ServiceId, double> takeLocalDemand(double seconds);
    void sendTo(const routing::ListedEndpoint &endpoint, const std::string &bytes);
    /// The state of this entry's copies of the store, and the endpoints that are leaving.
    protocol::StoreKnowledge knowledge() const;
    /// Endpoint whose agent forwards messages about the given one: itself, if it has an agent.
    const routing::ListedEndpoint *forwarderFor(const routing::ListedEndpoint &endpoint);
    /// Engines whose agents all entries subscribe to; two of each data centre and service.
    std::vector<domain::EndpointId> countingEngines();
    void applyRaisedLimit(const protocol::RaisedLimit &raised);
    void applyLeaving(const protocol::StoreKnowledge &knowledge, domain::TimePoint now);
    void countEntries(domain::TimePoint now);

    boost::asio::io_context &m_context;
    routing::Dispatcher &m_dispatcher;
    FleetSubscriber &m_fleet;
    domain::EntryId m_entry;
    domain::DataCentreId m_dataCentre;
    domain::SocketAddress m_listen;
    boost::asio::ip::udp::socket m_socket;
    std::map<domain::SocketAddress, EntryCount> m_entryCounts;
    /// Rank of this entry among those of its data centre; zero entries while it is unknown.
    routing::EntryShare m_localRank{0, 0};
    /// Until then the agents may not have received the subscriptions of all entries.
    domain::TimePoint m_startupEnd;
    StoreUpdateAssembler m_assembler;
    /// Time of the last proof that a publisher's update carried.
    domain::TimePoint m_provenAt;
    boost::asio::steady_timer m_updateTimer;
    /// Time of the last update of each publisher that reaches the store.
    std::map<domain::SocketAddress, domain::TimePoint> m_publishers;
    std::optional<domain::SocketAddress> m_lastPublisher;
    std::map<std::string, CopySource> m_sources;
    /// The next fetch is from one of them, although a publisher is known.
    bool m_isSourceTurn = true;
    EvidenceHandler m_onEvidence;
    /// Counts the agents that have received repeated evidence.
    std::size_t m_evidenceRepeats = 0;
};

} // namespace oriolerill::relay::internal
