#pragma once

#include "domain/expected.h"
#include "domain/socketaddress.h"
#include "relay/internal/fleetsubscriber.h"
#include "routing/dispatcher.h"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/udp.hpp>

#include <map>
#include <optional>
#include <string>

namespace oriolerill::relay::internal {

/// Subscribes to the load reports of the agents beside the engines and hands them to the
/// dispatcher. Also learns from them how many entries there are, and what other entries know of
/// the store.
class LoadListener
{
public:
    LoadListener(boost::asio::io_context &context, routing::Dispatcher &dispatcher,
            FleetSubscriber &fleet, domain::EntryId entry, domain::DataCentreId dataCentre,
            const domain::SocketAddress &listen);

    domain::Expected<domain::Done> open();
    boost::asio::awaitable<void> subscribe();
    boost::asio::awaitable<void> receive();
    /// Tells the agents of this data centre at once what this entry has just learnt: a named
    /// version, or an endpoint that is leaving.
    void tellNow();
    /// Sends the other entries that an endpoint has raised or ended its limit.
    void publishRaisedLimit(
            const routing::EndpointInstance &instance, std::optional<double> perSecond);
    /// Tells the other entries of this data centre what the own watches have brought, if this entry
    /// reads the store for them.
    void publishUpdates(const PublishedChanges &changes);
    /// Tells them all the time how far the own watches have come.
    boost::asio::awaitable<void> publishUpdates();
    /// A publisher that has sent an update lately, each of them in turn; none before.
    std::optional<domain::SocketAddress> nextSource();

private:
    struct EntryCount
    {
        routing::EntryShare share;
        /// Among the entries of this data centre; without entries when the agent is in another.
        routing::EntryShare local;
        domain::TimePoint at;
    };

    /// Demand is counted over so many seconds since the last time.
    void sendSubscriptions(double seconds);
    /// What an agent would otherwise read from the configuration, which may be large.
    void addFacts(const domain::ServiceId &id, protocol::ServiceFacts &facts) const;
    /// Whether reports of this endpoint are worth their bytes.
    bool isWanted(const routing::ListedEndpoint &endpoint);
    /// This entry is a publisher, or those before it in rank have been silent for so long that it
    /// takes their place.
    bool isPublishing(domain::TimePoint now) const;
    void sendUpdate(const protocol::StoreUpdate &update);
    void takeUpdate(const protocol::StoreUpdate &update, domain::TimePoint now);
    void noteSource(const domain::SocketAddress &source, bool isStoreLost, domain::TimePoint now);
    bool isEngine(const routing::ListedEndpoint &endpoint) const;
    /// Requests a second for each engine of this data centre, by service.
    std::map<domain::ServiceId, double> takeLocalDemand(double seconds);
    void sendTo(const routing::ListedEndpoint &endpoint, const std::string &bytes);
    /// What this entry knows of the store, and which endpoints say that they are leaving.
    protocol::StoreKnowledge knowledge() const;
    /// Endpoint whose agent passes on what concerns the given one: itself, if it has an agent.
    const routing::ListedEndpoint *publisherFor(const routing::ListedEndpoint &endpoint);
    void takeRaisedLimit(const protocol::RaisedLimit &raised);
    void learnLeaving(const protocol::StoreKnowledge &knowledge, domain::TimePoint now);
    void countEntries(domain::TimePoint now);

    boost::asio::io_context &m_context;
    routing::Dispatcher &m_dispatcher;
    FleetSubscriber &m_fleet;
    domain::EntryId m_entry;
    domain::DataCentreId m_dataCentre;
    domain::SocketAddress m_listen;
    boost::asio::ip::udp::socket m_socket;
    std::map<domain::SocketAddress, EntryCount> m_counts;
    /// Place of this entry among those of its data centre; no entries while it is not known.
    routing::EntryShare m_localRank{0, 0};
    /// Until then the entries may not all have been heard by the agents.
    domain::TimePoint m_startEnd;
    StoreUpdateAssembler m_assembler;
    /// Time of the last update from a publisher that reaches the store.
    domain::TimePoint m_updatedAt;
    /// When each publisher has sent its last update.
    std::map<domain::SocketAddress, domain::TimePoint> m_sources;
    std::optional<domain::SocketAddress> m_lastSource;
};

} // namespace oriolerill::relay::internal
