#pragma once

#include "objectstore/storesubscriber.h"
#include "protocol/control.pb.h"
#include "relay/internal/relaycontext.h"
#include "relay/internal/storeupdates.h"

#include <functional>
#include <memory>
#include <vector>

namespace oriolerill::relay::internal {

/// The operator's bounds from a change in the store until every entry acts on it.
struct StoreBounds
{
    domain::Duration configuration;
    domain::Duration drain;
};

/// Keeps the dispatcher's view of configuration, endpoints, withdrawals and named weights up to
/// date with the store.
class FleetSubscriber
{
public:
    FleetSubscriber(boost::asio::io_context &context, objectstore::IObjectStore &store,
            RelayContext &relay, const StoreBounds &bounds);

    void start();
    /// Configuration and endpoints are known.
    bool isComplete() const;
    protocol::StoreKnowledge knowledge() const;
    /// Called when a version of weights is named.
    void onNamed(std::function<void()> handler) { m_onNamed = std::move(handler); }
    using ChangesHandler = std::function<void(const PublishedChanges &changes)>;
    /// Called for what the watches of this process bring from collections that entries share.
    void onWatchedChanges(ChangesHandler handler) { m_onOwnChanges = std::move(handler); }
    /// How far the shared collections are known here by own watches; without objects.
    std::vector<PublishedChanges> confirmedRevisions(domain::TimePoint now) const;
    void onPublisherStoreLoss(domain::TimePoint now);
    using PeerFetch
            = std::function<boost::asio::awaitable<domain::Expected<objectstore::ObjectList>>(
                    std::string collection, domain::TimePoint deadline)>;
    /// How large collections are read from another entry. After start().
    void setPeerFetch(const PeerFetch &list);
    /// A large collection as the store has it, for other entries; null for others.
    const objectstore::ObjectList *copyOf(const std::string &collection) const;
    /// Place of this entry among those of its data centre.
    void setRank(std::uint32_t rank, std::uint32_t entries) { m_turns.setRank(rank, entries); }
    const objectstore::ReadStagger &turns() const { return m_turns; }
    bool isStoreLost() const { return m_relay.storeLostAt.has_value(); }
    /// What another entry of the data centre has read.
    void onPublishedChanges(const PublishedChanges &changes, domain::TimePoint now);
    /// Knowledge of other entries, published by the agent of the endpoint at this address.
    void onPeerRevision(
            const protocol::StoreKnowledge &knowledge, const domain::SocketAddress &agent);

private:
    void onConfig(const objectstore::ObjectList &objects);
    void onEndpoints(const objectstore::ObjectList &objects, bool isWhole);
    void takePublishedWithdrawals(
            const protocol::StoreKnowledge &knowledge, const domain::SocketAddress &agent);
    void onWithdrawals(const objectstore::ObjectList &objects, bool isWhole);
    void onWeights(const objectstore::ObjectList &objects, bool isAtStart);
    void onStoreLost();
    void onStoreBack();
    /// One collection is read again.
    void onCollectionBack();
    objectstore::StoreSubscriber &follow(const char *collection, objectstore::CollectionSink sink,
            objectstore::StoreSubscriberOptions options);

    /// The same for a collection that entries of a data centre tell each other.
    objectstore::StoreSubscriber &share(const char *collection, objectstore::CollectionSink sink,
            objectstore::StoreSubscriberOptions options);

    boost::asio::io_context &m_context;
    objectstore::IObjectStore &m_store;
    RelayContext &m_relay;
    StoreBounds m_bounds;
    objectstore::ReadStagger m_turns;
    std::vector<std::unique_ptr<objectstore::StoreSubscriber>> m_followers;
    objectstore::StoreSubscriber *m_configuration = nullptr;
    objectstore::StoreSubscriber *m_endpoints = nullptr;
    objectstore::StoreSubscriber *m_withdrawals = nullptr;
    objectstore::StoreSubscriber *m_weights = nullptr;
    std::function<void()> m_onNamed;
    ChangesHandler m_onOwnChanges;
    /// Collections whose objects are small enough to be told.
    std::vector<objectstore::StoreSubscriber *> m_shared;
    /// A collection has failed since the store was last reached.
    bool m_isStoreAway = false;
    bool m_hasEndpoints = false;
    bool m_hasWithdrawals = false;
    bool m_hasWeights = false;
};

} // namespace oriolerill::relay::internal
