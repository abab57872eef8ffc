#include "relay/relayprocess.h"

#include "objectstore/collectionexchange.h"
#include "observability/buildrevision.h"
#include "observability/log.h"
#include "observability/metrics.h"
#include "observability/persistentloop.h"
#include "platform/fleetcodec.h"
#include "platform/fleetobjectstore.h"
#include "relay/internal/callerlistener.h"
#include "relay/internal/crashnotices.h"
#include "relay/internal/crashtrials.h"
#include "relay/internal/fleetsubscriber.h"
#include "relay/internal/loadlistener.h"
#include "relay/internal/plannedstop.h"
#include "settings/settingsloader.h"
#include "transport/httpserver.h"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/signal_set.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <google/protobuf/stubs/logging.h>

#include <csignal>
#include <filesystem>

namespace oriolerill::relay {

namespace asio = boost::asio;
using domain::Done;
using domain::Expected;
using domain::TimePoint;
using observability::logEvent;
using observability::Severity;

namespace {

constexpr auto UseTuple = asio::as_tuple(asio::use_awaitable);
/// The settings file may change without a signal.
constexpr auto FileCheckInterval = std::chrono::milliseconds(2000);

routing::DispatcherOptions dispatcherOptions(const settings::RelaySettings &settings)
{
    routing::DispatcherOptions options;
    options.entry = settings.id;
    options.dataCentre = settings.dataCentre;
    for (const auto &[dataCentre, region] : settings.regions)
        options.regions[domain::DataCentreId(dataCentre)] = domain::RegionId(region);
    options.retryRatio = settings.retryRatio;
    options.retryExtra = settings.retryExtra;
    options.retryWindowSeconds = settings.retryWindowSeconds;
    options.coldOverage = settings.coldOverage;
    options.coldSlack = settings.coldSlack;
    options.list.drainBound = settings.drainBound;
    options.list.contactTime = settings.contactTime;
    options.startPace.isEnabled = settings.isStartPaced;
    options.weights.bound = settings.weightsBound;
    options.weights.startedAt = TimePoint::clock::now();
    options.crashes.startedAt = options.weights.startedAt;
    options.seed = std::hash<std::string>{}(settings.id.value());
    return options;
}

} // namespace

class RelayProcess::Implementation
{
public:
    Implementation(settings::RelaySettings settings, std::string settingsFile)
        : m_settings(std::move(settings))
        , m_settingsFile(std::move(settingsFile))
        , m_dispatcher(dispatcherOptions(m_settings))
        , m_connections(m_context)
        , m_relay{m_dispatcher, m_connections, m_metrics}
        , m_store(m_context.get_executor(), m_settings.storeAddress)
        , m_fleet(m_context, m_store, m_relay,
                  internal::StoreBounds{
                          m_settings.configBound, m_settings.drainBound, m_settings.contactTime})
        , m_loadListener(m_context, m_dispatcher, m_fleet, m_settings.id, m_settings.dataCentre,
                  m_settings.listenLoad)
        , m_trials(m_context, m_store, m_dispatcher.crashes(), m_settings.id)
        , m_callers(m_context, m_relay, m_settings.maxConnections)
        , m_statusServer(m_context.get_executor(), {})
        , m_metricsServer(m_context.get_executor(), {})
        , m_entryServer(m_context.get_executor(), {})
        , m_collections(m_context.get_executor(),
                  [this](const std::string &collection) { return m_fleet.copyOf(collection); })
        , m_signals(m_context, SIGTERM, SIGINT, SIGHUP)
    {}

