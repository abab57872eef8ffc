#include "relayagent/relayagentprocess.h"

#include "objectstore/collectionexchange.h"
#include "observability/buildrevision.h"
#include "observability/log.h"
#include "observability/metrics.h"
#include "observability/persistentloop.h"
#include "platform/fleetobjectstore.h"
#include "relayagent/internal/weightsupdater.h"
#include "settings/settingsloader.h"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/signal_set.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <google/protobuf/stubs/logging.h>

#include <csignal>

namespace oriolerill::relayagent {

namespace asio = boost::asio;
using domain::Done;
using domain::Expected;
using observability::logEvent;
using observability::Severity;

namespace {

constexpr auto UseTuple = asio::as_tuple(asio::use_awaitable);

rollout::SwitchSchedule schedule(const settings::RelayAgentSettings &settings)
{
    rollout::SwitchScheduleOptions options;
    options.bound = settings.weightsBound;
    return rollout::SwitchSchedule(options);
}

/// Wait after the start for reports from entries, which read the store first.
constexpr auto EntriesTimeout = std::chrono::milliseconds(2500);
constexpr auto EntriesCheckInterval = std::chrono::milliseconds(200);

/// Agents call the store only while no entry reports that it answers, and then all of them do. The
/// long delays keep their calls from overloading a store that recovers.
objectstore::StoreSubscriberOptions subscriberOptions()
{
    objectstore::StoreSubscriberOptions options;
    options.minRetryDelay = std::chrono::milliseconds(500);
    options.maxRetryDelay = std::chrono::milliseconds(3000);
    return options;
}

distribution::UploadPacer pacer(const settings::RelayAgentSettings &settings)
{
    constexpr double BytesPerSecondPerMbps = 1e6 / 8;
    distribution::UploadPacerOptions options;
    options.link = domain::BytesPerSecond(
            static_cast<std::uint64_t>(settings.linkMbps * BytesPerSecondPerMbps));
    return distribution::UploadPacer(options);
}

} // namespace

class RelayAgentProcess::Implementation
{
public:
    Implementation(settings::RelayAgentSettings settings, std::string settingsFile)
        : m_settings(std::move(settings))
        , m_settingsFile(std::move(settingsFile))
        , m_store(m_context.get_executor(), m_settings.storeAddress)
        , m_engine(m_context.get_executor(), m_settings.engineAddress)
        , m_reporter(m_context, m_engine, m_settings.dataCentre, m_settings.listenLoad)
        , m_memberStore(m_context.get_executor(), m_settings.storeAddress,
                  platform::Freshness::SecondsOld)
        , m_fleet(m_store, m_memberStore, m_settings.service, m_settings.engineAddress,
                  m_settings.dataCentre)
        , m_collections(m_context.get_executor())
        , m_updater(m_context, m_engine, m_reporter, m_fleet, m_metrics,
                  m_settings.listenPeers.port, schedule(m_settings), pacer(m_settings))
        , m_subscriber(m_context, m_store, "weights", sink(), subscriberOptions())
        , m_peerServer(m_context.get_executor(), {})
        , m_metricsServer(m_context.get_executor(), {})
        , m_signals(m_context, SIGTERM, SIGINT, SIGHUP)
    {}

    Expected<Done> run()
    {
        // Each malformed datagram is logged already, at a limited rate.
        google::protobuf::SetLogHandler(nullptr);
        const auto keepRunning = [this](const char *name, auto loop) {
            observability::startPersistentLoop(m_context.get_executor(), name, std::move(loop));
        };
        if (auto opened = m_reporter.open(); !opened)
            return opened;
        const auto answerPeer = [this](transport::HttpServerExchange &exchange) {
            return m_updater.exchange().answer(exchange);
        };
        if (auto started = m_peerServer.start(m_settings.listenPeers, answerPeer); !started)
            return started.error();
        const auto answerMetrics = [this](transport::HttpServerExchange &exchange) {
            return writeMetrics(exchange);
        };
        if (auto started = m_metricsServer.start(m_settings.listenMetrics, answerMetrics); !started)
            return started.error();
        m_fleet.setEntryCopy(
                [this](domain::TimePoint deadline) { return fetchEndpoints(deadline); });
        // While entries report the named versions, the agent needs no watch of its own.
        m_subscriber.setWatchCondition([this] {
            return !m_reporter.isStoreAnsweringEntries(domain::TimePoint::clock::now());
        });
        keepRunning("weights", [this] { return subscribeToWeights(); });
        keepRunning("datagrams", [this] { return m_reporter.receive(); });
        keepRunning("reports", [this] { return m_reporter.report(); });
        keepRunning("keeper", [this] { return m_updater.run(); });
        keepRunning("signals", [this] { return handleSignals(); });
        logEvent(Severity::Info, "started",
                {{"version", ORIOLERILL_VERSION}, {"revision", observability::buildRevision()},
                        {"engine", m_settings.engineAddress.toString()},
                        {"store", m_settings.storeAddress.toString()}});
        observability::runUntilStopped(m_context);
        logEvent(Severity::Info, "stopped");
        return Done{};
    }

private:
    objectstore::CollectionSink sink()
    {
        const auto onNamed
                = [this](const objectstore::ObjectList &objects) { m_updater.onNamed(objects); };
        return {onNamed, onNamed, {}, {}};
    }

