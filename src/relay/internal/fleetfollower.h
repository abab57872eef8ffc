#pragma once

#include "objectstore/storefollower.h"
#include "relay/internal/relaycontext.h"

#include <memory>
#include <vector>

namespace oriolerill::relay::internal {

/// Keeps the dispatcher's view of configuration, endpoints, withdrawals and named weights up to
/// date with the store.
class FleetFollower
{
public:
    FleetFollower(boost::asio::io_context &context, objectstore::IObjectStore &store,
            RelayContext &relay, domain::Duration drainBound);

    void start();
    /// Configuration and endpoints are known.
    bool isComplete() const;

private:
    void onConfig(const objectstore::ObjectList &objects);
    void onEndpoints(const objectstore::ObjectList &objects, bool isWhole);
    void onWithdrawals(const objectstore::ObjectList &objects, bool isWhole);
    void onWeights(const objectstore::ObjectList &objects, bool isAtStart);
    void follow(const char *collection, objectstore::CollectionSink sink,
            objectstore::StoreFollowerOptions options);

    boost::asio::io_context &m_context;
    objectstore::IObjectStore &m_store;
    RelayContext &m_relay;
    domain::Duration m_drainBound;
    std::vector<std::unique_ptr<objectstore::StoreFollower>> m_followers;
    bool m_hasEndpoints = false;
    bool m_hasWithdrawals = false;
    bool m_hasWeights = false;
};

} // namespace oriolerill::relay::internal
