#include "relay/internal/fleetsubscriber.h"

#include "config/versiontext.h"
#include "observability/log.h"
#include "observability/persistentloop.h"
#include "platform/fleetcodec.h"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <algorithm>
#include <set>
#include <utility>

namespace oriolerill::relay::internal {

namespace asio = boost::asio;
using domain::ConfigVersion;
using domain::TimePoint;
using objectstore::ObjectList;
using objectstore::StoredObject;
using observability::logEvent;
using observability::Severity;

namespace {

/// Changes of endpoints come in bursts; those within the delay cost one call of the store. The
/// delay is the bound for a leaving endpoint divided by this.
constexpr int CoalescingDelaysPerDrainBound = 5;

/// For a watch whose history was pruned and the list after it, at 250 ms each: sixty times the 4 ms
/// that the store states for a call.
constexpr auto ReadAllowance = std::chrono::milliseconds(500);
/// For small collections: the smallest bound of the operators' sites, 2 s, less the time of a read.
constexpr auto SmallCollectionBudget = std::chrono::milliseconds(1500);
/// Between probes while the store does not answer; a probe is a few hundred bytes.
constexpr auto MaxProbeDelay = std::chrono::milliseconds(300);
/// Answer timeouts of small collections: several times the answer time of a store fifty times
/// slower than its stated 4 ms. They leave time for a second call within the contact time of the
/// operators' smaller sites, if an answer is lost.
constexpr auto SmallAnswerTimeout = std::chrono::milliseconds(700);
constexpr auto SmallListTimeout = std::chrono::milliseconds(1000);
/// Part of the bound until the first byte of a list of a large collection must have arrived.
constexpr double ListShareOfBound = 0.375;
/// The same for the changes since a version. A read whose answer is lost must be noticed before the
/// copy is overdue.
constexpr double AnswerShareOfBound = 0.25;
/// Part of the bound over which the reads of all entries are staggered; the remainder is for
/// detecting that the copy is possibly stale and for the read.
constexpr double StaggerShareOfBound = 0.6;
/// Part of the bound between two proofs of a publisher's copy of a large collection; the first
/// ranks that are no publishers read the store after 0.45 of it.
constexpr double ProofShareOfBound = 0.4;
/// Between two proofs of a small collection, whose changes have bounds of 5 s and more.
constexpr auto SmallCollectionProofInterval = std::chrono::milliseconds(2000);
/// Part of the bound after which a copy that is known to lack a change is overdue; the remainder is
/// for a request that was sent before.
constexpr double OverdueShareOfBound = 0.9;
/// Publishers of a data centre: two, so that updates continue when one is killed, frozen or cut off
/// from the store.
constexpr std::uint32_t Publishers = 2;

domain::Duration smallerBound(const StoreBounds &bounds)
{
    return std::min(bounds.configuration, bounds.drain);
}

domain::Duration shareOf(domain::Duration bound, double share)
{
    return std::chrono::duration_cast<domain::Duration>(bound * share);
}

objectstore::ReadStagger staggerFor(const StoreBounds &bounds)
{
    return {Publishers, shareOf(smallerBound(bounds), StaggerShareOfBound)};
}

std::string nameOf(const StoredObject &object)
{
    return object.key.substr(object.key.find('/') + 1);
}

void logMalformed(const StoredObject &object, const domain::Error &error)
{
    logEvent(Severity::Warning, "object_malformed",
            {{"object", object.key}, {"era", object.version.epoch},
                    {"revision", object.version.revision}, {"error", error.message},
                    {"remedy", error.remedy}});
}

} // namespace

FleetSubscriber::FleetSubscriber(asio::io_context &context, objectstore::IObjectStore &store,
        RelayContext &relay, const StoreBounds &bounds)
    : m_context(context)
    , m_store(store)
    , m_relay(relay)
    , m_bounds(bounds)
    , m_readStagger(staggerFor(bounds))
{}

bool FleetSubscriber::isComplete() const
{
    return m_relay.dispatcher.config() != nullptr && m_hasEndpoints && m_hasWithdrawals
            && m_hasWeights;
}

objectstore::StoreSubscriber &FleetSubscriber::subscribe(const char *collection,
        objectstore::CollectionSink sink, objectstore::StoreSubscriberOptions options)
{
    m_subscribers.push_back(std::make_unique<objectstore::StoreSubscriber>(
            m_context, m_store, collection, std::move(sink), options));
    observability::startPersistentLoop(m_context.get_executor(), collection,
            [subscriber = m_subscribers.back().get()] { return subscriber->run(); });
    return *m_subscribers.back();
}

objectstore::StoreSubscriber &FleetSubscriber::subscribePublished(const char *collection,
        objectstore::CollectionSink sink, objectstore::StoreSubscriberOptions options)
{
    sink.onWatchedChanges = [this, collection](ConfigVersion after, const ObjectList &changes) {
        if (m_onWatchedChanges)
            m_onWatchedChanges({collection, after, changes, false, provenAtOf(collection)});
    };
    sink.onEraChanged = [this, collection] { onEraChanged(collection); };
    sink.onStoreVersion = [this](ConfigVersion version, TimePoint provenAt) {
        onStoreVersion(version, provenAt);
    };
    // Failed calls for the withdrawals do not count as a loss of the store.
    if (sink.onStoreLost)
        sink.onCallFailed = [this](TimePoint sentAt) { onCallFailed(sentAt); };
    m_published.push_back(&subscribe(collection, std::move(sink), options));
    return *m_published.back();
}

void FleetSubscriber::onStoreVersion(ConfigVersion version, TimePoint provenAt)
{
    m_storeEra = std::max(m_storeEra, version.epoch);
    retainAfterOutage();
    m_outages.onAnswered(provenAt);
    for (objectstore::StoreSubscriber *subscriber : m_published)
        subscriber->onStoreVersion(version, provenAt);
    recordWeightsProof();
    if (m_onProven)
        m_onProven();
}

/// At each proof, so that a later suspension of the VM moves it earlier.
void FleetSubscriber::recordWeightsProof()
{
    if (m_hasWeights && m_weights->provenAt() != TimePoint())
        m_relay.dispatcher.weights().onCopyProven(m_weights->provenAt());
}

std::optional<TimePoint> FleetSubscriber::provenAtOf(const std::string &collection) const
{
    for (const objectstore::StoreSubscriber *subscriber : m_published) {
        if (subscriber->collection() == collection)
            return subscriber->provenAt();
    }
    return std::nullopt;
}

asio::awaitable<void> FleetSubscriber::proveCopies()
{
    constexpr auto PublisherCheckInterval = std::chrono::milliseconds(50);
    constexpr auto CheckInterval = std::chrono::milliseconds(400);
    const domain::Duration publisherAge = shareOf(smallerBound(m_bounds), ProofShareOfBound);
    asio::steady_timer timer(m_context);
    for (;;) {
        const TimePoint now = TimePoint::clock::now();
        // A subscriber's watch can still be waiting from the time before its rank was known.
        const domain::Duration age
                = m_readStagger.isPublisher() ? publisherAge : m_readStagger.delay();
        if (m_readStagger.hasSubscribers()) {
            for (objectstore::StoreSubscriber *subscriber : {m_configuration, m_endpoints})
                subscriber->proveIfOlderThan(age, now);
        }
        if (m_readStagger.hasSubscribers() && m_readStagger.isPublisher()) {
            for (objectstore::StoreSubscriber *subscriber : {m_withdrawals, m_weights})
                subscriber->proveIfOlderThan(SmallCollectionProofInterval, now);
        }
        timer.expires_after(m_readStagger.isPublisher() ? PublisherCheckInterval : CheckInterval);
        co_await timer.async_wait(asio::as_tuple(asio::use_awaitable));
    }
}

bool FleetSubscriber::isOverdue(TimePoint now) const
{
    return m_configuration->isOverdue(now) || m_endpoints->isOverdue(now);
}

std::vector<PublishedChanges> FleetSubscriber::confirmedVersions(TimePoint now) const
{
    std::vector<PublishedChanges> confirmed;
    for (const objectstore::StoreSubscriber *subscriber : m_published) {
        if (const auto proven = subscriber->confirmedVersion(now))
            confirmed.push_back({subscriber->collection(), subscriber->lastChangeVersion(),
                    {{}, proven->version}, false, proven->provenAt});
    }
    return confirmed;
}

void FleetSubscriber::onPublisherStoreLoss(TimePoint now)
{
    for (objectstore::StoreSubscriber *subscriber : m_published)
        subscriber->onPublisherStoreLoss(now);
}

void FleetSubscriber::setPeerFetch(const PeerFetch &fetch)
{
    for (objectstore::StoreSubscriber *subscriber : {m_configuration, m_endpoints}) {
        subscriber->setPeerFetch(
                [fetch, collection = subscriber->collection()](
                        TimePoint deadline) { return fetch(collection, deadline); });
    }
}

const ObjectList *FleetSubscriber::copyOf(const std::string &collection) const
{
    for (const objectstore::StoreSubscriber *subscriber : {m_configuration, m_endpoints}) {
        if (subscriber != nullptr && subscriber->collection() == collection)
            return &subscriber->collectionCopy();
    }
    return nullptr;
}

ConfigVersion FleetSubscriber::lastChangeOf(const std::string &collection) const
{
    for (const objectstore::StoreSubscriber *subscriber : {m_configuration, m_endpoints}) {
        if (subscriber->collection() == collection)
            return subscriber->lastChangeVersion();
    }
    return {};
}

void FleetSubscriber::onPublishedChanges(const PublishedChanges &changes, TimePoint now)
{
    if (changes.provenAt && m_outages.hasFailedBefore(*changes.provenAt))
        retainAfterOutage();
    if (changes.provenAt)
        m_outages.onAnswered(*changes.provenAt);
    for (objectstore::StoreSubscriber *subscriber : m_published) {
        if (subscriber->collection() == changes.collection)
            subscriber->onPublishedChanges(
                    changes.after, changes.changes, now, changes.isOmitted, changes.provenAt);
    }
    recordWeightsProof();
}

void FleetSubscriber::onCallFailed(TimePoint sentAt)
{
    m_outages.onFailed(sentAt);
}

void FleetSubscriber::onStoreLost()
{
    if (!m_relay.storeLostAt)
        m_relay.storeLostAt = TimePoint::clock::now();
}

/// Waiting watches may not have noticed that the store was unreachable. The small collections are
/// read at once, the large ones staggered.
void FleetSubscriber::onStoreBack()
{
    onCollectionBack();
    for (objectstore::StoreSubscriber *subscriber :
            {m_withdrawals, m_weights, m_configuration, m_endpoints})
        subscriber->refresh();
}

/// Short interruptions retain nothing: no record can have expired, and a removal since the last
/// answer may have been acknowledged while the store was stable.
void FleetSubscriber::retainAfterOutage()
{
    const TimePoint now = TimePoint::clock::now();
    const auto unreachableAt = m_outages.takeOutage(now);
    if (!unreachableAt)
        return;
    m_relay.dispatcher.endpoints().onStoreBack(now, *unreachableAt);
    logEvent(Severity::Info, "endpoints_retained_after_outage",
            {{"last_failed_call_ms",
                    std::chrono::duration_cast<std::chrono::milliseconds>(now - *unreachableAt)
                            .count()}});
}

/// The store counts as lost until no collection is failing: until then, routes that this entry does
/// not know may have been added.
void FleetSubscriber::onCollectionBack()
{
    const bool isFailing = std::any_of(m_subscribers.begin(), m_subscribers.end(),
            [](const auto &subscriber) { return subscriber->isFailing(); });
    if (isFailing)
        return;
    m_relay.storeLostAt.reset();
}

protocol::StoreKnowledge FleetSubscriber::knowledge() const
{
    protocol::StoreKnowledge knowledge;
    config::toProtocol(
            m_configuration->lastChangeVersion(), knowledge.mutable_configuration_changed_at());
    config::toProtocol(
            m_withdrawals->lastChangeVersion(), knowledge.mutable_withdrawals_changed_at());
    config::toProtocol(m_weights->lastChangeVersion(), knowledge.mutable_weights_changed_at());
    config::toProtocol(m_endpoints->lastChangeVersion(), knowledge.mutable_endpoints_changed_at());
    for (const domain::DataCentreId &dataCentre : m_withdrawalList.listed())
        knowledge.add_withdrawn(dataCentre.value());
    const TimePoint now = TimePoint::clock::now();
    for (const auto &version : m_relay.dispatcher.weights().newestVersions())
        *knowledge.add_named() = routing::encodeNamedVersion(version, now);
    knowledge.set_is_store_answering(isComplete() && !m_relay.storeLostAt);
    return knowledge;
}

void FleetSubscriber::onPeerKnowledge(
        const protocol::StoreKnowledge &knowledge, const domain::SocketAddress &agent)
{
    const TimePoint now = TimePoint::clock::now();
    routing::WeightsRequirement &weights = m_relay.dispatcher.weights();
    const ConfigVersion weightsChangedAt = config::fromProtocol(knowledge.weights_changed_at());
    // The local copy overrides publications up to its version.
    weights.onCovered(m_weights->appliedVersion());
    const bool isNewer = weightsChangedAt > m_weights->appliedVersion()
            && m_relay.dispatcher.isEndpointAt(agent);
    applyPublishedWithdrawals(knowledge, agent);
    m_configuration->onPeerVersion(config::fromProtocol(knowledge.configuration_changed_at()), now);
    m_withdrawals->onPeerVersion(config::fromProtocol(knowledge.withdrawals_changed_at()), now);
    m_weights->onPeerVersion(weightsChangedAt, now);
    for (const protocol::NamedWeights &named : knowledge.named()) {
        const routing::NamedVersion version = routing::decodeNamedVersion(named, now);
        if (version.namedAt)
            weights.onNamingTime(version.model, version.version, *version.namedAt);
        const bool isInForceNow
                = isNewer && weights.onPublished(version, weightsChangedAt, agent, now);
        if (isInForceNow) {
            // After a restart of all processes nobody has the time of the naming.
            const std::string age = named.has_age_ms() ? std::to_string(named.age_ms()) : "unknown";
            logEvent(Severity::Info, "weights_published",
                    {{"model", version.model.value()}, {"version", version.version},
                            {"era", weightsChangedAt.epoch},
                            {"revision", weightsChangedAt.revision}, {"age_ms", age}});
        }
    }
}

void FleetSubscriber::applyPublishedWithdrawals(
        const protocol::StoreKnowledge &knowledge, const domain::SocketAddress &agent)
{
    routing::PublishedWithdrawals &published = m_relay.dispatcher.publishedWithdrawals();
    const ConfigVersion changedAt = config::fromProtocol(knowledge.withdrawals_changed_at());
    published.onCovered(m_withdrawals->appliedVersion());
    const bool isNewer
            = changedAt > m_withdrawals->appliedVersion() && m_relay.dispatcher.isEndpointAt(agent);
    if (isNewer) {
        std::set<domain::DataCentreId> withdrawn;
        for (const std::string &dataCentre : knowledge.withdrawn())
            withdrawn.emplace(dataCentre);
        published.onPublished(changedAt, std::move(withdrawn), agent);
    }
    m_relay.dispatcher.setPublishedWithdrawn(published.inForce());
}

void FleetSubscriber::start()
{
    objectstore::StoreSubscriberOptions configurationOptions;
    configurationOptions.freshnessBudget = smallerBound(m_bounds) - ReadAllowance;
    configurationOptions.maxBehindTime = shareOf(m_bounds.configuration, OverdueShareOfBound);
    configurationOptions.maxUnprovenTime = shareOf(m_bounds.contact, OverdueShareOfBound);
    configurationOptions.answerTimeout = shareOf(smallerBound(m_bounds), AnswerShareOfBound);
    configurationOptions.listTimeout = shareOf(smallerBound(m_bounds), ListShareOfBound);
    const auto onConfigObjects = [this](const ObjectList &objects) { onConfig(objects); };
    m_configuration = &subscribePublished("configuration",
            {onConfigObjects, onConfigObjects, [this] { onStoreLost(); },
                    [this] { onCollectionBack(); }},
            configurationOptions);
    objectstore::StoreSubscriberOptions endpointOptions;
    endpointOptions.coalescingDelay = m_bounds.drain / CoalescingDelaysPerDrainBound;
    endpointOptions.freshnessBudget = smallerBound(m_bounds) - ReadAllowance;
    endpointOptions.answerTimeout = configurationOptions.answerTimeout;
    endpointOptions.listTimeout = configurationOptions.listTimeout;
    endpointOptions.maxBehindTime = shareOf(m_bounds.drain, OverdueShareOfBound);
    endpointOptions.maxUnprovenTime = shareOf(m_bounds.contact, OverdueShareOfBound);
    m_endpoints = &subscribePublished("endpoints",
            {[this](const ObjectList &objects) { onEndpoints(objects, true); },
                    [this](const ObjectList &objects) { onEndpoints(objects, false); },
                    [this] { onStoreLost(); }, [this] { onStoreBack(); }},
            endpointOptions);
    for (objectstore::StoreSubscriber *subscriber : {m_configuration, m_endpoints}) {
        subscriber->keepCollectionCopy();
        subscriber->setReadStagger(m_readStagger);
    }
    objectstore::StoreSubscriberOptions smallOptions;
    smallOptions.freshnessBudget = SmallCollectionBudget;
    smallOptions.answerTimeout = SmallAnswerTimeout;
    smallOptions.listTimeout = SmallListTimeout;
    objectstore::StoreSubscriberOptions probeOptions = smallOptions;
    probeOptions.maxRetryDelay = MaxProbeDelay;
    m_withdrawals = &subscribePublished("withdrawals",
            {[this](const ObjectList &objects) {
                 onWithdrawals(objects, true);
                 m_relay.dispatcher.publishedWithdrawals().onStoreRead();
             },
                    [this](const ObjectList &objects) { onWithdrawals(objects, false); }, {},
                    [this] { onCollectionBack(); }},
            smallOptions);
    m_weights = &subscribePublished("weights",
            {[this](const ObjectList &objects) {
                 onWeights(objects, !m_hasWeights);
                 m_relay.dispatcher.weights().onStoreRead();
             },
                    [this](const ObjectList &objects) { onWeights(objects, false); },
                    [this] { onStoreLost(); }, [this] { onStoreBack(); }},
            probeOptions);
    m_relay.isConfigurationBehind = [this] {
        return m_configuration->isBehind() || m_configuration->appliedVersion().epoch < m_storeEra
                || m_configuration->isUnconfirmed(TimePoint::clock::now());
    };
    m_relay.isCopyOverdue = [this] { return isOverdue(TimePoint::clock::now()); };
    observability::startPersistentLoop(
            m_context.get_executor(), "proofs", [this] { return proveCopies(); });
    // Only the smallest collection probes whether the store answers again: simultaneous probes of
    // all entries must not fill the links between regions.
    for (objectstore::StoreSubscriber *subscriber : {m_configuration, m_withdrawals, m_endpoints})
        subscriber->setProbe(*m_weights);
}

void FleetSubscriber::onConfig(const ObjectList &objects)
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
        const bool isApplied = m_relay.dispatcher.setConfig(shared);
        logEvent(Severity::Info, isApplied ? "config_in_force" : "config_older",
                {{"version", shared->version()}, {"era", object.version.epoch},
                        {"revision", object.version.revision},
                        {"routes", shared->routes().size()}});
    }
}

