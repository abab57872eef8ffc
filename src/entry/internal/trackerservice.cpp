#include "entry/internal/trackerservice.h"

#include "distribution/swarmplanner.h"
#include "domain/rendezvous.h"
#include "observability/log.h"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <atomic>
#include <chrono>
#include <map>
#include <mutex>
#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace oriolerill::entry {

namespace asio = boost::asio;
using namespace std::chrono_literals;
using config::ConfigSnapshot;
using config::Rollout;
using distribution::SwarmPlanner;
using distribution::SwarmQuery;
using distribution::SwarmSite;
using domain::DataCentreId;
using domain::Digest;
using domain::Error;
using domain::ErrorKind;
using domain::Expected;
using domain::RegionId;
using domain::ServiceId;
using domain::SocketAddress;
using domain::TimePoint;
using membership::EntryRecord;
using membership::MembershipSnapshot;
using observability::Severity;

namespace {

constexpr domain::Duration QueryInterval = 50ms;
// Sites and priorities are updated at this interval rather than with each report.
constexpr domain::Duration ConfigureInterval = 500ms;
constexpr domain::Duration IdleLifetime = 10min;

TimePoint clockNow()
{
    return TimePoint::clock::now();
}

protocol::ControlReply errorReply(const Error &error)
{
    protocol::ControlReply reply;
    protocol::ControlError &body = *reply.mutable_error();
    body.set_kind(std::string(domain::toString(error.kind)));
    body.set_message(error.message);
    body.set_remedy(error.remedy);
    return reply;
}

} // namespace

