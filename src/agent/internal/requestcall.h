#pragma once

#include "agent/internal/requestpermit.h"
#include "agent/internal/requestproxy.h"
#include "domain/error.h"
#include "protocol/control.pb.h"
#include "requests/runningattempt.h"
#include "transport/httpclient.h"

#include <boost/asio/awaitable.hpp>

#include <memory>
#include <string>

namespace oriolerill::agent {

/// The end of a call to the endpoint. The error is set unless the outcome is "answered".
struct CallFailure
{
    protocol::Outcome outcome = protocol::OUTCOME_ANSWERED;
    domain::Error error;
};

/// Forwards attempts to the endpoint over HTTP.
class RequestCall
{
public:
    RequestCall(transport::HttpClient &client, const RequestProxyOptions &options);

    /// Streams the endpoint's answer into the attempt, but does not finish it.
    boost::asio::awaitable<CallFailure> stream(
            requests::RunningAttempt &running, RequestPermit &permit) const;
    /// Reads the complete answer of an order. The outcome is unknown if the answer is too large.
    boost::asio::awaitable<CallFailure> callOrder(requests::RunningAttempt &running,
            RequestPermit &permit, protocol::OrderRecord &result) const;

private:
    struct Opened
    {
        std::unique_ptr<transport::HttpExchange> exchange;
        CallFailure failure;
    };

    boost::asio::awaitable<Opened> open(
            const requests::RunningAttempt &running, RequestPermit &permit) const;
    CallFailure checkHead(const protocol::Attempt &attempt, const RequestPermit &permit,
            const transport::HttpResponseHead &head) const;
    boost::asio::awaitable<CallFailure> streamBody(requests::RunningAttempt &running,
            RequestPermit &permit, transport::HttpExchange &exchange) const;
    bool isEngine() const { return m_kind == config::ServiceKind::Model; }

    transport::HttpClient &m_client;
    domain::SocketAddress m_endpoint;
    config::ServiceKind m_kind;
    domain::Duration m_detachedTimeout;
};

} // namespace oriolerill::agent
