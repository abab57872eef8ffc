#include "relay/internal/fleetfollower.h"

#include "observability/log.h"
#include "observability/persistentloop.h"
#include "platform/fleetcodec.h"

#include <algorithm>

namespace oriolerill::relay::internal {

namespace asio = boost::asio;
using domain::TimePoint;
using objectstore::ObjectList;
using objectstore::StoredObject;
using observability::logEvent;
using observability::Severity;

namespace {

/// Changes of endpoints come in series, and several cost one call of the store. The pause is this
/// share of the bound for a leaving endpoint.
constexpr int EndpointPausesPerDrainBound = 5;

/// The smallest bound of a configuration, 2 s, less a watch whose history is gone and a list, at
/// 250 ms each: sixty times the 4 ms that the store states for a call.
constexpr auto FreshnessBudget = std::chrono::milliseconds(1500);

std::string nameOf(const StoredObject &object)
{
    return object.key.substr(object.key.find('/') + 1);
}

void logMalformed(const StoredObject &object, const domain::Error &error)
{
    logEvent(Severity::Warning, "object_malformed",
            {{"object", object.key}, {"revision", object.version.revision},
                    {"error", error.message}, {"remedy", error.remedy}});
}

} // namespace

FleetFollower::FleetFollower(asio::io_context &context, objectstore::IObjectStore &store,
        RelayContext &relay, domain::Duration drainBound)
    : m_context(context)
    , m_store(store)
    , m_relay(relay)
    , m_drainBound(drainBound)
{}

bool FleetFollower::isComplete() const
{
    return m_relay.dispatcher.config() != nullptr && m_hasEndpoints && m_hasWithdrawals
            && m_hasWeights;
}

objectstore::StoreFollower &FleetFollower::follow(const char *collection,
        objectstore::CollectionSink sink, objectstore::StoreFollowerOptions options)
{
    options.freshnessBudget = FreshnessBudget;
    m_followers.push_back(std::make_unique<objectstore::StoreFollower>(
            m_context, m_store, collection, std::move(sink), options));
    observability::startPersistentLoop(m_context.get_executor(), collection,
            [follower = m_followers.back().get()] { return follower->run(); });
    return *m_followers.back();
}

objectstore::StoreFollower &FleetFollower::share(const char *collection,
        objectstore::CollectionSink sink, objectstore::StoreFollowerOptions options)
{
    sink.onWatched = [this, collection](std::uint64_t after, const ObjectList &changes) {
        if (m_onOwnChanges)
            m_onOwnChanges({collection, after, changes});
    };
    m_shared.push_back(&follow(collection, std::move(sink), options));
    return *m_shared.back();
}

std::vector<SharedChanges> FleetFollower::knownRevisions(TimePoint now) const
{
    std::vector<SharedChanges> heard;
    for (const objectstore::StoreFollower *follower : m_shared) {
        if (const auto revision = follower->ownRevision(now))
            heard.push_back({follower->collection(), follower->changedAt(), {{}, {0, *revision}}});
    }
    return heard;
}

void FleetFollower::onSharedLoss(TimePoint now)
{
    for (objectstore::StoreFollower *follower : m_shared)
        follower->onSharedLoss(now);
}

void FleetFollower::setPeerList(objectstore::StoreFollower::PeerList list)
{
    m_configuration->setPeerList(std::move(list));
}

void FleetFollower::onShared(const SharedChanges &changes, TimePoint now)
{
    for (objectstore::StoreFollower *follower : m_shared) {
        if (follower->collection() == changes.collection)
            follower->onShared(changes.after, changes.changes, now);
    }
}

void FleetFollower::onStoreLost()
{
    if (!m_relay.storeLostAt)
        m_relay.storeLostAt = TimePoint::clock::now();
}

/// The watches of the other collections wait longer than the one of the endpoints, so they may not
/// have noticed that the store was away.
void FleetFollower::onStoreBack()
{
    m_relay.storeLostAt.reset();
    const TimePoint now = TimePoint::clock::now();
    for (objectstore::StoreFollower *follower : {m_withdrawals, m_weights})
        follower->refresh();
    // While a publisher is active, its configuration is awaited within the freshness budget.
    if (m_configuration->isSharedLately(now))
        m_configuration->watchDeadline();
    else
        m_configuration->refresh();
}

protocol::StoreKnowledge FleetFollower::knowledge() const
{
    protocol::StoreKnowledge knowledge;
    knowledge.set_configuration_changed_at(m_configuration->changedAt());
    knowledge.set_withdrawals_changed_at(m_withdrawals->changedAt());
    knowledge.set_weights_changed_at(m_weights->changedAt());
    for (const domain::DataCentreId &dataCentre : m_relay.dispatcher.withdrawn())
        knowledge.add_withdrawn(dataCentre.value());
    const TimePoint now = TimePoint::clock::now();
    for (const auto &version : m_relay.dispatcher.weights().newestVersions())
        *knowledge.add_named() = routing::encodeNamedVersion(version, now);
    knowledge.set_is_store_answering(isComplete() && !m_relay.storeLostAt);
    return knowledge;
}

void FleetFollower::onHint(
        const protocol::StoreKnowledge &knowledge, const domain::SocketAddress &agent)
{
    const TimePoint now = TimePoint::clock::now();
    routing::WeightsRequirement &weights = m_relay.dispatcher.weights();
    // What the own copy covers, it decides.
    weights.onCovered(m_weights->knownRevision());
    const bool isNews = knowledge.weights_changed_at() > m_weights->knownRevision()
            && m_relay.dispatcher.isEndpointAt(agent);
    takePublishedWithdrawals(knowledge, agent);
    m_configuration->onHint(knowledge.configuration_changed_at(), now);
    m_withdrawals->onHint(knowledge.withdrawals_changed_at(), now);
    m_weights->onHint(knowledge.weights_changed_at(), now);
    for (const protocol::NamedWeights &named : knowledge.named()) {
        const routing::NamedVersion version = routing::decodeNamedVersion(named, now);
        if (!version.namedAt)
            continue;
        weights.onNamingTime(version.model, version.version, *version.namedAt);
        const bool isInForceNow
                = isNews && weights.onPublished(version, knowledge.weights_changed_at(), agent);
        if (isInForceNow) {
            logEvent(Severity::Info, "weights_published",
                    {{"model", version.model.value()}, {"version", version.version},
                            {"revision", knowledge.weights_changed_at()},
                            {"age_ms", named.age_ms()}});
        }
    }
}

void FleetFollower::takePublishedWithdrawals(
        const protocol::StoreKnowledge &knowledge, const domain::SocketAddress &agent)
{
    routing::PublishedWithdrawals &published = m_relay.dispatcher.publishedWithdrawals();
    published.onCovered(m_withdrawals->knownRevision());
    const bool isNews = knowledge.withdrawals_changed_at() > m_withdrawals->knownRevision()
            && m_relay.dispatcher.isEndpointAt(agent);
    if (isNews) {
        std::set<domain::DataCentreId> withdrawn;
        for (const std::string &dataCentre : knowledge.withdrawn())
            withdrawn.emplace(dataCentre);
        published.onPublished(knowledge.withdrawals_changed_at(), std::move(withdrawn), agent);
    }
    m_relay.dispatcher.setPublishedWithdrawn(published.inForce());
}

void FleetFollower::start()
{
    const auto onConfigObjects = [this](const ObjectList &objects) { onConfig(objects); };
    m_configuration = &share("configuration",
            {onConfigObjects, onConfigObjects, [this] { onStoreLost(); },
                    [this] { m_relay.storeLostAt.reset(); }},
            {});
    objectstore::StoreFollowerOptions endpointOptions;
    endpointOptions.changePause = m_drainBound / EndpointPausesPerDrainBound;
    objectstore::StoreFollower &endpoints = share("endpoints",
            {[this](const ObjectList &objects) { onEndpoints(objects, true); },
                    [this](const ObjectList &objects) { onEndpoints(objects, false); },
                    [this] { onStoreLost(); },
                    [this] {
                        m_relay.dispatcher.endpoints().onStoreBack(TimePoint::clock::now());
                        onStoreBack();
                    }},
            endpointOptions);
    m_configuration->keepLastList();
    m_withdrawals = &share("withdrawals",
            {[this](const ObjectList &objects) {
                 onWithdrawals(objects, true);
                 m_relay.dispatcher.publishedWithdrawals().onStoreRead();
             },
                    [this](const ObjectList &objects) { onWithdrawals(objects, false); }, {}, {}},
            {});
    m_weights = &share("weights",
            {[this](const ObjectList &objects) {
                 onWeights(objects, !m_hasWeights);
                 m_relay.dispatcher.weights().onStoreRead();
             },
                    [this](const ObjectList &objects) { onWeights(objects, false); }, {}, {}},
            {});
    // One of four finds out when the store answers again.
    for (objectstore::StoreFollower *follower : {m_configuration, m_withdrawals, m_weights})
        follower->setProbe(endpoints);
    // A changed configuration may be large: while a reader is heard, it is left to it for a while.
    m_configuration->setHeldBack(
            [&endpoints] { return endpoints.isSharedLately(TimePoint::clock::now()); });
}

void FleetFollower::onConfig(const ObjectList &objects)
{
    for (const StoredObject &object : objects.objects) {
        if (nameOf(object) != "main" || object.isDeleted)
            continue;
        auto config = platform::readServingConfig(object.value);
        if (!config) {
            logMalformed(object, config.error());
            continue;
        }
        const auto shared = std::make_shared<const routing::ServingConfig>(std::move(*config));
        const bool isTaken = m_relay.dispatcher.setConfig(shared);
        logEvent(Severity::Info, isTaken ? "config_in_force" : "config_older",
                {{"version", shared->version()}, {"revision", object.version.revision},
                        {"routes", shared->routes().size()}});
    }
}

void FleetFollower::onEndpoints(const ObjectList &objects, bool isWhole)
{
    const TimePoint now = TimePoint::clock::now();
    std::vector<routing::ListedEndpoint> listed;
    std::vector<routing::EndpointChange> changes;
    for (const StoredObject &object : objects.objects) {
        const std::string name = nameOf(object);
        if (object.isDeleted) {
            changes.push_back({domain::EndpointId(name), std::nullopt});
            logEvent(Severity::Info, "endpoint_removed",
                    {{"endpoint", name}, {"revision", object.version.revision}});
            continue;
        }
        auto endpoint = platform::readEndpoint(name, object.value, now);
        if (!endpoint) {
            // An entry of another writer names no endpoint to use.
            logMalformed(object, endpoint.error());
            changes.push_back({domain::EndpointId(name), std::nullopt});
            continue;
        }
        logEvent(Severity::Info, "endpoint_listed",
                {{"endpoint", name}, {"service", endpoint->service.value()},
                        {"address", endpoint->address.toString()},
                        {"draining", endpoint->isDraining ? 1 : 0},
                        {"cold", endpoint->coldUntil > now ? 1 : 0},
                        {"weights",
                                endpoint->weights.empty() ? 0 : endpoint->weights.begin()->second},
                        {"revision", object.version.revision}});
        changes.push_back({endpoint->id, *endpoint});
        listed.push_back(std::move(*endpoint));
    }
    if (isWhole)
        m_relay.dispatcher.endpoints().replaceAll(listed, now);
    else
        m_relay.dispatcher.endpoints().apply(changes, now);
    m_hasEndpoints = true;
}

void FleetFollower::onWithdrawals(const ObjectList &objects, bool isWhole)
{
    std::set<domain::DataCentreId> withdrawn;
    if (!isWhole)
        withdrawn = m_relay.dispatcher.withdrawn();
    for (const StoredObject &object : objects.objects) {
        const domain::DataCentreId dataCentre(nameOf(object));
        if (object.isDeleted)
            withdrawn.erase(dataCentre);
        else
            withdrawn.insert(dataCentre);
        logEvent(Severity::Info,
                object.isDeleted ? "data_centre_returned" : "data_centre_withdrawn",
                {{"data_centre", dataCentre.value()}, {"revision", object.version.revision}});
    }
    m_relay.dispatcher.setWithdrawn(std::move(withdrawn));
    m_hasWithdrawals = true;
}

void FleetFollower::onWeights(const ObjectList &objects, bool isAtStart)
{
    const TimePoint now = TimePoint::clock::now();
    for (const StoredObject &object : objects.objects) {
        if (object.isDeleted)
            continue;
        const auto named = platform::readNamedWeights(object.value);
        if (!named) {
            logMalformed(object, named.error());
            continue;
        }
        m_relay.dispatcher.weights().onNamed(named->model, named->number, isAtStart, now);
        logEvent(Severity::Info, "weights_named",
                {{"model", named->model.value()}, {"version", named->number},
                        {"revision", object.version.revision}, {"at_start", isAtStart ? 1 : 0}});
    }
    m_hasWeights = true;
    if (!isAtStart && m_onNamed)
        m_onNamed();
}

} // namespace oriolerill::relay::internal
