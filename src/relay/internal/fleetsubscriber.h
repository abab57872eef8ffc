#pragma once

#include "objectstore/storesubscriber.h"
#include "protocol/control.pb.h"
#include "relay/internal/relaycontext.h"
#include "relay/internal/storeupdates.h"
#include "routing/outagedetector.h"
#include "routing/withdrawallist.h"

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace oriolerill::relay::internal {

/// The operator's bounds of the time from a change in the store until every entry applies it.
struct StoreBounds
{
    domain::Duration configuration;
    domain::Duration drain;
    /// From the end of an outage until an entry counts as being in touch.
    domain::Duration contact = std::chrono::milliseconds(5000);
};

/// Keeps the dispatcher's view of configuration, endpoints, withdrawals and named weights up to
/// date with the store, by its own watches or by the changes that publishers send.
class FleetSubscriber
{
public:
    FleetSubscriber(boost::asio::io_context &context, objectstore::IObjectStore &store,
            RelayContext &relay, const StoreBounds &bounds);

    void start();
    /// Each collection has been received at least once.
    bool isComplete() const;
    protocol::StoreKnowledge knowledge() const;
    /// Called when a version of weights is named.
    void onNamed(std::function<void()> handler) { m_onNamed = std::move(handler); }
    using ChangesHandler = std::function<void(const PublishedChanges &changes)>;
    /// Called with the changes of published collections that this process's watches receive.
    void onWatchedChanges(ChangesHandler handler) { m_onWatchedChanges = std::move(handler); }
    /// Versions up to which the store has recently confirmed this process's copies of published
    /// collections; without objects.
    std::vector<PublishedChanges> confirmedVersions(domain::TimePoint now) const;
    /// Called when the store has proved the copies of this process again.
    void onProven(std::function<void()> handler) { m_onProven = std::move(handler); }
    /// A publisher has had a change of the configuration or of the endpoints for so long that
    /// requests must not be served without it.
    bool isOverdue(domain::TimePoint now) const;
    void onPublisherStoreLoss(domain::TimePoint now);
    using PeerFetch
            = std::function<boost::asio::awaitable<domain::Expected<objectstore::ObjectList>>(
                    std::string collection, domain::TimePoint deadline)>;
    /// Sets how large collections are fetched from another entry. Called after start().
    void setPeerFetch(const PeerFetch &fetch);
    /// The local copy of a large collection, for other entries; null for other collections.
    const objectstore::ObjectList *copyOf(const std::string &collection) const;
    /// Version at which a large collection last changed in the local copy.
    domain::ConfigVersion lastChangeOf(const std::string &collection) const;
    /// Sets the rank of this entry among those of its data centre.
    void setRank(std::uint32_t rank, std::uint32_t entries)
    {
        m_readStagger.setRank(rank, entries);
    }
    const objectstore::ReadStagger &readStagger() const { return m_readStagger; }
    bool isStoreLost() const { return m_relay.storeLostAt.has_value(); }
    /// Applies the changes that a publisher of the data centre has sent.
    void onPublishedChanges(const PublishedChanges &changes, domain::TimePoint now);
    /// Applies other entries' knowledge of the store, which the agent of the endpoint at this
    /// address has sent.
    void onPeerKnowledge(
            const protocol::StoreKnowledge &knowledge, const domain::SocketAddress &agent);

private:
    void onConfig(const objectstore::ObjectList &objects);
    void onEndpoints(const objectstore::ObjectList &objects, bool isFullList);
    void applyPublishedWithdrawals(
            const protocol::StoreKnowledge &knowledge, const domain::SocketAddress &agent);
    void onWithdrawals(const objectstore::ObjectList &objects, bool isFullList);
    /// Passes the withdrawals in force to the dispatcher.
    void applyWithdrawals(domain::TimePoint now);
    boost::asio::awaitable<void> applyWithdrawalsAt(domain::TimePoint time);
    /// The collection's next list is of a newer era than the copy that it replaces.
    void onEraChanged(const std::string &collection);
    void onWeights(const objectstore::ObjectList &objects, bool isAtStart);
    /// A call that did not wait for changes, sent at this time, has failed.
    void onCallFailed(domain::TimePoint sentAt);
    void onStoreLost();
    void onStoreBack();
    /// Retains endpoints if the store answers again after an outage in which records can have
    /// expired.
    void retainAfterOutage();
    void logRemovals(const std::vector<routing::EndpointRemoval> &removals,
            domain::ConfigVersion version, domain::TimePoint now) const;
    /// The store answers calls for one collection again.
    void onCollectionBack();
    objectstore::StoreSubscriber &subscribe(const char *collection,
            objectstore::CollectionSink sink, objectstore::StoreSubscriberOptions options);
    /// Subscribes to a collection whose changes publishers send to the other entries: the changes
    /// that its watches receive are passed to the handler of onWatchedChanges().
    objectstore::StoreSubscriber &subscribePublished(const char *collection,
            objectstore::CollectionSink sink, objectstore::StoreSubscriberOptions options);
    /// Reads the store whenever the last proof of a copy is too old for this entry's rank. Runs
    /// until the context stops.
    boost::asio::awaitable<void> proveCopies();
    /// An answer of the store for one collection proves the copies of the others, if the store has
    /// not changed since.
    void onStoreVersion(domain::ConfigVersion version, domain::TimePoint provenAt);
    std::optional<domain::TimePoint> provenAtOf(const std::string &collection) const;
    /// Passes the last proof of the named weights to the dispatcher.
    void recordWeightsProof();

    boost::asio::io_context &m_context;
    objectstore::IObjectStore &m_store;
    RelayContext &m_relay;
    StoreBounds m_bounds;
    objectstore::ReadStagger m_readStagger;
    std::vector<std::unique_ptr<objectstore::StoreSubscriber>> m_subscribers;
    objectstore::StoreSubscriber *m_configuration = nullptr;
    objectstore::StoreSubscriber *m_endpoints = nullptr;
    objectstore::StoreSubscriber *m_withdrawals = nullptr;
    objectstore::StoreSubscriber *m_weights = nullptr;
    std::function<void()> m_onNamed;
    ChangesHandler m_onWatchedChanges;
    std::function<void()> m_onProven;
    /// Collections whose changes publishers send to the other entries.
    std::vector<objectstore::StoreSubscriber *> m_published;
    routing::WithdrawalList m_withdrawalList;
    /// Newest era that the store has stated to this process.
    std::uint64_t m_storeEra = 0;
    routing::OutageDetector m_outages;
    bool m_hasEndpoints = false;
    bool m_hasWithdrawals = false;
    bool m_hasWeights = false;
};

} // namespace oriolerill::relay::internal