class TrackerService::Implementation
    : public std::enable_shared_from_this<TrackerService::Implementation>
{
public:
    Implementation(asio::any_io_executor executor, transport::IControlClient &control,
            const membership::IMembershipView &membership, const config::IConfigView &config,
            TrackerServiceOptions options)
        : m_executor(std::move(executor))
        , m_control(control)
        , m_membership(membership)
        , m_config(config)
        , m_options(std::move(options))
    {}

    void start() { asio::co_spawn(m_executor, run(shared_from_this()), asio::detached); }
    void stop() { m_isStopped = true; }

    protocol::ControlReply report(const protocol::SwarmReport &report)
    {
        const ServiceId service(report.endpoint().service());
        const bool isOwn = report.endpoint().data_centre() == m_options.dataCentre.value();
        const std::optional<Digest> manifest = Digest::fromBytes(report.manifest_digest());
        if (!isOwn || service.isEmpty() || !manifest) {
            return errorReply({ErrorKind::InvalidInput,
                    "the report is not from an endpoint of this data centre",
                    "report to an entry of the endpoint's own data centre"});
        }
        const auto members = m_membership.snapshot();
        const std::optional<EntryRecord> tracker
                = trackerOf(*members, m_options.dataCentre, service);
        protocol::ControlReply reply;
        if (tracker && tracker->id != m_options.entry) {
            stopRole(service);
            reply.mutable_swarm_plan()->set_redirect(tracker->controlAddress.toString());
            return reply;
        }
        const TimePoint now = clockNow();
        const std::shared_ptr<Role> role = roleOf(service, now);
        const std::scoped_lock lock(role->mutex);
        role->lastReport = now;
        configure(*role, service, *manifest, *members, now);
        *reply.mutable_swarm_plan() = role->planner.report(report, now);
        reply.mutable_swarm_plan()->set_tracker_incarnation(m_options.incarnation.count());
        return reply;
    }

    protocol::ControlReply have(const protocol::HaveRequest &request)
    {
        const ServiceId service(request.service());
        const std::optional<Digest> manifest = Digest::fromBytes(request.manifest_digest());
        const bool isOwn = request.data_centre() == m_options.dataCentre.value();
        const std::optional<EntryRecord> tracker
                = trackerOf(*m_membership.snapshot(), m_options.dataCentre, service);
        if (!isOwn || !manifest || !tracker || tracker->id != m_options.entry) {
            return errorReply({ErrorKind::Unavailable,
                    "this entry is not the tracker of the service in the data centre",
                    "ask the entry that the membership names"});
        }
        protocol::ControlReply reply;
        protocol::HaveReply &body = *reply.mutable_have();
        if (const std::shared_ptr<Role> role = findRole(service)) {
            const std::scoped_lock lock(role->mutex);
            body = role->planner.have(*manifest, clockNow());
        }
        return reply;
    }

private:
    /// The tracker role of one service.
    struct Role
    {
        Role(distribution::SwarmOptions options, TimePoint now)
            : planner(std::move(options), now)
            , lastReport(now)
        {}

        std::mutex mutex;
        SwarmPlanner planner;
        std::atomic<TimePoint> lastReport;
        std::map<Digest, TimePoint> configuredAt;
    };

    /// The highest-ranked live entry of a data centre for a service; this entry counts as live.
    std::optional<EntryRecord> trackerOf(const MembershipSnapshot &members,
            const DataCentreId &dataCentre, const ServiceId &service) const
    {
        std::optional<EntryRecord> best;
        const std::string key = dataCentre.value() + '/' + service.value();
        if (dataCentre == m_options.dataCentre) {
            best.emplace();
            best->id = m_options.entry;
        }
        std::uint64_t bestWeight = best ? domain::rendezvousWeight(key, best->id.value()) : 0;
        for (const EntryRecord &entry : members.entries) {
            if (entry.dataCentre != dataCentre || !entry.isAlive || entry.isLeaving)
                continue;
            const std::uint64_t weight = domain::rendezvousWeight(key, entry.id.value());
            // The order of domain::rendezvousRank(), without sorting.
            if (best && std::pair(bestWeight, best->id) >= std::pair(weight, entry.id))
                continue;
            best = entry;
            bestWeight = weight;
        }
        return best;
    }

    std::shared_ptr<Role> findRole(const ServiceId &service)
    {
        const std::scoped_lock lock(m_mutex);
        const auto role = m_roles.find(service);
        return role == m_roles.end() ? nullptr : role->second;
    }

    std::shared_ptr<Role> roleOf(const ServiceId &service, TimePoint now)
    {
        const std::scoped_lock lock(m_mutex);
        std::shared_ptr<Role> &role = m_roles[service];
        // Another entry may have granted switches if no report arrived for the length of a lease.
        if (role && now - role->lastReport.load() > m_options.grantLease)
            role.reset();
        if (!role) {
            distribution::SwarmOptions options;
            options.dataCentre = m_options.dataCentre;
            options.originRegion = m_options.originRegion;
            options.grantLease = m_options.grantLease;
            options.seed = m_options.incarnation.count();
            role = std::make_shared<Role>(std::move(options), now);
            observability::logEvent(
                    Severity::Info, "tracker_started", {{"service", service.value()}});
        }
        return role;
    }

    /// Removes the role's state. Another tracker may issue grants until the role returns to this
    /// entry; it then starts with empty state and waits for one lease.
    void stopRole(const ServiceId &service)
    {
        const std::scoped_lock lock(m_mutex);
        if (m_roles.erase(service) > 0) {
            observability::logEvent(
                    Severity::Info, "tracker_stopped", {{"service", service.value()}});
        }
    }

    void configure(Role &role, const ServiceId &service, const Digest &manifest,
            const MembershipSnapshot &members, TimePoint now)
    {
        TimePoint &configuredAt = role.configuredAt[manifest];
        if (role.planner.hasVersion(manifest) && now - configuredAt < ConfigureInterval)
            return;
        configuredAt = now;
        std::erase_if(role.configuredAt,
                [now](const auto &entry) { return now - entry.second > IdleLifetime; });
        const auto config = m_config.snapshot();
        const Rollout *rollout = rolloutOf(*config, service, manifest);
        const std::uint32_t priority = rollout ? rollout->priority : 0;
        role.planner.configure(manifest, priority, sitesOf(rollout, service, members), now);
        const Rollout *active = config->activeRollout(service, m_options.dataCentre);
        if (active)
            role.planner.setMaxUnavailable(active->maxUnavailablePerDataCentre);
    }

    static const Rollout *rolloutOf(
            const ConfigSnapshot &config, const ServiceId &service, const Digest &manifest)
    {
        const Rollout *latest = nullptr;
        for (const auto &[id, rollout] : config.rollouts) {
            const bool isMatch = rollout.service == service && rollout.manifest == manifest;
            if (isMatch && (!latest || rollout.version > latest->version))
                latest = &rollout;
        }
        return latest;
    }

    /// Data centres that take part in the rollout. For a version that is not in the configuration
    /// yet, all data centres that run the service, so that late configuration does not put load on
    /// the origin.
    std::vector<SwarmSite> sitesOf(const Rollout *rollout, const ServiceId &service,
            const MembershipSnapshot &members) const
    {
        std::vector<SwarmSite> sites = {{m_options.dataCentre, m_options.region}};
        for (const auto &[id, summary] : members.summaries) {
            const bool isIncluded
                    = !rollout || rollout->dataCentres.empty() || rollout->dataCentres.contains(id);
            if (id != m_options.dataCentre && isIncluded && summary.isFresh
                    && summary.services.contains(service))
                sites.push_back({id, summary.region});
        }
        return sites;
    }

    static asio::awaitable<void> run(std::shared_ptr<Implementation> self)
    {
        asio::steady_timer timer(self->m_executor);
        while (!self->m_isStopped) {
            self->sendDueQueries();
            timer.expires_after(QueryInterval);
            co_await timer.async_wait(asio::as_tuple(asio::use_awaitable));
        }
    }

    void sendDueQueries()
    {
        const TimePoint now = clockNow();
        std::map<ServiceId, std::shared_ptr<Role>> roles;
        {
            const std::scoped_lock lock(m_mutex);
            std::erase_if(m_roles, [now](const auto &entry) {
                return now - entry.second->lastReport.load() > IdleLifetime;
            });
            roles = m_roles;
        }
        for (const auto &[service, role] : roles) {
            std::vector<SwarmQuery> queries;
            {
                const std::scoped_lock lock(role->mutex);
                queries = role->planner.dueQueries(now);
            }
            for (const SwarmQuery &query : queries)
                sendQuery(service, role, query);
        }
    }

    void sendQuery(
            const ServiceId &service, const std::shared_ptr<Role> &role, const SwarmQuery &query)
    {
        const std::optional<EntryRecord> tracker
                = trackerOf(*m_membership.snapshot(), query.dataCentre, service);
        if (!tracker) {
            const std::scoped_lock lock(role->mutex);
            role->planner.onQueryFailure(query, clockNow());
            return;
        }
        protocol::ControlRequest message;
        message.set_sender(m_options.entry.value());
        message.set_incarnation(m_options.incarnation.count());
        protocol::HaveRequest &request = *message.mutable_have_request();
        request.set_manifest_digest(query.manifest.bytes());
        request.set_data_centre(query.dataCentre.value());
        request.set_service(service.value());
        m_control.request(tracker->controlAddress, message, clockNow() + m_options.queryTimeout,
                [role, query](const Expected<protocol::ControlReply> &reply) {
                    const std::scoped_lock lock(role->mutex);
                    if (reply && reply->has_have())
                        role->planner.onHaveReply(query, reply->have(), clockNow());
                    else
                        role->planner.onQueryFailure(query, clockNow());
                });
    }

    asio::any_io_executor m_executor;
    transport::IControlClient &m_control;
    const membership::IMembershipView &m_membership;
    const config::IConfigView &m_config;
    TrackerServiceOptions m_options;
    std::atomic<bool> m_isStopped = false;
    std::mutex m_mutex;
    std::map<ServiceId, std::shared_ptr<Role>> m_roles;
};

TrackerService::TrackerService(asio::any_io_executor executor, transport::IControlClient &control,
        const membership::IMembershipView &membership, const config::IConfigView &config,
        TrackerServiceOptions options)
    : m_implementation(std::make_shared<Implementation>(
            std::move(executor), control, membership, config, std::move(options)))
{}

TrackerService::~TrackerService()
{
    stop();
}

void TrackerService::start()
{
    m_implementation->start();
}

void TrackerService::stop()
{
    m_implementation->stop();
}

void TrackerService::handle(
        const protocol::ControlRequest &request, const transport::IControlServer::Reply &reply)
{
    if (request.has_swarm_report()) {
        reply(m_implementation->report(request.swarm_report()));
        return;
    }
    if (request.has_have_request()) {
        reply(m_implementation->have(request.have_request()));
        return;
    }
    reply(errorReply({ErrorKind::InvalidInput, "not a message for a tracker",
            "send a SwarmReport or a HaveRequest"}));
}

} // namespace oriolerill::entry
