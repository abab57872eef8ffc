#include "agent/internal/weightsservice.h"

#include "agent/internal/trackerselector.h"
#include "agent/internal/weightsfetcher.h"
#include "agent/internal/weightsserver.h"
#include "distribution/chunkstore.h"
#include "distribution/fetchscheduler.h"
#include "distribution/manifestchunk.h"
#include "observability/log.h"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <algorithm>
#include <atomic>
#include <chrono>
#include <map>
#include <mutex>
#include <optional>
#include <utility>

namespace oriolerill::agent {

namespace asio = boost::asio;
using namespace std::chrono_literals;
using distribution::FetchActions;
using distribution::FetchId;
using distribution::FetchOutcome;
using distribution::Manifest;
using distribution::ManifestChunk;
using distribution::StartFetch;
using domain::Bytes;
using domain::Digest;
using domain::ErrorKind;
using domain::Expected;
using domain::SocketAddress;
using domain::TimePoint;
using observability::Severity;

namespace {

constexpr domain::Duration ActiveTickInterval = 20ms;
constexpr domain::Duration IdleTickInterval = 100ms;
constexpr domain::Duration ReportRetryDelay = 200ms;
// Minimum interval between urgent reports, so that small chunks do not overload the tracker.
constexpr domain::Duration MinReportInterval = 40ms;
constexpr std::uint64_t MaxManifestSize = 128U << 20U;

TimePoint clockNow()
{
    return TimePoint::clock::now();
}

distribution::FetchSchedulerOptions schedulerOptions(const WeightsServiceOptions &options)
{
    distribution::FetchSchedulerOptions result;
    result.address = options.requestAddress.toString();
    return result;
}

std::set<std::string> localHosts(const WeightsServiceOptions &options)
{
    std::set<std::string> hosts = options.localHosts;
    hosts.insert(options.requestAddress.host);
    return hosts;
}

} // namespace

class WeightsService::Implementation
    : public std::enable_shared_from_this<WeightsService::Implementation>
{
public:
    Implementation(asio::any_io_executor executor, transport::IControlClient &control,
            transport::HttpClient &http, observability::IMetrics &metrics,
            WeightsServiceOptions options)
        : m_executor(std::move(executor))
        , m_control(control)
        , m_metrics(metrics)
        , m_options(std::move(options))
        , m_store(m_options.memory)
        , m_fetcher(m_executor, http, m_options.pacing)
        , m_server(m_store, m_options.maxUploads, localHosts(m_options))
        , m_trackerSelector(m_options.dataCentre, m_options.service)
        , m_scheduler(schedulerOptions(m_options), clockNow())
    {}

    void start() { asio::co_spawn(m_executor, run(shared_from_this()), asio::detached); }

    void stop()
    {
        const std::scoped_lock lock(m_mutex);
        m_isStopped = true;
        for (const auto &[id, isCancelled] : m_fetches)
            *isCancelled = true;
    }

    void setEntries(const std::vector<protocol::EntryInfo> &entries)
    {
        const std::scoped_lock lock(m_mutex);
        m_trackerSelector.setEntries(entries);
    }

    void request(const Digest &manifest, std::uint32_t priority)
    {
        const TimePoint now = clockNow();
        const std::scoped_lock lock(m_mutex);
        m_scheduler.request(manifest, priority, now);
        m_reports.try_emplace(manifest);
    }

    distribution::TransferProgress progress(const Digest &manifest) const
    {
        const std::scoped_lock lock(m_mutex);
        return m_scheduler.progress(manifest);
    }

    void release(const Digest &manifest)
    {
        FetchActions actions;
        {
            const std::scoped_lock lock(m_mutex);
            actions = m_scheduler.release(manifest, clockNow());
            m_reports.erase(manifest);
            m_store.release(manifest);
        }
        perform(actions);
        observability::logEvent(Severity::Info, "weights_released", {{"manifest", manifest.hex()}});
    }

    void requestGrant(const Digest &manifest)
    {
        const std::scoped_lock lock(m_mutex);
        if (m_grantRequestedFor == manifest)
            return;
        m_grantRequestedFor = manifest;
        m_grantedUntil.reset();
        m_isSwitching = false;
        m_reports[manifest].next = {};
    }

    void withdrawRequest()
    {
        const std::scoped_lock lock(m_mutex);
        if (!m_grantRequestedFor)
            return;
        m_reports[*m_grantRequestedFor].next = {};
        m_grantRequestedFor.reset();
        m_grantedUntil.reset();
        m_isSwitching = false;
    }

    std::optional<TimePoint> grantedUntil() const
    {
        const std::scoped_lock lock(m_mutex);
        if (!m_grantedUntil || *m_grantedUntil <= clockNow())
            return std::nullopt;
        return m_grantedUntil;
    }

    WeightsServer &server() { return m_server; }
    const distribution::IChunkStore &store() const { return m_store; }

    protocol::ControlReply answer(const protocol::HaveRequest &request) const
    {
        protocol::ControlReply reply;
        protocol::HaveReply &have = *reply.mutable_have();
        const std::optional<Digest> digest = Digest::fromBytes(request.manifest_digest());
        if (!digest || !m_store.manifest(*digest))
            return reply;
        protocol::HaveHolder &holder = *have.add_holders();
        holder.set_address(m_options.requestAddress.toString());
        holder.set_have(m_store.haveMap(*digest).toBytes());
        return reply;
    }

private:
    struct ReportState
    {
        TimePoint next;
        TimePoint last;
        bool isReplyPending = false;
        bool isCompleteLogged = false;
    };
    struct PendingReport
    {
        Digest manifest;
        SocketAddress tracker;
        protocol::ControlRequest message;
        TimePoint sentAt;
    };

    static asio::awaitable<void> run(std::shared_ptr<Implementation> self)
    {
        asio::steady_timer timer(self->m_executor);
        for (;;) {
            const std::optional<domain::Duration> interval = self->tick();
            if (!interval)
                co_return;
            timer.expires_after(*interval);
            co_await timer.async_wait(asio::as_tuple(asio::use_awaitable));
        }
    }

    /// Performs due fetch actions and reports. Returns the interval until the next tick, none after
    /// stop().
    std::optional<domain::Duration> tick()
    {
        const TimePoint now = clockNow();
        FetchActions actions;
        std::vector<PendingReport> reports;
        bool isActive = false;
        {
            const std::scoped_lock lock(m_mutex);
            if (m_isStopped)
                return std::nullopt;
            isActive = m_grantRequestedFor.has_value();
            actions = m_scheduler.tick(now);
            reports = dueReports(now);
            for (const auto &[manifest, state] : m_reports)
                isActive |= !m_scheduler.progress(manifest).isComplete();
        }
        perform(actions);
        for (const PendingReport &report : reports)
            send(report);
        return isActive ? ActiveTickInterval : IdleTickInterval;
    }

    std::vector<PendingReport> dueReports(TimePoint now)
    {
        std::vector<PendingReport> due;
        const std::optional<SocketAddress> tracker = m_trackerSelector.current(now);
        if (!tracker)
            return due;
        for (auto &[manifest, state] : m_reports) {
            const bool isUrgent
                    = m_scheduler.isReportUrgent(manifest) && now >= state.last + MinReportInterval;
            if (state.isReplyPending || (!isUrgent && now < state.next))
                continue;
            state.isReplyPending = true;
            state.last = now;
            due.push_back({manifest, *tracker, reportMessage(manifest), now});
        }
        return due;
    }

    protocol::ControlRequest reportMessage(const Digest &manifest)
    {
        protocol::ControlRequest message;
        message.set_sender(m_options.endpoint.value());
        message.set_incarnation(m_options.incarnation.count());
        protocol::SwarmReport &report = *message.mutable_swarm_report();
        report = m_scheduler.report(manifest);
        protocol::EndpointInfo &endpoint = *report.mutable_endpoint();
        endpoint.set_id(m_options.endpoint.value());
        endpoint.set_data_centre(m_options.dataCentre.value());
        endpoint.set_service(m_options.service.value());
        endpoint.set_incarnation(m_options.incarnation.count());
        endpoint.set_request_address(m_options.requestAddress.toString());
        endpoint.set_control_address(m_options.controlAddress.toString());
        const bool isGrantRequested = m_grantRequestedFor == manifest;
        report.set_wants_switch_grant(isGrantRequested);
        report.set_switching(isGrantRequested && m_isSwitching);
        return message;
    }

    void send(const PendingReport &report)
    {
        const TimePoint deadline = report.sentAt + m_options.reportTimeout;
        auto self = shared_from_this();
        m_control.request(report.tracker, report.message, deadline,
                [self, manifest = report.manifest, tracker = report.tracker,
                        sentAt = report.sentAt](const Expected<protocol::ControlReply> &reply) {
                    self->onReportReply(manifest, tracker, sentAt, reply);
                });
    }

    void onReportReply(const Digest &manifest, const SocketAddress &tracker, TimePoint sentAt,
            const Expected<protocol::ControlReply> &reply)
    {
        const TimePoint now = clockNow();
        FetchActions actions;
        {
            const std::scoped_lock lock(m_mutex);
            const auto state = m_reports.find(manifest);
            if (state == m_reports.end())
                return;
            state->second.isReplyPending = false;
            state->second.next = now + ReportRetryDelay;
            if (!reply || !reply->has_swarm_plan())
                m_trackerSelector.onFailure(tracker, now);
            else
                actions = applyPlan(manifest, reply->swarm_plan(), state->second, sentAt, now);
            // For an unwanted version, the report that returns its grant is the last one.
            const std::vector<Digest> wanted = m_scheduler.versions();
            const bool isWanted = std::find(wanted.begin(), wanted.end(), manifest) != wanted.end();
            if (!isWanted && m_grantRequestedFor != manifest)
                m_reports.erase(state);
        }
        perform(actions);
    }

    FetchActions applyPlan(const Digest &manifest, const protocol::SwarmPlan &plan,
            ReportState &state, TimePoint sentAt, TimePoint now)
    {
        if (!plan.redirect().empty()) {
            if (const auto address = SocketAddress::parse(plan.redirect()))
                m_trackerSelector.onRedirect(*address, now);
            state.next = now;
            return {};
        }
        state.next = now + std::chrono::milliseconds(plan.next_report_ms());
        if (plan.switch_granted() && m_grantRequestedFor == manifest) {
            // Counted from the time the report was sent, so that the grant expires here before the
            // tracker's lease does.
            m_grantedUntil = sentAt + std::chrono::milliseconds(plan.grant_ms());
            m_isSwitching = true;
        }
        return m_scheduler.plan(manifest, plan, now);
    }

    void perform(const FetchActions &actions)
    {
        for (const distribution::FetchAction &action : actions) {
            if (const auto *start = std::get_if<StartFetch>(&action))
                startFetch(*start);
            else if (const auto *cancel = std::get_if<distribution::CancelFetch>(&action))
                cancelFetch(cancel->id);
            else
                queryPeer(std::get<distribution::QueryPeer>(action));
        }
    }

    void startFetch(const StartFetch &start)
    {
        auto isCancelled = std::make_shared<std::atomic<bool>>(false);
        {
            const std::scoped_lock lock(m_mutex);
            if (m_isStopped)
                return;
            m_fetches[start.id] = isCancelled;
        }
        asio::co_spawn(m_executor, fetch(shared_from_this(), start, std::move(isCancelled)),
                asio::detached);
    }

    void cancelFetch(FetchId id)
    {
        const std::scoped_lock lock(m_mutex);
        const auto fetch = m_fetches.find(id);
        if (fetch != m_fetches.end())
            *fetch->second = true;
    }

    void queryPeer(const distribution::QueryPeer &query)
    {
        const std::optional<SocketAddress> peer = SocketAddress::parse(query.controlAddress);
        if (!peer)
            return;
        protocol::ControlRequest message;
        message.set_sender(m_options.endpoint.value());
        message.set_incarnation(m_options.incarnation.count());
        message.mutable_have_request()->set_manifest_digest(query.manifest.bytes());
        auto self = shared_from_this();
        m_control.request(*peer, message, clockNow() + m_options.reportTimeout,
                [self, manifest = query.manifest](const Expected<protocol::ControlReply> &reply) {
                    if (!reply || !reply->has_have())
                        return;
                    const std::scoped_lock lock(self->m_mutex);
                    self->m_scheduler.onPeerHave(manifest, reply->have(), clockNow());
                });
    }

    static asio::awaitable<void> fetch(std::shared_ptr<Implementation> self, StartFetch start,
            std::shared_ptr<std::atomic<bool>> isCancelled)
    {
        std::optional<WeightsFetchRequest> request = self->fetchRequest(start);
        FetchOutcome outcome = FetchOutcome::Refused;
        std::shared_ptr<const Manifest> manifest;
        if (request) {
            request->isCancelled = std::move(isCancelled);
            Expected<std::string> data = co_await self->m_fetcher.fetch(std::move(*request));
            if (data)
                outcome = self->accept(start, std::move(*data), manifest);
            else
                outcome = self->onFetchFailure(start, data.error());
        }
        self->finish(start, outcome, manifest);
    }

    std::optional<WeightsFetchRequest> fetchRequest(const StartFetch &start) const
    {
        const bool isOrigin = start.source.empty();
        const std::optional<SocketAddress> peer
                = isOrigin ? m_options.origin : SocketAddress::parse(start.source);
        if (!peer || peer->isEmpty())
            return std::nullopt;
        WeightsFetchRequest request;
        request.peer = *peer;
        if (start.chunk == ManifestChunk) {
            request.message.target = "/v1/manifests/" + start.manifest.hex();
            request.maxSize = Bytes(MaxManifestSize);
            return request;
        }
        const std::shared_ptr<const Manifest> manifest = m_store.manifest(start.manifest);
        if (!manifest)
            return std::nullopt;
        const distribution::ChunkInfo &chunk = manifest->chunks()[start.chunk];
        request.maxSize = chunk.size;
        if (!isOrigin) {
            request.message.target = "/v1/chunks/" + chunk.digest.hex();
            return request;
        }
        const std::uint64_t first = chunk.offset.count();
        const std::uint64_t last = first + chunk.size.count() - 1;
        request.message.target = "/v1/weights/" + start.manifest.hex();
        request.message.fields.add(
                "Range", "bytes=" + std::to_string(first) + '-' + std::to_string(last));
        return request;
    }

    FetchOutcome accept(
            const StartFetch &start, std::string data, std::shared_ptr<const Manifest> &manifest)
    {
        const std::string_view source = start.source.empty() ? "origin" : "peer";
        m_metrics.increment("oriolerill_weights_received_bytes", {{"source", source}}, data.size());
        if (start.chunk == ManifestChunk)
            return acceptManifest(start, std::move(data), manifest);
        const std::shared_ptr<const Manifest> held = m_store.manifest(start.manifest);
        if (!held)
            return FetchOutcome::Refused;
        const Expected<domain::Done> stored
                = m_store.put(held->chunks()[start.chunk].digest, std::move(data));
        if (stored)
            return FetchOutcome::Verified;
        if (stored.error().kind != ErrorKind::Corrupted)
            return FetchOutcome::Refused;
        reportCorruption(start);
        return FetchOutcome::Corrupted;
    }

    FetchOutcome acceptManifest(
            const StartFetch &start, std::string data, std::shared_ptr<const Manifest> &manifest)
    {
        Expected<Manifest> parsed = Manifest::parse(std::move(data), start.manifest);
        if (parsed) {
            manifest = std::make_shared<const Manifest>(std::move(*parsed));
            return FetchOutcome::Verified;
        }
        if (parsed.error().kind == ErrorKind::Corrupted) {
            reportCorruption(start);
            return FetchOutcome::Corrupted;
        }
        observability::logEvent(Severity::Error, "manifest_invalid",
                {{"manifest", start.manifest.hex()}, {"message", parsed.error().message},
                        {"remedy", parsed.error().remedy}});
        return FetchOutcome::Unusable;
    }

    FetchOutcome onFetchFailure(const StartFetch &start, const domain::Error &error)
    {
        switch (error.kind) {
        case ErrorKind::Corrupted:
            reportCorruption(start);
            return FetchOutcome::Corrupted;
        case ErrorKind::Cancelled:
            return FetchOutcome::Refused;
        case ErrorKind::NotFound:
        case ErrorKind::Overloaded:
            // A refusal by the origin indicates an outage or its rate limit and leads to a backoff.
            return start.source.empty() ? FetchOutcome::Failed : FetchOutcome::Refused;
        default:
            return FetchOutcome::Failed;
        }
    }

    void reportCorruption(const StartFetch &start)
    {
        m_metrics.increment("oriolerill_weights_corrupted_chunks");
        observability::logEvent(Severity::Warning, "chunk_corrupted",
                {{"manifest", start.manifest.hex()}, {"chunk", start.chunk},
                        {"source", start.source.empty() ? "origin" : start.source}});
    }

    void finish(const StartFetch &start, FetchOutcome outcome,
            const std::shared_ptr<const Manifest> &manifest)
    {
        const TimePoint now = clockNow();
        FetchActions actions;
        {
            const std::scoped_lock lock(m_mutex);
            m_fetches.erase(start.id);
            const std::vector<Digest> wanted = m_scheduler.versions();
            const bool isWanted
                    = std::find(wanted.begin(), wanted.end(), start.manifest) != wanted.end();
            if (manifest && isWanted)
                outcome = hold(manifest);
            actions = m_scheduler.onFetchEnd(start.id, outcome, now);
            if (manifest && isWanted && outcome == FetchOutcome::Verified) {
                const distribution::HaveMap have = m_store.haveMap(start.manifest);
                FetchActions manifestActions = m_scheduler.onManifestVerified(manifest, have, now);
                actions.insert(actions.end(), manifestActions.begin(), manifestActions.end());
            }
            logCompletion(start.manifest);
        }
        perform(actions);
    }

    FetchOutcome hold(const std::shared_ptr<const Manifest> &manifest)
    {
        const Expected<domain::Done> held = m_store.hold(manifest);
        if (held)
            return FetchOutcome::Verified;
        observability::logEvent(Severity::Error, "weights_memory_full",
                {{"manifest", manifest->digest().hex()}, {"message", held.error().message},
                        {"remedy", held.error().remedy}});
        return FetchOutcome::Unusable;
    }

    void logCompletion(const Digest &manifest)
    {
        const auto state = m_reports.find(manifest);
        if (state == m_reports.end() || state->second.isCompleteLogged
                || !m_scheduler.progress(manifest).isComplete())
            return;
        state->second.isCompleteLogged = true;
        observability::logEvent(Severity::Info, "weights_complete", {{"manifest", manifest.hex()}});
    }

    asio::any_io_executor m_executor;
    transport::IControlClient &m_control;
    observability::IMetrics &m_metrics;
    WeightsServiceOptions m_options;
    distribution::ChunkStore m_store;
    WeightsFetcher m_fetcher;
    WeightsServer m_server;

    mutable std::mutex m_mutex;
    TrackerSelector m_trackerSelector;
    distribution::FetchScheduler m_scheduler;
    std::map<Digest, ReportState> m_reports;
    std::map<FetchId, std::shared_ptr<std::atomic<bool>>> m_fetches;
    std::optional<Digest> m_grantRequestedFor;
    std::optional<TimePoint> m_grantedUntil;
    bool m_isSwitching = false;
    bool m_isStopped = false;
};

WeightsService::WeightsService(asio::any_io_executor executor, transport::IControlClient &control,
        transport::HttpClient &http, observability::IMetrics &metrics,
        WeightsServiceOptions options)
    : m_implementation(std::make_shared<Implementation>(
            std::move(executor), control, http, metrics, std::move(options)))
{}

WeightsService::~WeightsService()
{
    stop();
}

void WeightsService::start()
{
    m_implementation->start();
}

void WeightsService::stop()
{
    m_implementation->stop();
}

void WeightsService::setEntries(const std::vector<protocol::EntryInfo> &entries)
{
    m_implementation->setEntries(entries);
}

void WeightsService::request(const Digest &manifest, std::uint32_t priority)
{
    m_implementation->request(manifest, priority);
}

distribution::TransferProgress WeightsService::progress(const Digest &manifest) const
{
    return m_implementation->progress(manifest);
}

void WeightsService::release(const Digest &manifest)
{
    m_implementation->release(manifest);
}

void WeightsService::requestGrant(const Digest &manifest)
{
    m_implementation->requestGrant(manifest);
}

void WeightsService::withdrawRequest()
{
    m_implementation->withdrawRequest();
}

std::optional<TimePoint> WeightsService::grantedUntil() const
{
    return m_implementation->grantedUntil();
}

asio::awaitable<void> WeightsService::handle(transport::HttpServerExchange &exchange)
{
    return m_implementation->server().handle(exchange);
}

void WeightsService::handleControl(
        const protocol::ControlRequest &request, const transport::IControlServer::Reply &reply)
{
    reply(m_implementation->answer(request.have_request()));
}

const distribution::IChunkStore &WeightsService::store() const
{
    return m_implementation->store();
}

} // namespace oriolerill::agent
