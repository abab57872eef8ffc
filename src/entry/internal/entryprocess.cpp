#include "entry/internal/entryprocess.h"

#include "admin/configdocumentplanner.h"
#include "config/sharedconfigtable.h"
#include "domain/processincarnation.h"
#include "entry/internal/adminfleetview.h"
#include "entry/internal/adminserver.h"
#include "entry/internal/callerfront.h"
#include "entry/internal/configservice.h"
#include "entry/internal/membershipservice.h"
#include "entry/internal/trackerservice.h"
#include "objectstore/objectstoreclient.h"
#include "observability/burnrecorder.h"
#include "observability/log.h"
#include "observability/metrics.h"
#include "transport/httpclient.h"
#include "transport/httpserver.h"
#include "transport/nngcontrolclient.h"
#include "transport/nngcontrolserver.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/thread_pool.hpp>
#include <boost/asio/use_future.hpp>

#include <thread>
#include <utility>

namespace oriolerill::entry {

namespace asio = boost::asio;
using domain::Done;
using domain::Expected;
using transport::HttpServerExchange;

namespace {

// Time that other entries and the load balancer need to detect that an entry is leaving; requests
// that they send in the meantime are still served.
constexpr auto LeavingDelay = std::chrono::milliseconds(1000);

transport::HttpServerOptions serverOptions(const settings::EntrySettings &settings)
{
    transport::HttpServerOptions options;
    options.maxBody = settings.maxBody;
    options.maxConnections = settings.maxConnections;
    return options;
}

transport::HttpServerOptions peerServerOptions(const settings::EntrySettings &settings)
{
    // A forwarded attempt contains the caller's body and its header fields.
    constexpr domain::Bytes EnvelopeSize(64U << 10U);
    transport::HttpServerOptions options = serverOptions(settings);
    options.maxBody += EnvelopeSize;
    return options;
}

transport::HttpClientOptions clientOptions(const settings::EntrySettings &settings)
{
    constexpr std::size_t MaxIdlePerPeer = 64;
    transport::HttpClientOptions options;
    options.sourceHost = settings.sourceHost;
    options.maxIdlePerPeer = MaxIdlePerPeer;
    return options;
}

objectstore::ObjectStoreOptions storeOptions(
        const settings::EntrySettings &settings, domain::Incarnation incarnation)
{
    objectstore::ObjectStoreOptions options;
    options.addresses = {settings.platformAddress};
    options.answerTimeout = settings.platformTimeout;
    options.seed = incarnation.count();
    return options;
}

membership::EntryRecord selfRecord(
        const settings::EntrySettings &settings, domain::Incarnation incarnation)
{
    membership::EntryRecord self;
    self.id = settings.id;
    self.dataCentre = settings.dataCentre;
    self.region = settings.region;
    self.incarnation = incarnation;
    self.requestAddress = settings.advertisePeer;
    self.controlAddress = settings.advertiseControl;
    return self;
}

MembershipServiceOptions membershipOptions(
        const settings::EntrySettings &settings, domain::Incarnation incarnation)
{
    MembershipServiceOptions options;
    options.self = selfRecord(settings, incarnation);
    options.seeds = settings.seedEntries;
    return options;
}

ConfigServiceOptions configOptions(
        const settings::EntrySettings &settings, domain::Incarnation incarnation)
{
    ConfigServiceOptions options;
    options.self = settings.id;
    options.dataCentre = settings.dataCentre;
    options.incarnation = incarnation;
    return options;
}

TrackerServiceOptions trackerOptions(
        const settings::EntrySettings &settings, domain::Incarnation incarnation)
{
    TrackerServiceOptions options;
    options.entry = settings.id;
    options.dataCentre = settings.dataCentre;
    options.region = settings.region;
    options.originRegion = settings.originRegion;
    options.incarnation = incarnation;
    return options;
}

CallerFrontOptions frontOptions(
        const settings::EntrySettings &settings, domain::Incarnation incarnation)
{
    CallerFrontOptions options;
    options.id = settings.id;
    options.dataCentre = settings.dataCentre;
    options.incarnation = incarnation;
    options.seed = incarnation.count();
    constexpr double Percent = 100;
    options.retryBudget.perRequest = settings.retryPercent / Percent;
    options.deadlines.fallback = settings.defaultDeadline;
    options.deadlines.max = settings.maxDeadline;
    return options;
}

observability::BurnRecorderOptions recorderOptions(const settings::EntrySettings &settings)
{
    observability::BurnRecorderOptions options;
    options.firstByteTarget = settings.firstByteTarget;
    return options;
}

admin::AdminOptions adminOptions(
        const settings::EntrySettings &settings, domain::Incarnation incarnation)
{
    admin::AdminOptions options;
    options.entry = settings.id;
    options.auditWriter = settings.id.value() + '-' + std::to_string(incarnation.count());
    options.bootstrapToken = settings.adminTokenDigest;
    options.objectives.availability = settings.availabilityObjective;
    options.objectives.firstByteTarget = settings.firstByteTarget;
    options.objectives.firstByteShare = settings.firstByteObjective;
    return options;
}

protocol::ControlReply unknownMessageReply()
{
    protocol::ControlReply reply;
    protocol::ControlError &error = *reply.mutable_error();
    error.set_kind(std::string(toString(domain::ErrorKind::InvalidInput)));
    error.set_message("control message without a known body");
    error.set_remedy("check that both processes run the same version");
    return reply;
}

} // namespace

class EntryProcess::Implementation
{
public:
    explicit Implementation(settings::EntrySettings settings)
        : m_settings(std::move(settings))
        , m_pool(m_settings.workers)
        , m_recorder(recorderOptions(m_settings))
        , m_client(m_pool.get_executor(), clientOptions(m_settings))
        , m_control(m_pool.get_executor(), m_settings.sourceHost)
        , m_store(m_client, storeOptions(m_settings, m_incarnation))
        , m_membership(m_pool.get_executor(), m_control, m_store, m_table,
                  membershipOptions(m_settings, m_incarnation))
        , m_config(m_pool.get_executor(), m_store, m_control, m_membership, m_table,
                  configOptions(m_settings, m_incarnation))
        , m_tracker(m_pool.get_executor(), m_control, m_membership, m_table,
                  trackerOptions(m_settings, m_incarnation))
        , m_front(m_pool.get_executor(), m_table, m_membership, m_client, m_recorder,
                  frontOptions(m_settings, m_incarnation))
        , m_fleet(m_settings.id, m_settings.dataCentre, m_table)
        , m_admin(m_pool.get_executor(),
                  {m_store, m_planner, m_table, m_membership, m_fleet, m_recorder, m_metrics},
                  adminOptions(m_settings, m_incarnation))
        , m_controlServer(m_pool.get_executor(), m_settings.listenControl)
        , m_peerServer(m_pool.get_executor(), peerServerOptions(m_settings))
        , m_callerServer(m_pool.get_executor(), serverOptions(m_settings))
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
        const auto peer = m_peerServer.start(m_settings.listenPeer,
                [this](HttpServerExchange &exchange) { return m_front.handlePeer(exchange); });
        if (!peer)
            return peer.error();
        const auto admin = m_admin.start(m_settings.listenAdmin);
        if (!admin)
            return admin.error();
        m_membership.start();
        m_config.start();
        m_tracker.start();
        const auto caller = m_callerServer.start(m_settings.listenCaller,
                [this](HttpServerExchange &exchange) { return m_front.handleCaller(exchange); });
        if (!caller)
            return caller.error();
        return Done{};
    }