    Expected<Done> run()
    {
        // Malformed datagrams are already logged by their receivers, at a bounded rate.
        google::protobuf::SetLogHandler(nullptr);
        const auto keepRunning = [this](const char *name, auto loop) {
            observability::startPersistentLoop(m_context.get_executor(), name, std::move(loop));
        };
        if (auto opened = m_callers.open(m_settings.listenCaller); !opened)
            return opened;
        if (auto opened = m_loadListener.open(); !opened)
            return opened;
        const auto handler = [this](transport::HttpServerExchange &exchange) {
            return answerStatus(exchange);
        };
        if (auto started = m_statusServer.start(m_settings.listenStatus, handler); !started)
            return started.error();
        if (auto started = m_metricsServer.start(m_settings.listenMetrics, handler); !started)
            return started.error();
        m_fleet.onNamed([this] { m_loadListener.publishKnowledge(); });
        m_fleet.onProven([this] { m_loadListener.publishProof(); });
        m_fleet.onWatchedChanges([this](const internal::PublishedChanges &changes) {
            m_loadListener.publishUpdates(changes);
        });
        m_relay.onLeaving = [this] { m_loadListener.publishKnowledge(); };
        m_relay.onLimitRaised = [this](const routing::EndpointInstance &instance,
                                        std::optional<double> perSecond) {
            m_loadListener.publishRaisedLimit(instance, perSecond);
        };
        m_relay.onCrashNews = [this] { m_loadListener.publishCrashEvidence(); };
        m_relay.onTrialDue
                = [this](const routing::RefusedTraits &refused) { m_trials.request(refused); };
        m_loadListener.setEvidenceHandler([this](const protocol::CrashEvidence &evidence) {
            internal::applyEvidence(m_relay, evidence);
        });
        const auto answerCollection = [this](transport::HttpServerExchange &exchange) {
            return m_collections.answer(exchange);
        };
        if (auto started = m_entryServer.start(m_settings.listenLoad, answerCollection); !started)
            return started.error();
        m_fleet.start();
        m_fleet.setPeerFetch([this](std::string collection, TimePoint deadline) {
            return fetchCollection(std::move(collection), deadline);
        });
        keepRunning("callers", [this] { return m_callers.acceptAll(); });
        keepRunning("subscriptions", [this] { return m_loadListener.subscribe(); });
        keepRunning("update", [this] { return m_loadListener.publishUpdates(); });
        keepRunning("reports", [this] { return m_loadListener.receive(); });
        keepRunning("withdrawals", [this] { return m_relay.withdrawOverdueAttempts(); });
        keepRunning("evidence", [this] { return m_loadListener.repeatCrashEvidence(); });
        keepRunning("expiry", [this] { return internal::expireEvidence(m_relay); });
        keepRunning("signals", [this] { return handleSignals(); });
        keepRunning("settings", [this] { return watchSettings(); });
        logEvent(Severity::Info, "started",
                {{"version", ORIOLERILL_VERSION}, {"revision", observability::buildRevision()},
                        {"caller", m_settings.listenCaller.toString()},
                        {"store", m_settings.storeAddress.toString()}});
        observability::runUntilStopped(m_context);
        logEvent(Severity::Info, "stopped", {{"requests", m_relay.requestsInFlight.size()}});
        return Done{};
    }

private:
    asio::awaitable<void> answerStatus(transport::HttpServerExchange &exchange)
    {
        const std::string &target = exchange.request().target;
        transport::HttpResponse response;
        if (target == platform::readyTarget()) {
            const bool isReady = m_fleet.isComplete() && !m_relay.isStopping;
            response.status = isReady ? 200 : 503;
        } else if (target == "/metrics") {
            m_metrics.set("oriolerill_relay_requests_in_flight",
                    static_cast<double>(m_relay.requestsInFlight.size()));
            m_metrics.set("oriolerill_relay_body_bytes",
                    static_cast<double>(m_relay.requestBodies->held().count()));
            m_metrics.set("oriolerill_relay_answer_bytes",
                    static_cast<double>(m_relay.bufferedAnswers->held().count()));
            m_metrics.set("oriolerill_relay_caller_stream_bytes",
                    static_cast<double>(m_relay.callerStreams->held().count()));
            m_metrics.set(
                    "oriolerill_relay_streams_paused", static_cast<double>(m_relay.pausedStreams));
            m_metrics.set("oriolerill_relay_store_calls", static_cast<double>(m_store.callCount()));
            m_metrics.set("oriolerill_relay_endpoint_connects",
                    static_cast<double>(m_connections.connectCount()));
            m_relay.updateWeightsMetrics(TimePoint::clock::now());
            m_relay.updateRoutingMetrics(TimePoint::clock::now());
            response.fields.add("Content-Type", "text/plain; version=0.0.4");
            response.body = m_metrics.exposition();
        } else {
            response.status = 404;
        }
        co_await exchange.respond(std::move(response));
    }