void FleetSubscriber::onEndpoints(const ObjectList &objects, bool isFullList)
{
    retainAfterOutage();
    const TimePoint now = TimePoint::clock::now();
    std::vector<routing::ListedEndpoint> listed;
    std::vector<routing::EndpointChange> changes;
    for (const StoredObject &object : objects.objects) {
        const std::string name = nameOf(object);
        if (object.isDeleted) {
            changes.push_back({domain::EndpointId(name), std::nullopt});
            continue;
        }
        auto endpoint = platform::readEndpoint(name, object.value, now);
        if (!endpoint) {
            // A malformed object of another writer describes no usable endpoint.
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
                        {"era", object.version.epoch}, {"revision", object.version.revision}});
        changes.push_back({endpoint->id, *endpoint});
        listed.push_back(std::move(*endpoint));
    }
    routing::EndpointList &endpoints = m_relay.dispatcher.endpoints();
    const TimePoint madeAfter = m_endpoints->changeOrigin().madeAfter;
    logRemovals(isFullList ? endpoints.replaceAll(listed, now, madeAfter)
                           : endpoints.apply(changes, now, madeAfter),
            objects.storeVersion, now);
    m_hasEndpoints = true;
}

void FleetSubscriber::logRemovals(const std::vector<routing::EndpointRemoval> &removals,
        ConfigVersion version, TimePoint now) const
{
    const auto milliseconds = [](domain::Duration time) {
        return std::chrono::duration_cast<std::chrono::milliseconds>(time).count();
    };
    const objectstore::ChangeOrigin &origin = m_endpoints->changeOrigin();
    for (const routing::EndpointRemoval &removal : removals) {
        logEvent(Severity::Info, "endpoint_removed",
                {{"endpoint", removal.id.value()}, {"era", version.epoch},
                        {"revision", version.revision}, {"source", origin.source},
                        {"max_age_ms", milliseconds(now - origin.madeAfter)},
                        {"retained_ms", milliseconds(removal.retainedUntil.value_or(now) - now)}});
    }
}