    void stop()
    {
        const domain::TimePoint deadline = domain::TimePoint::clock::now() + m_settings.drainTime;
        m_admin.markLeaving();
        m_membership.announceLeaving();
        std::this_thread::sleep_for(LeavingDelay);
        m_callerServer.stopAccepting();
        m_peerServer.stopAccepting();
        // Each step is logged, so that the log of a hanging stop names the step.
        observability::logEvent(observability::Severity::Info, "draining",
                {{"active", m_front.active()}, {"callers", m_callerServer.activeExchanges()},
                        {"peers", m_peerServer.activeExchanges()}});
        asio::co_spawn(m_pool, m_front.drain(deadline), asio::use_future).get();
        if (m_front.active() > 0) {
            observability::logEvent(observability::Severity::Warning, "drain_time_exceeded",
                    {{"active", m_front.active()}});
        }
        observability::logEvent(observability::Severity::Info, "drained");
        m_admin.stopAccepting();
        m_tracker.stop();
        m_config.stop();
        m_membership.stop();
        observability::logEvent(observability::Severity::Info, "services_stopped");
        m_controlServer.stop();
        m_callerServer.closeAll();
        m_peerServer.closeAll();
    }

private:
    void dispatch(
            const protocol::ControlRequest &request, const transport::IControlServer::Reply &reply)
    {
        switch (request.body_case()) {
        case protocol::ControlRequest::kMembership:
            m_fleet.observe(request.membership(), domain::TimePoint::clock::now());
            [[fallthrough]];
        case protocol::ControlRequest::kHeartbeat:
            m_membership.handle(request, reply);
            return;
        case protocol::ControlRequest::kConfigPull:
        case protocol::ControlRequest::kConfigPush:
            m_config.handle(request, reply);
            return;
        case protocol::ControlRequest::kSwarmReport:
        case protocol::ControlRequest::kHaveRequest:
            m_tracker.handle(request, reply);
            return;
        default:
            reply(unknownMessageReply());
        }
    }

    settings::EntrySettings m_settings;
    domain::Incarnation m_incarnation = domain::newIncarnation();
    asio::thread_pool m_pool;
    observability::BurnRecorder m_recorder;
    observability::Metrics m_metrics;
    config::SharedConfigTable m_table;
    transport::HttpClient m_client;
    transport::NngControlClient m_control;
    objectstore::ObjectStoreClient m_store;
    MembershipService m_membership;
    ConfigService m_config;
    TrackerService m_tracker;
    CallerFront m_front;
    admin::ConfigDocumentPlanner m_planner;
    AdminFleetView m_fleet;
    AdminServer m_admin;
    transport::NngControlServer m_controlServer;
    transport::HttpServer m_peerServer;
    transport::HttpServer m_callerServer;
};

EntryProcess::EntryProcess(settings::EntrySettings settings)
    : m_implementation(std::make_unique<Implementation>(std::move(settings)))
{}

EntryProcess::~EntryProcess() = default;

Expected<Done> EntryProcess::start()
{
    return m_implementation->start();
}

void EntryProcess::stop()
{
    m_implementation->stop();
}

} // namespace oriolerill::entry
