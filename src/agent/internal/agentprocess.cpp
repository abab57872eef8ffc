#include "agent/internal/agentprocess.h"

#include "agent/internal/engineservice.h"
#include "agent/internal/heartbeatservice.h"
#include "agent/internal/requestproxy.h"
#include "agent/internal/weightsservice.h"
#include "domain/processincarnation.h"
#include "membership/memberinfo.h"
#include "objectstore/objectstoreclient.h"
#include "objectstore/storedorderlog.h"
#include "observability/log.h"
#include "observability/metrics.h"
#include "transport/httpclient.h"
#include "transport/httpserver.h"
#include "transport/nngcontrolclient.h"
#include "transport/nngcontrolserver.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/thread_pool.hpp>
#include <boost/asio/use_future.hpp>

#include <atomic>
#include <thread>
#include <utility>

namespace oriolerill::agent {

namespace asio = boost::asio;
using domain::Done;
using domain::Expected;
using transport::HttpServerExchange;

namespace {

// Time between the announcement and the drain, so that the entries exclude the endpoint before it
// refuses attempts. Attempts that still arrive are refused as not run and sent to another endpoint.
constexpr auto DrainDelay = std::chrono::milliseconds(1000);
constexpr auto EntriesInterval = std::chrono::milliseconds(250);

transport::HttpServerOptions serverOptions(const settings::AgentSettings &settings)
{
    // An attempt contains the caller's body and its header fields.
    constexpr domain::Bytes EnvelopeSize(64U << 10U);
    transport::HttpServerOptions options;
    options.maxBody = settings.maxBody + EnvelopeSize;
    options.maxConnections = settings.maxConnections;
    return options;
}

transport::HttpClientOptions clientOptions(const settings::AgentSettings &settings)
{
    constexpr std::size_t MaxIdlePerPeer = 32;
    transport::HttpClientOptions options;
    options.sourceHost = settings.sourceHost;
    options.maxIdlePerPeer = MaxIdlePerPeer;
    return options;
}

transport::HttpClientOptions bulkClientOptions(const settings::AgentSettings &settings)
{
    // A peer fills the receive buffer at full speed. A buffer that holds a complete chunk would
    // make paced reads ineffective, so it is kept small.
    constexpr domain::Bytes ReceiveBuffer(256U << 10U);
    transport::HttpClientOptions options = clientOptions(settings);
    options.receiveBuffer = ReceiveBuffer;
    return options;
}

objectstore::ObjectStoreOptions storeOptions(
        const settings::AgentSettings &settings, domain::Incarnation incarnation)
{
    objectstore::ObjectStoreOptions options;
    // Most of an agent's calls write order records. The client lowers the rate when the store
    // refuses calls.
    constexpr double OrderCallsPerSecond = 100;
    options.callsPerSecond = OrderCallsPerSecond;
    options.addresses = {settings.platformAddress};
    options.answerTimeout = settings.platformTimeout;
    options.seed = incarnation.count();
    return options;
}

HeartbeatOptions heartbeatOptions(
        const settings::AgentSettings &settings, domain::Incarnation incarnation)
{
    HeartbeatOptions options;
    options.self.id = settings.id;
    options.self.dataCentre = settings.dataCentre;
    options.self.service = settings.service;
    options.self.incarnation = incarnation;
    options.self.requestAddress = settings.advertiseRequest;
    options.self.controlAddress = settings.advertiseControl;
    options.seeds = settings.seedEntries;
    return options;
}

WeightsServiceOptions weightsOptions(
        const settings::AgentSettings &settings, domain::Incarnation incarnation)
{
    WeightsServiceOptions options;
    options.endpoint = settings.id;
    options.dataCentre = settings.dataCentre;
    options.service = settings.service;
    options.incarnation = incarnation;
    options.requestAddress = settings.advertiseRequest;
    options.controlAddress = settings.advertiseControl;
    options.origin = settings.originAddress;
    options.memory = settings.weightsMemory;
    options.localHosts.insert(settings.endpointAddress.host);
    return options;
}

EngineServiceOptions engineOptions(
        const settings::AgentSettings &settings, domain::Incarnation incarnation)
{
    EngineServiceOptions options;
    options.endpoint = settings.id;
    options.dataCentre = settings.dataCentre;
    options.service = settings.service;
    options.incarnation = incarnation;
    options.address = settings.endpointAddress;
    options.isEngine = settings.endpointKind == settings::EndpointKind::Engine;
    options.adminToken = settings.endpointAdminToken;
    options.source = settings.listenRequest;
    return options;
}

RequestProxyOptions proxyOptions(
        const settings::AgentSettings &settings, domain::Incarnation incarnation)
{
    RequestProxyOptions options;
    options.id = settings.id;
    options.dataCentre = settings.dataCentre;
    options.service = settings.service;
    options.kind = settings.endpointKind == settings::EndpointKind::Engine
            ? config::ServiceKind::Model
            : config::ServiceKind::Plain;
    options.endpoint = settings.endpointAddress;
    options.incarnation = incarnation;
    return options;
}

protocol::ControlReply unknownMessageReply()
{
    protocol::ControlReply reply;
    protocol::ControlError &error = *reply.mutable_error();
    error.set_kind(std::string(toString(domain::ErrorKind::InvalidInput)));
    error.set_message("an agent does not take this control message");
    error.set_remedy("send it to an entry");
    return reply;
}

} // namespace

class AgentProcess::Implementation
{
public:
    explicit Implementation(settings::AgentSettings settings)
        : m_settings(std::move(settings))
        , m_pool(m_settings.workers)
        , m_client(m_pool.get_executor(), clientOptions(m_settings))
        , m_bulkClient(m_pool.get_executor(), bulkClientOptions(m_settings))
        , m_control(m_pool.get_executor(), m_settings.sourceHost)
        , m_store(m_client, storeOptions(m_settings, m_incarnation))
        , m_orderLog(m_pool.get_executor(), m_store)
        , m_heartbeats(
                  m_pool.get_executor(), m_control, [this] { return status(); },
                  heartbeatOptions(m_settings, m_incarnation))
        , m_weights(m_pool.get_executor(), m_control, m_bulkClient, m_metrics,
                  weightsOptions(m_settings, m_incarnation))
        , m_engine(m_pool.get_executor(), m_client, m_store, m_heartbeats, m_weights, m_weights,
                  engineOptions(m_settings, m_incarnation))
        , m_proxy(m_pool.get_executor(), m_engine, m_heartbeats, m_client, &m_orderLog,
                  proxyOptions(m_settings, m_incarnation))
        , m_controlServer(m_pool.get_executor(), m_settings.listenControl)
        , m_requestServer(m_pool.get_executor(), serverOptions(m_settings))
    {}
    ~Implementation()
    {
        m_pool.stop();
        m_pool.join();
    }
    Implementation(const Implementation &) = delete;
    Implementation &operator=(const Implementation &) = delete;