    /// Subscribes to the named versions once no entry reports that the store answers it. Until
    /// then, also right after the start, the subscription makes no store calls.
    asio::awaitable<void> subscribeToWeights()
    {
        asio::steady_timer timer(m_context, EntriesTimeout);
        co_await timer.async_wait(UseTuple);
        while (m_reporter.isStoreAnsweringEntries(domain::TimePoint::clock::now())) {
            timer.expires_after(EntriesCheckInterval);
            co_await timer.async_wait(UseTuple);
        }
        co_await m_subscriber.run();
    }

    asio::awaitable<Expected<objectstore::ObjectList>> fetchEndpoints(domain::TimePoint deadline)
    {
        const auto entry = m_reporter.nextEntry(domain::TimePoint::clock::now());
        if (!entry) {
            co_return domain::Error{domain::ErrorKind::Unavailable,
                    "no entry of the data centre has subscribed recently",
                    "the store is read instead"};
        }
        co_return co_await m_collections.fetch(*entry, "endpoints", deadline);
    }

    asio::awaitable<void> writeMetrics(transport::HttpServerExchange &exchange)
    {
        m_metrics.set("oriolerill_agent_store_calls", static_cast<double>(m_store.callCount()));
        transport::HttpResponse response;
        response.fields.add("Content-Type", "text/plain; version=0.0.4");
        response.body = m_metrics.exposition();
        co_await exchange.respond(std::move(response));
    }

    asio::awaitable<void> handleSignals()
    {
        for (;;) {
            auto [code, number] = co_await m_signals.async_wait(UseTuple);
            if (code)
                co_return;
            if (number == SIGHUP) {
                reload();
                continue;
            }
            // There is no state to save: peers fetch from other agents, and the engine keeps
            // running.
            logEvent(Severity::Info, "stopping", {{"signal", number}});
            m_context.stop();
            co_return;
        }
    }

    void reload()
    {
        const auto loaded = settings::loadRelayAgentSettings(m_settingsFile);
        for (const settings::SettingsProblem &problem : loaded.problems) {
            logEvent(Severity::Error, "settings_refused",
                    {{"problem", problem.message}, {"remedy", problem.remedy}});
        }
        if (!loaded.problems.empty())
            return;
        m_store.setAddress(loaded.settings.storeAddress);
        m_memberStore.setAddress(loaded.settings.storeAddress);
        logEvent(Severity::Info, "settings_reloaded",
                {{"store", loaded.settings.storeAddress.toString()}});
    }

    settings::RelayAgentSettings m_settings;
    std::string m_settingsFile;
    asio::io_context m_context{1};
    observability::Metrics m_metrics;
    platform::FleetObjectStore m_store;
    /// For reads that may return data some seconds old.
    platform::FleetObjectStore m_memberStore;
    internal::EngineClient m_engine;
    internal::LoadReporter m_reporter;
    internal::FleetView m_fleet;
    objectstore::CollectionExchange m_collections;
    internal::WeightsUpdater m_updater;
    objectstore::StoreSubscriber m_subscriber;
    transport::HttpServer m_peerServer;
    transport::HttpServer m_metricsServer;
    asio::signal_set m_signals;
};

RelayAgentProcess::RelayAgentProcess(
        settings::RelayAgentSettings settings, std::string settingsFile)
    : m_implementation(
            std::make_unique<Implementation>(std::move(settings), std::move(settingsFile)))
{}

RelayAgentProcess::~RelayAgentProcess() = default;

Expected<Done> RelayAgentProcess::run()
{
    return m_implementation->run();
}

} // namespace oriolerill::relayagent
