#include "entry/internal/membershipservice.h"

#include "config/versiontext.h"
#include "membership/memberinfo.h"
#include "membership/membershiptable.h"
#include "observability/log.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <atomic>
#include <mutex>

namespace oriolerill::entry {

namespace asio = boost::asio;
using domain::Expected;
using domain::TimePoint;
using membership::ListedMember;
using membership::MembershipSnapshot;
using membership::PlannedExchange;
using transport::IControlServer;

namespace {

constexpr auto ExchangeTimeout = std::chrono::milliseconds(800);
constexpr auto VmListTimeout = std::chrono::seconds(2);
// Changes of load alone are published at this interval.
constexpr auto MaxSnapshotAge = std::chrono::milliseconds(500);

std::vector<ListedMember> membersFrom(const std::vector<objectstore::ListedVm> &vms)
{
    std::vector<ListedMember> members;
    for (const objectstore::ListedVm &vm : vms) {
        ListedMember member;
        member.id = vm.id;
        member.dataCentre = vm.dataCentre;
        member.region = vm.region;
        member.isEntry = vm.role == "entry";
        member.controlAddress
                = domain::SocketAddress::parse(vm.controlAddress).value_or(domain::SocketAddress());
        member.requestAddress
                = domain::SocketAddress::parse(vm.requestAddress).value_or(domain::SocketAddress());
        member.isLeaving = vm.isLeaving;
        members.push_back(std::move(member));
    }
    return members;
}

} // namespace

class MembershipService::Implementation
    : public std::enable_shared_from_this<MembershipService::Implementation>
{
public:
    Implementation(asio::any_io_executor executor, transport::IControlClient &control,
            objectstore::IObjectStore &store, const config::SharedConfigTable &configTable,
            MembershipServiceOptions options)
        : m_executor(std::move(executor))
        , m_control(control)
        , m_store(store)
        , m_configTable(configTable)
        , m_options(std::move(options))
        , m_table(m_options.self, TimePoint::clock::now())
    {
        publish(TimePoint::clock::now());
    }

    void start();
    void stop() { m_isStopped = true; }
    void announceLeaving();
    std::shared_ptr<const MembershipSnapshot> snapshot() const;
    protocol::ControlReply onHeartbeat(const protocol::Heartbeat &heartbeat);
    protocol::ControlReply onExchange(const protocol::MembershipExchange &exchange);

private:
    asio::awaitable<void> tickLoop();
    asio::awaitable<void> vmListLoop();
    void tick();
    void send(const PlannedExchange &exchange);
    void introduceTo(const domain::SocketAddress &seed);
    protocol::ControlRequest request(const protocol::MembershipExchange &message) const;
    void publishIfChanged(TimePoint now);
    void publish(TimePoint now);

    asio::any_io_executor m_executor;
    transport::IControlClient &m_control;
    objectstore::IObjectStore &m_store;
    const config::SharedConfigTable &m_configTable;
    MembershipServiceOptions m_options;
    std::atomic<bool> m_isStopped = false;

    mutable std::mutex m_mutex;
    membership::MembershipTable m_table;
    std::shared_ptr<const MembershipSnapshot> m_snapshot;
    std::uint64_t m_publishedChanges = 0;
    TimePoint m_publishedAt;
    TimePoint m_nextIntroductionAt;
};

void MembershipService::Implementation::start()
{
    const auto self = shared_from_this();
    asio::co_spawn(m_executor, tickLoop(), [self](const std::exception_ptr &) {});
    asio::co_spawn(m_executor, vmListLoop(), [self](const std::exception_ptr &) {});
}

asio::awaitable<void> MembershipService::Implementation::tickLoop()
{
    asio::steady_timer timer(m_executor);
    while (!m_isStopped) {
        tick();
        timer.expires_after(m_options.tickInterval);
        co_await timer.async_wait(asio::use_awaitable);
    }
}

void MembershipService::Implementation::tick()
{
    std::vector<PlannedExchange> planned;
    std::vector<domain::SocketAddress> introductions;
    {
        const std::scoped_lock lock(m_mutex);
        const TimePoint now = TimePoint::clock::now();
        m_table.expire(now);
        planned = m_table.planExchanges(now);
        // Without a live peer, the seeds are contacted, which also repairs a split membership.
        if (m_table.ownEntries().size() < 2 && now >= m_nextIntroductionAt) {
            introductions = m_options.seeds;
            m_nextIntroductionAt = now + m_table.schedule().exchangeInterval;
        }
        publishIfChanged(now);
    }
    for (const PlannedExchange &exchange : planned)
        send(exchange);
    for (const domain::SocketAddress &seed : introductions) {
        if (seed != m_options.self.controlAddress)
            introduceTo(seed);
    }
}

protocol::ControlRequest MembershipService::Implementation::request(
        const protocol::MembershipExchange &message) const
{
    protocol::ControlRequest request;
    request.set_sender(m_options.self.id.value());
    request.set_incarnation(m_options.self.incarnation.count());
    *request.mutable_membership() = message;
    config::toProtocol(
            m_configTable.watermark(), request.mutable_membership()->mutable_watermark());
    return request;
}

void MembershipService::Implementation::send(const PlannedExchange &exchange)
{
    m_control.request(exchange.peer.address, request(exchange.message),
            TimePoint::clock::now() + ExchangeTimeout,
            [self = shared_from_this(), exchange](const Expected<protocol::ControlReply> &reply) {
                const std::scoped_lock lock(self->m_mutex);
                if (!reply || !reply->has_membership()) {
                    self->m_table.onUnreachable(exchange.peer.id);
                    return;
                }
                self->m_table.onAnswered(exchange);
                self->m_table.onExchange(reply->membership(), TimePoint::clock::now());
            });
}

void MembershipService::Implementation::introduceTo(const domain::SocketAddress &seed)
{
    protocol::MembershipExchange message;
    {
        const std::scoped_lock lock(m_mutex);
        message = m_table.introduction();
    }
    m_control.request(seed, request(message), TimePoint::clock::now() + ExchangeTimeout,
            [self = shared_from_this()](const Expected<protocol::ControlReply> &reply) {
                if (!reply || !reply->has_membership())
                    return;
                const std::scoped_lock lock(self->m_mutex);
                self->m_table.onExchange(reply->membership(), TimePoint::clock::now());
            });
}

asio::awaitable<void> MembershipService::Implementation::vmListLoop()
{
    asio::steady_timer timer(m_executor);
    while (!m_isStopped) {
        const Expected<std::vector<objectstore::ListedVm>> vms
                = co_await m_store.listVms(TimePoint::clock::now() + VmListTimeout);
        if (vms) {
            const std::vector<ListedMember> members = membersFrom(*vms);
            const std::scoped_lock lock(m_mutex);
            m_table.onVmList(members);
        }
        timer.expires_after(m_options.vmListInterval);
        co_await timer.async_wait(asio::use_awaitable);
    }
}

void MembershipService::Implementation::announceLeaving()
{
    {
        const std::scoped_lock lock(m_mutex);
        m_table.setLeaving();
    }
    tick();
}

std::shared_ptr<const MembershipSnapshot> MembershipService::Implementation::snapshot() const
{
    const std::scoped_lock lock(m_mutex);
    return m_snapshot;
}

void MembershipService::Implementation::publishIfChanged(TimePoint now)
{
    if (m_table.changeCount() != m_publishedChanges || now - m_publishedAt >= MaxSnapshotAge)
        publish(now);
}

void MembershipService::Implementation::publish(TimePoint now)
{
    m_publishedChanges = m_table.changeCount();
    m_publishedAt = now;
    m_snapshot = std::make_shared<const MembershipSnapshot>(m_table.snapshot(now));
}

protocol::ControlReply MembershipService::Implementation::onHeartbeat(
        const protocol::Heartbeat &heartbeat)
{
    config::DeltaFilter filter;
    filter.service = domain::ServiceId(heartbeat.endpoint().service());
    filter.dataCentre = domain::DataCentreId(heartbeat.endpoint().data_centre());
    protocol::ControlReply reply;
    protocol::HeartbeatReply &body = *reply.mutable_heartbeat();
    const domain::ConfigVersion agentWatermark = config::fromProtocol(heartbeat.watermark());
    if (!filter.matchesAll() && m_configTable.watermark() > agentWatermark)
        *body.mutable_config() = m_configTable.deltaSince(agentWatermark, filter);

    const std::scoped_lock lock(m_mutex);
    const TimePoint now = TimePoint::clock::now();
    m_table.onHeartbeat(heartbeat, now);
    body.set_entry_incarnation(m_options.self.incarnation.count());
    const auto interval
            = std::chrono::ceil<std::chrono::milliseconds>(m_table.schedule().heartbeatInterval);
    body.set_next_interval_ms(static_cast<std::uint32_t>(interval.count()));
    // An endpoint of another data centre is referred to the entries there. The reply has no hash,
    // so the endpoint gets the list with each heartbeat until it uses an entry of its own.
    const bool isOwn = filter.dataCentre == m_options.self.dataCentre;
    if (isOwn)
        body.set_entries_hash(m_table.ownEntriesHash());
    if (!isOwn || heartbeat.entries_hash() != body.entries_hash()) {
        for (const membership::EntryRecord &entry : m_table.entriesOf(filter.dataCentre))
            *body.add_entries() = membership::infoFromEntry(entry);
    }
    publishIfChanged(now);
    return reply;
}

protocol::ControlReply MembershipService::Implementation::onExchange(
        const protocol::MembershipExchange &exchange)
{
    protocol::ControlReply reply;
    const std::scoped_lock lock(m_mutex);
    const TimePoint now = TimePoint::clock::now();
    m_table.onExchange(exchange, now);
    *reply.mutable_membership() = m_table.answer(exchange);
    publishIfChanged(now);
    return reply;
}

MembershipService::MembershipService(asio::any_io_executor executor,
        transport::IControlClient &control, objectstore::IObjectStore &store,
        const config::SharedConfigTable &table, MembershipServiceOptions options)
    : m_implementation(std::make_shared<Implementation>(
            std::move(executor), control, store, table, std::move(options)))
{}

MembershipService::~MembershipService()
{
    stop();
}

void MembershipService::start()
{
    m_implementation->start();
}

void MembershipService::stop()
{
    m_implementation->stop();
}

void MembershipService::announceLeaving()
{
    m_implementation->announceLeaving();
}

std::shared_ptr<const MembershipSnapshot> MembershipService::snapshot() const
{
    return m_implementation->snapshot();
}

void MembershipService::handle(
        const protocol::ControlRequest &request, const IControlServer::Reply &reply)
{
    if (request.has_heartbeat()) {
        reply(m_implementation->onHeartbeat(request.heartbeat()));
        return;
    }
    if (request.has_membership()) {
        reply(m_implementation->onExchange(request.membership()));
        return;
    }
    protocol::ControlReply refusal;
    refusal.mutable_error()->set_kind("invalid_input");
    refusal.mutable_error()->set_message("not a membership request");
    refusal.mutable_error()->set_remedy("run the same version in all processes");
    reply(refusal);
}

} // namespace oriolerill::entry