    Expected<Done> start()
    {
        auto control
                = m_controlServer.start([this](const protocol::ControlRequest &request,
                                                const transport::IControlServer::Reply &reply) {
                      dispatch(request, reply);
                  });
        if (!control)
            return control;
        const auto requests = m_requestServer.start(m_settings.listenRequest,
                [this](HttpServerExchange &exchange) { return route(exchange); });
        if (!requests)
            return requests.error();
        if (m_settings.endpointKind == settings::EndpointKind::Engine)
            m_weights.start();
        m_engine.start();
        m_heartbeats.start();
        updateTrackerEntries();
        return Done{};
    }

    void stop()
    {
        const domain::TimePoint deadline = domain::TimePoint::clock::now() + m_settings.drainTime;
        m_heartbeats.announceLeaving();
        std::this_thread::sleep_for(DrainDelay);
        asio::co_spawn(m_pool, m_proxy.drain(deadline), asio::use_future).get();
        if (m_proxy.active() > 0) {
            observability::logEvent(observability::Severity::Warning, "drain_time_exceeded",
                    {{"active", m_proxy.active()}});
        }
        m_isStopping = true;
        m_heartbeats.stop();
        m_engine.stop();
        m_weights.stop();
        m_requestServer.stopAccepting();
        m_controlServer.stop();
        m_requestServer.closeAll();
    }

private:
    EndpointStatus status() const
    {
        const RequestProxyLoad load = m_proxy.load();
        EndpointStatus status;
        status.state = m_engine.endpointState();
        status.activeDigest = m_engine.state().activeDigest;
        status.inFlight = load.inFlight;
        status.limit = load.limit;
        status.latencyMicroseconds = static_cast<std::uint32_t>(
                std::chrono::duration_cast<std::chrono::microseconds>(load.latency).count());
        return status;
    }

    void dispatch(
            const protocol::ControlRequest &request, const transport::IControlServer::Reply &reply)
    {
        if (request.has_have_request()) {
            m_weights.handleControl(request, reply);
            return;
        }
        reply(unknownMessageReply());
    }

    asio::awaitable<void> route(HttpServerExchange &exchange)
    {
        if (exchange.request().target == "/v1/attempts")
            return m_proxy.handle(exchange);
        return m_weights.handle(exchange);
    }

    // The weights service selects its tracker among the entries listed in heartbeat replies.
    void updateTrackerEntries()
    {
        std::vector<protocol::EntryInfo> entries;
        for (const membership::EntryRecord &entry : m_heartbeats.entries())
            entries.push_back(membership::infoFromEntry(entry));
        m_weights.setEntries(entries);
        m_entriesTimer.expires_after(EntriesInterval);
        m_entriesTimer.async_wait([this](const boost::system::error_code &code) {
            if (!code && !m_isStopping)
                updateTrackerEntries();
        });
    }

    settings::AgentSettings m_settings;
    domain::Incarnation m_incarnation = domain::newIncarnation();
    asio::thread_pool m_pool;
    observability::Metrics m_metrics;
    transport::HttpClient m_client;
    transport::HttpClient m_bulkClient;
    transport::NngControlClient m_control;
    objectstore::ObjectStoreClient m_store;
    objectstore::StoredOrderLog m_orderLog;
    HeartbeatService m_heartbeats;
    WeightsService m_weights;
    EngineService m_engine;
    RequestProxy m_proxy;
    transport::NngControlServer m_controlServer;
    transport::HttpServer m_requestServer;
    asio::steady_timer m_entriesTimer{m_pool};
    std::atomic<bool> m_isStopping = false;
};

AgentProcess::AgentProcess(settings::AgentSettings settings)
    : m_implementation(std::make_unique<Implementation>(std::move(settings)))
{}

AgentProcess::~AgentProcess() = default;

Expected<Done> AgentProcess::start()
{
    return m_implementation->start();
}

void AgentProcess::stop()
{
    m_implementation->stop();
}

} // namespace oriolerill::agent