void FleetSubscriber::onWithdrawals(const ObjectList &objects, bool isFullList)
{
    const TimePoint now = TimePoint::clock::now();
    std::set<domain::DataCentreId> listed;
    for (const StoredObject &object : objects.objects) {
        const domain::DataCentreId dataCentre(nameOf(object));
        if (object.isDeleted)
            m_withdrawalList.onReturned(dataCentre);
        else if (isFullList)
            listed.insert(dataCentre);
        else
            m_withdrawalList.onWithdrawn(dataCentre);
        logEvent(Severity::Info,
                object.isDeleted ? "data_centre_returned" : "data_centre_withdrawn",
                {{"data_centre", dataCentre.value()}, {"era", object.version.epoch},
                        {"revision", object.version.revision}});
    }
    if (isFullList)
        m_withdrawalList.replaceAll(std::move(listed), now);
    applyWithdrawals(now);
    if (const TimePoint until = m_withdrawalList.retainedUntil(); until > now)
        asio::co_spawn(m_context, applyWithdrawalsAt(until), asio::detached);
    m_hasWithdrawals = true;
}

void FleetSubscriber::applyWithdrawals(TimePoint now)
{
    std::set<domain::DataCentreId> inForce = m_withdrawalList.inForce(now);
    for (const domain::DataCentreId &dataCentre : inForce) {
        if (m_withdrawalList.listed().count(dataCentre) == 0)
            logEvent(Severity::Info, "withdrawal_retained", {{"data_centre", dataCentre.value()}});
    }
    m_relay.dispatcher.setWithdrawn(std::move(inForce));
}

asio::awaitable<void> FleetSubscriber::applyWithdrawalsAt(TimePoint time)
{
    asio::steady_timer timer(m_context, time);
    co_await timer.async_wait(asio::as_tuple(asio::use_awaitable));
    applyWithdrawals(TimePoint::clock::now());
}

void FleetSubscriber::onEraChanged(const std::string &collection)
{
    const TimePoint now = TimePoint::clock::now();
    if (collection == m_endpoints->collection())
        m_relay.dispatcher.endpoints().onEraChanged(now, m_endpoints->changeOrigin().madeAfter);
    if (collection == m_withdrawals->collection())
        m_withdrawalList.onEraChanged(now);
}

void FleetSubscriber::onWeights(const ObjectList &objects, bool isAtStart)
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
                        {"era", object.version.epoch}, {"revision", object.version.revision},
                        {"at_start", isAtStart ? 1 : 0}});
    }
    m_hasWeights = true;
    if (!isAtStart && m_onNamed)
        m_onNamed();
}

} // namespace oriolerill::relay::internal
