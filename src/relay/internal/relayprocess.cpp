#include "relay/relayprocess.h"

#include "observability/log.h"
#include "observability/metrics.h"
#include "platform/fleetcodec.h"
#include "platform/fleetobjectstore.h"
#include "relay/internal/callersession.h"
#include "relay/internal/fleetfollower.h"
#include "relay/internal/loadlistener.h"
#include "settings/settingsloader.h"
#include "transport/httpserver.h"
#include "transport/silentpeer.h"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/signal_set.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <csignal>
#include <filesystem>
#include <set>

namespace oriolerill::relay {

namespace asio = boost::asio;
using asio::ip::tcp;
using domain::Done;
using domain::Error;
using domain::ErrorKind;
using domain::Expected;
using domain::TimePoint;
using observability::logEvent;
using observability::Severity;

namespace {

constexpr auto UseTuple = asio::as_tuple(asio::use_awaitable);
/// A caller that acknowledges nothing for this long has gone.
constexpr auto CallerSilence = std::chrono::milliseconds(10000);
constexpr auto AcceptRetryPause = std::chrono::milliseconds(20);
/// The load balancer asks each second and takes an entry out after two misses; until then new
/// connections still arrive. What is taken later could not be ended in the time until SIGKILL.
constexpr auto RotationTime = std::chrono::milliseconds(2600);
/// Kept back of the time until SIGKILL, for the end of the process itself.
constexpr auto StopMargin = std::chrono::milliseconds(500);
constexpr auto StopCheckInterval = std::chrono::milliseconds(100);
/// The settings file may change without a signal.
constexpr auto FileCheckInterval = std::chrono::milliseconds(2000);

routing::DispatcherOptions dispatcherOptions(const settings::RelaySettings &settings)
{
    routing::DispatcherOptions options;
    options.dataCentre = settings.dataCentre;
    for (const auto &[dataCentre, region] : settings.regions)
        options.regions[domain::DataCentreId(dataCentre)] = domain::RegionId(region);
    options.retryRatio = settings.retryRatio;
    options.retryExtra = settings.retryExtra;
    options.retryWindowSeconds = settings.retryWindowSeconds;
    options.coldOverage = settings.coldOverage;
    options.coldSlack = settings.coldSlack;
    options.weights.bound = settings.weightsBound;
    options.seed = std::hash<std::string>{}(settings.id.value());
    return options;
}

Error cannotListen(const domain::SocketAddress &address, const std::string &reason)
{
    return {ErrorKind::Unavailable, "cannot listen on " + address.toString() + ": " + reason,
            "choose a free address of this machine in the settings"};
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
        , m_follower(m_context, m_store, m_relay, m_settings.drainBound)
        , m_load(m_context, m_dispatcher, m_follower, m_settings.id, m_settings.dataCentre,
                  m_settings.listenLoad)
        , m_acceptor(m_context)
        , m_statusServer(m_context.get_executor(), {})
        , m_metricsServer(m_context.get_executor(), {})
        , m_signals(m_context, SIGTERM, SIGINT, SIGHUP)
    {}

    Expected<Done> run()
    {
        if (auto opened = openCallerListener(); !opened)
            return opened;
        if (auto opened = m_load.open(); !opened)
            return opened;
        const auto handler = [this](transport::HttpServerExchange &exchange) {
            return answerStatus(exchange);
        };
        if (auto started = m_statusServer.start(m_settings.listenStatus, handler); !started)
            return started.error();
        if (auto started = m_metricsServer.start(m_settings.listenMetrics, handler); !started)
            return started.error();
        m_follower.onNamed([this] { m_load.tellNamed(); });
        m_follower.start();
        asio::co_spawn(m_context, acceptLoop(), asio::detached);
        asio::co_spawn(m_context, m_load.subscribe(), asio::detached);
        asio::co_spawn(m_context, m_load.receive(), asio::detached);
        asio::co_spawn(m_context, handleSignals(), asio::detached);
        asio::co_spawn(m_context, watchSettings(), asio::detached);
        logEvent(Severity::Info, "started",
                {{"version", ORIOLERILL_VERSION}, {"caller", m_settings.listenCaller.toString()},
                        {"store", m_settings.storeAddress.toString()}});
        m_context.run();
        logEvent(Severity::Info, "stopped", {{"requests", m_relay.requestsInFlight}});
        return Done{};
    }

private:
    Expected<Done> openCallerListener()
    {
        boost::system::error_code code;
        const auto host = asio::ip::make_address_v4(m_settings.listenCaller.host, code);
        if (!code)
            m_acceptor.open(tcp::v4(), code);
        if (!code)
            m_acceptor.set_option(asio::socket_base::reuse_address(true), code);
        if (!code)
            m_acceptor.bind({host, m_settings.listenCaller.port}, code);
        if (!code)
            m_acceptor.listen(asio::socket_base::max_listen_connections, code);
        if (code)
            return cannotListen(m_settings.listenCaller, code.message());
        return Done{};
    }

    asio::awaitable<void> acceptLoop()
    {
        for (;;) {
            tcp::socket socket(m_context);
            auto [code] = co_await m_acceptor.async_accept(socket, UseTuple);
            if (code == asio::error::operation_aborted)
                co_return;
            if (code) {
                // Out of descriptors, for example; a pause keeps the loop from spinning.
                logEvent(Severity::Warning, "accept_failed",
                        {{"error", code.message()}, {"remedy", "raise the descriptor limit"}});
                asio::steady_timer timer(m_context, AcceptRetryPause);
                co_await timer.async_wait(UseTuple);
                continue;
            }
            if (m_sessions.size() >= m_settings.maxConnections) {
                m_metrics.increment("oriolerill_relay_connections_refused_total");
                continue;
            }
            socket.set_option(tcp::no_delay(true), code);
            transport::detectSilence(socket, CallerSilence);
            auto session = std::make_shared<internal::CallerSession>(m_relay, std::move(socket));
            m_sessions.insert(session);
            asio::co_spawn(m_context, session->run(),
                    [this, session](const std::exception_ptr &) { m_sessions.erase(session); });
        }
    }

    asio::awaitable<void> answerStatus(transport::HttpServerExchange &exchange)
    {
        const std::string &target = exchange.request().target;
        transport::HttpResponse response;
        if (target == platform::readyTarget()) {
            const bool isReady = m_follower.isComplete() && !m_relay.isStopping;
            response.status = isReady ? 200 : 503;
        } else if (target == "/metrics") {
            m_metrics.set("oriolerill_relay_requests_in_flight",
                    static_cast<double>(m_relay.requestsInFlight));
            m_metrics.set("oriolerill_relay_store_calls", static_cast<double>(m_store.callCount()));
            m_metrics.set("oriolerill_relay_endpoint_connects",
                    static_cast<double>(m_connections.connectCount()));
            response.fields.add("Content-Type", "text/plain; version=0.0.4");
            response.body = m_metrics.exposition();
        } else {
            response.status = 404;
        }
        co_await exchange.respond(std::move(response));
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
                    {{"signal", number}, {"requests", m_relay.requestsInFlight}});
            co_await stop();
            co_return;
        }
    }

    asio::awaitable<void> stop()
    {
        m_relay.isStopping = true;
        const TimePoint begun = TimePoint::clock::now();
        const TimePoint last = begun + m_settings.stopTime - StopMargin;
        asio::steady_timer timer(m_context, begun + RotationTime);
        co_await timer.async_wait(UseTuple);
        boost::system::error_code code;
        m_acceptor.close(code);
        m_relay.isIntakeClosed = true;
        // A caller that sends on one of them just now sees that nothing was read, and repeats.
        for (const auto &session : m_sessions) {
            if (session->isIdle())
                session->close();
        }
        while (m_relay.requestsInFlight > 0 && TimePoint::clock::now() < last) {
            timer.expires_after(StopCheckInterval);
            co_await timer.async_wait(UseTuple);
        }
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

    /// Takes over what can change while the process runs: the address of the store.
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
    internal::FleetFollower m_follower;
    internal::LoadListener m_load;
    tcp::acceptor m_acceptor;
    transport::HttpServer m_statusServer;
    transport::HttpServer m_metricsServer;
    asio::signal_set m_signals;
    std::set<std::shared_ptr<internal::CallerSession>> m_sessions;
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