    asio::awaitable<Expected<objectstore::ObjectList>> fetchCollection(
            std::string collection, TimePoint deadline)
    {
        const auto source = m_loadListener.nextSource(collection);
        if (!source) {
            co_return domain::Error{domain::ErrorKind::Unavailable,
                    "no publisher has sent a recent update, and no entry has a newer copy",
                    "the store is read instead"};
        }
        co_return co_await m_collections.fetch(*source, std::move(collection), deadline);
    }

    asio::awaitable<void> handleSignals()
    {
        for (;;) {
            auto [code, number] = co_await m_signals.async_wait(UseTuple);
            if (code)
                co_return;
            if (number == SIGHUP) {
                reload("signal");
                continue;
            }
            logEvent(Severity::Info, "stopping",
                    {{"signal", number}, {"requests", m_relay.requestsInFlight.size()}});
            co_await stop();
            co_return;
        }
    }

    asio::awaitable<void> stop()
    {
        const TimePoint begunAt = TimePoint::clock::now();
        const auto stopTime = std::chrono::duration_cast<domain::Duration>(
                std::chrono::duration<double>(m_settings.stopSeconds));
        internal::PlannedStop stop(m_relay, m_callers, begunAt, begunAt + stopTime);
        co_await stop.run();
        m_context.stop();
    }

    asio::awaitable<void> watchSettings()
    {
        asio::steady_timer timer(m_context);
        std::error_code code;
        auto last = std::filesystem::last_write_time(m_settingsFile, code);
        for (;;) {
            timer.expires_after(FileCheckInterval);
            co_await timer.async_wait(UseTuple);
            const auto now = std::filesystem::last_write_time(m_settingsFile, code);
            if (code || now == last)
                continue;
            last = now;
            reload("file");
        }
    }

    /// Applies the setting that can change at run time: the address of the store.
    void reload(const char *cause)
    {
        const auto loaded = settings::loadRelaySettings(m_settingsFile);
        for (const settings::SettingsProblem &problem : loaded.problems) {
            logEvent(Severity::Error, "settings_refused",
                    {{"problem", problem.message}, {"remedy", problem.remedy}});
        }
        if (!loaded.problems.empty())
            return;
        m_store.setAddress(loaded.settings.storeAddress);
        logEvent(Severity::Info, "settings_reloaded",
                {{"cause", cause}, {"store", loaded.settings.storeAddress.toString()}});
    }

    settings::RelaySettings m_settings;
    std::string m_settingsFile;
    asio::io_context m_context{1};
    observability::Metrics m_metrics;
    routing::Dispatcher m_dispatcher;
    internal::EndpointConnections m_connections;
    internal::RelayContext m_relay;
    platform::FleetObjectStore m_store;
    internal::FleetSubscriber m_fleet;
    internal::LoadListener m_loadListener;
    internal::CrashTrials m_trials;
    internal::CallerListener m_callers;
    transport::HttpServer m_statusServer;
    transport::HttpServer m_metricsServer;
    /// Serves collections to the other entries of the data centre, on the port of load reports.
    transport::HttpServer m_entryServer;
    objectstore::CollectionExchange m_collections;
    asio::signal_set m_signals;
};

RelayProcess::RelayProcess(settings::RelaySettings settings, std::string settingsFile)
    : m_implementation(
            std::make_unique<Implementation>(std::move(settings), std::move(settingsFile)))
{}

RelayProcess::~RelayProcess() = default;

Expected<Done> RelayProcess::run()
{
    return m_implementation->run();
}

} // namespace oriolerill::relay
