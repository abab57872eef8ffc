#include "agent/internal/heartbeatservice.h"

#include "agent/internal/heartbeatroute.h"
#include "config/sharedconfigtable.h"
#include "config/versiontext.h"
#include "membership/memberinfo.h"
#include "observability/log.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <atomic>
#include <mutex>

namespace oriolerill::agent {

namespace asio = boost::asio;
using domain::Expected;
using domain::SocketAddress;
using domain::TimePoint;

namespace {

// Maximum delay before a change of state is reported.
constexpr auto CheckInterval = std::chrono::milliseconds(50);

} // namespace

class HeartbeatService::Implementation
    : public std::enable_shared_from_this<HeartbeatService::Implementation>
{
public:
    Implementation(asio::any_io_executor executor, transport::IControlClient &control,
            StatusSource status, HeartbeatOptions options)
        : m_executor(std::move(executor))
        , m_control(control)
        , m_status(std::move(status))
        , m_options(std::move(options))
        , m_interval(m_options.firstInterval)
        , m_route(m_options.self.id, m_options.seeds)
    {}

    void start();
    void stop() { m_isStopped = true; }
    void announceLeaving();
    const config::SharedConfigTable &table() const { return m_table; }
    std::vector<membership::EntryRecord> entries() const;

private:
    asio::awaitable<void> loop();
    void sendHeartbeats();
    void send(const SocketAddress &target, const protocol::ControlRequest &message);
    void onReply(const SocketAddress &target, const Expected<protocol::ControlReply> &reply);
    EndpointStatus currentStatus() const;

    asio::any_io_executor m_executor;
    transport::IControlClient &m_control;
    StatusSource m_status;
    HeartbeatOptions m_options;
    std::atomic<bool> m_isStopped = false;
    std::atomic<bool> m_isLeaving = false;
    config::SharedConfigTable m_table;

    mutable std::mutex m_mutex;
    domain::Duration m_interval;
    HeartbeatRoute m_route;
    std::uint64_t m_sequence = 0;
    TimePoint m_nextAt;
    EndpointStatus m_reported;
};

void HeartbeatService::Implementation::start()
{
    const auto self = shared_from_this();
    asio::co_spawn(m_executor, loop(), [self](const std::exception_ptr &) {});
}

asio::awaitable<void> HeartbeatService::Implementation::loop()
{
    asio::steady_timer timer(m_executor);
    while (!m_isStopped) {
        sendHeartbeats();
        timer.expires_after(CheckInterval);
        co_await timer.async_wait(asio::use_awaitable);
    }
}

EndpointStatus HeartbeatService::Implementation::currentStatus() const
{
    EndpointStatus status = m_status();
    if (m_isLeaving)
        status.state = protocol::ENDPOINT_STATE_LEAVING;
    return status;
}

void HeartbeatService::Implementation::sendHeartbeats()
{
    const EndpointStatus status = currentStatus();
    const TimePoint now = TimePoint::clock::now();
    std::vector<std::pair<SocketAddress, protocol::ControlRequest>> messages;
    {
        const std::scoped_lock lock(m_mutex);
        const bool hasChanged = status.state != m_reported.state
                || status.activeDigest != m_reported.activeDigest;
        if (now < m_nextAt && !hasChanged)
            return;
        m_reported = status;
        m_nextAt = now + m_interval;
        membership::EndpointRecord record = m_options.self;
        record.sequence = ++m_sequence;
        record.state = status.state;
        record.activeDigest = status.activeDigest;
        record.inFlight = status.inFlight;
        record.limit = status.limit;
        protocol::ControlRequest message;
        message.set_sender(record.id.value());
        message.set_incarnation(record.incarnation.count());
        protocol::Heartbeat &heartbeat = *message.mutable_heartbeat();
        *heartbeat.mutable_endpoint() = membership::infoFromEndpoint(record);
        heartbeat.mutable_endpoint()->mutable_load()->set_latency_us(status.latencyMicroseconds);
        config::toProtocol(m_table.watermark(), heartbeat.mutable_watermark());
        for (const SocketAddress &target : m_route.targets(now)) {
            heartbeat.set_entries_hash(m_route.entriesHash(target));
            messages.emplace_back(target, message);
        }
    }
    for (const auto &[target, message] : messages)
        send(target, message);
}

void HeartbeatService::Implementation::send(
        const SocketAddress &target, const protocol::ControlRequest &message)
{
    m_control.request(target, message, TimePoint::clock::now() + m_options.replyTimeout,
            [self = shared_from_this(), target](const Expected<protocol::ControlReply> &reply) {
                self->onReply(target, reply);
            });
}

void HeartbeatService::Implementation::onReply(
        const SocketAddress &target, const Expected<protocol::ControlReply> &reply)
{
    if (!reply || !reply->has_heartbeat()) {
        const TimePoint now = TimePoint::clock::now();
        const std::scoped_lock lock(m_mutex);
        m_route.onNoReply(target, now);
        // The heartbeat may be lost, so the next one is sent before the regular interval ends.
        m_nextAt = std::min(m_nextAt, now + CheckInterval);
        return;
    }
    const protocol::HeartbeatReply &heartbeat = reply->heartbeat();
    if (heartbeat.has_config())
        m_table.merge(heartbeat.config());
    const std::scoped_lock lock(m_mutex);
    const bool hadNoEntries = m_route.entries().empty();
    m_route.onReply(target, heartbeat);
    if (heartbeat.next_interval_ms() > 0)
        m_interval = std::chrono::milliseconds(heartbeat.next_interval_ms());
    // The home entries are known from now on and get a heartbeat at once.
    if (hadNoEntries && !m_route.entries().empty())
        m_nextAt = {};
}

void HeartbeatService::Implementation::announceLeaving()
{
    m_isLeaving = true;
    sendHeartbeats();
}

std::vector<membership::EntryRecord> HeartbeatService::Implementation::entries() const
{
    const std::scoped_lock lock(m_mutex);
    return m_route.entries();
}

HeartbeatService::HeartbeatService(asio::any_io_executor executor,
        transport::IControlClient &control, StatusSource status, HeartbeatOptions options)
    : m_implementation(std::make_shared<Implementation>(
            std::move(executor), control, std::move(status), std::move(options)))
{}

HeartbeatService::~HeartbeatService()
{
    stop();
}

void HeartbeatService::start()
{
    m_implementation->start();
}

void HeartbeatService::stop()
{
    m_implementation->stop();
}

void HeartbeatService::announceLeaving()
{
    m_implementation->announceLeaving();
}

std::shared_ptr<const config::ConfigSnapshot> HeartbeatService::snapshot() const
{
    return m_implementation->table().snapshot();
}

std::vector<membership::EntryRecord> HeartbeatService::entries() const
{
    return m_implementation->entries();
}

} // namespace oriolerill::agent
