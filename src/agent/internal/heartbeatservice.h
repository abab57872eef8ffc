#pragma once

#include "config/iconfigview.h"
#include "domain/socketaddress.h"
#include "membership/membershipsnapshot.h"
#include "transport/icontrolclient.h"

#include <boost/asio/any_io_executor.hpp>

#include <chrono>
#include <functional>
#include <memory>
#include <vector>

namespace oriolerill::agent {

struct HeartbeatOptions
{
    /// The endpoint's identity, incarnation and addresses; the rest comes from the status source.
    membership::EndpointRecord self;
    /// Control addresses of the entries to contact while no entry is known.
    std::vector<domain::SocketAddress> seeds;
    domain::Duration firstInterval = std::chrono::milliseconds(500);
    domain::Duration replyTimeout = std::chrono::milliseconds(400);
};

/// The properties of an endpoint that change while it runs.
struct EndpointStatus
{
    protocol::EndpointState state = protocol::ENDPOINT_STATE_STARTING;
    domain::Digest activeDigest;
    std::uint32_t inFlight = 0;
    std::uint32_t limit = 1;
    std::uint32_t latencyMicroseconds = 0;
};

/// Sends heartbeats to the endpoint's home entries and applies the configuration in their replies.
///
/// A change of state or digest is reported at once. An unresponsive home entry is replaced by the
/// next in rank. The control client has to live until the executor has stopped.
class HeartbeatService : public config::IConfigView
{
public:
    using StatusSource = std::function<EndpointStatus()>;

    HeartbeatService(boost::asio::any_io_executor executor, transport::IControlClient &control,
            StatusSource status, HeartbeatOptions options);
    ~HeartbeatService() override;
    HeartbeatService(const HeartbeatService &) = delete;
    HeartbeatService &operator=(const HeartbeatService &) = delete;

    void start();
    void stop();
    /// Reports the state "leaving" at once and in all later heartbeats.
    void announceLeaving();

    std::shared_ptr<const config::ConfigSnapshot> snapshot() const override;
    /// Entries of the endpoint's data centre, from the last heartbeat reply that listed them.
    std::vector<membership::EntryRecord> entries() const;

private:
    class Implementation;
    std::shared_ptr<Implementation> m_implementation;
};

} // namespace oriolerill::agent
