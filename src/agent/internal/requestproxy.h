#pragma once

#include "config/iconfigview.h"
#include "domain/quantity.h"
#include "domain/socketaddress.h"
#include "domain/strongid.h"
#include "domain/timepoint.h"
#include "requests/iorderlog.h"
#include "rollout/ienginegate.h"
#include "transport/httpclient.h"
#include "transport/httpserver.h"

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>

#include <cstddef>
#include <memory>

namespace oriolerill::agent {

struct RequestProxyOptions
{
    /// Identifies this agent as a writer of order logs.
    domain::EndpointId id;
    domain::DataCentreId dataCentre;
    domain::ServiceId service;
    config::ServiceKind kind = config::ServiceKind::Plain;
    domain::SocketAddress endpoint;
    domain::Incarnation incarnation;
    domain::Duration heartbeatInterval = std::chrono::milliseconds(200);
    /// An idempotent attempt that no connection reads for this long is cancelled.
    domain::Duration detachedTimeout = std::chrono::seconds(5);
    std::size_t maxBufferedBytes = 1U << 20U;
};

/// Load of the endpoint as measured by the agent's concurrency limit.
struct RequestProxyLoad
{
    std::uint32_t inFlight = 0;
    std::uint32_t limit = 0;
    domain::Duration latency = {};
};

/// Accepts attempts from entries and forwards them to the endpoint of this VM, subject to the
/// admission gate, pinned weights, the concurrency limit, duplicate detection and the order ledger.
/// Safe to use from all workers.
class RequestProxy
{
public:
    /// The references have to outlive the proxy and its running attempts. Without an order log,
    /// requests with an idempotency key are refused.
    RequestProxy(const boost::asio::any_io_executor &executor, rollout::IEngineGate &gate,
            const config::IConfigView &configView, transport::HttpClient &client,
            requests::IOrderLog *orderLog, RequestProxyOptions options);
    ~RequestProxy();
    RequestProxy(const RequestProxy &) = delete;
    RequestProxy &operator=(const RequestProxy &) = delete;

    /// Serves POST /v1/attempts.
    boost::asio::awaitable<void> handle(transport::HttpServerExchange &exchange);

    /// Refuses new attempts and returns when the running ones have finished and all order records
    /// are written, at the deadline at the latest.
    boost::asio::awaitable<void> drain(domain::TimePoint deadline);
    /// Number of running attempts.
    std::size_t active() const;
    RequestProxyLoad load() const;

private:
    class Implementation;
    std::shared_ptr<Implementation> m_implementation;
};

} // namespace oriolerill::agent
