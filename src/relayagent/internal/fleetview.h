#pragma once

#include "distribution/originplan.h"
#include "distribution/piecesources.h"
#include "domain/socketaddress.h"
#include "objectstore/iobjectstore.h"
#include "protocol/control.pb.h"
#include "routing/servingconfig.h"

#include <boost/asio/awaitable.hpp>

#include <functional>
#include <optional>
#include <utility>
#include <vector>

namespace oriolerill::relayagent::internal {

/// An agent's copy of the facts about its service: the model, the origin of weights and the other
/// VMs. Read from the store on demand, because a permanent watch by each agent would cost store
/// calls all day.
class FleetView
{
public:
    /// The member list is read from memberStore, whose data may be some seconds old.
    FleetView(objectstore::IObjectStore &store, objectstore::IObjectStore &memberStore,
            domain::ServiceId service, const domain::SocketAddress &engine,
            domain::DataCentreId dataCentre);

    /// Reads the configuration; true when model and origin are known.
    boost::asio::awaitable<bool> readConfig();
    /// Applies the facts that an entry sent; false when they are older than the current ones.
    bool applyFacts(const protocol::ServiceFacts &facts);
    using EntryCopy
            = std::function<boost::asio::awaitable<domain::Expected<objectstore::ObjectList>>(
                    domain::TimePoint deadline)>;
    /// Fetches the endpoints from an entry of the data centre; tried before the store.
    void setEntryCopy(EntryCopy fetch) { m_entryCopy = std::move(fetch); }
    /// Reads the member list; false while neither an entry nor the store answers.
    boost::asio::awaitable<bool> readMembers();

    const domain::ModelId &model() const { return m_model; }
    const routing::EngineSpeed &speed() const { return m_speed; }
    const std::optional<domain::SocketAddress> &origin() const { return m_origin; }
    const distribution::OriginCapacity &originCapacity() const { return m_originCapacity; }
    /// Members of the service, including this VM once it is listed.
    const std::vector<distribution::PushMember> &members() const { return m_members; }
    const distribution::PushMember &self() const { return m_self; }
    /// Incremented each time the member list is read.
    std::uint64_t generation() const { return m_generation; }
    std::vector<std::string> localHosts() const;
    /// Hosts of the members by data centre, without that of this VM.
    std::map<domain::DataCentreId, std::vector<std::string>> remoteHosts() const;
    /// Highest version that a member serves; zero when none does.
    std::uint64_t maxServedVersion() const;

private:
    boost::asio::awaitable<domain::Expected<objectstore::ObjectList>> listEndpoints(
            const char *&source);

    objectstore::IObjectStore &m_store;
    objectstore::IObjectStore &m_memberStore;
    EntryCopy m_entryCopy;
    domain::ServiceId m_service;
    distribution::PushMember m_self;
    domain::ModelId m_model;
    routing::EngineSpeed m_speed;
    std::optional<domain::SocketAddress> m_origin;
    distribution::OriginCapacity m_originCapacity;
    std::vector<distribution::PushMember> m_members;
    std::uint64_t m_generation = 1;
    std::uint64_t m_configVersion = 0;
};

} // namespace oriolerill::relayagent::internal
