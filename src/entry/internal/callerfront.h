#pragma once

#include "config/iconfigview.h"
#include "domain/quantity.h"
#include "domain/strongid.h"
#include "domain/timepoint.h"
#include "entry/internal/attemptclient.h"
#include "entry/internal/callerrequest.h"
#include "membership/imembershipview.h"
#include "observability/irequestrecorder.h"
#include "routing/accountadmission.h"
#include "routing/retrybudget.h"
#include "transport/httpclient.h"
#include "transport/httpserver.h"

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>

#include <cstddef>
#include <cstdint>
#include <memory>

namespace oriolerill::entry {

struct CallerFrontOptions
{
    domain::EntryId id;
    domain::DataCentreId dataCentre;
    domain::Incarnation incarnation;
    /// Seed of the random choices; request ids do not depend on it.
    std::uint64_t seed = 0;
    /// Maximum number of attempts of one request, the first one included.
    unsigned maxAttempts = 4;
    /// Maximum time that a request waits for capacity at an endpoint before it is refused.
    domain::Duration queueTimeout = std::chrono::milliseconds(300);
    /// Maximum time that a started answer waits for an endpoint that can resume it.
    domain::Duration resumeTimeout = std::chrono::seconds(5);
    DeadlineLimits deadlines;
    AttemptClientOptions attempts;
    routing::RetryBudgetOptions retryBudget;
    routing::AccountAdmissionOptions admission;
};

/// Serves callers: authenticates, admits, routes and retries their requests and streams the
/// answers. Also forwards attempts from other entries to endpoints of this data centre.
/// Safe to use from all workers.
class CallerFront
{
public:
    /// The references have to outlive the executor's work.
    CallerFront(const boost::asio::any_io_executor &executor, const config::IConfigView &configView,
            const membership::IMembershipView &membershipView, transport::HttpClient &client,
            observability::IRequestRecorder &recorder, CallerFrontOptions options);
    ~CallerFront();
    CallerFront(const CallerFront &) = delete;
    CallerFront &operator=(const CallerFront &) = delete;

    /// Serves /v1/services/<service>/<path> on the callers' listener.
    boost::asio::awaitable<void> handleCaller(transport::HttpServerExchange &exchange);
    /// Serves POST /v1/attempts on the listener for other entries.
    boost::asio::awaitable<void> handlePeer(transport::HttpServerExchange &exchange);

    /// Returns when no request is in progress, at the latest at the deadline. The listeners have to
    /// stop accepting first.
    boost::asio::awaitable<void> drain(domain::TimePoint deadline);
    /// Requests and forwarded attempts in progress.
    std::size_t active() const;

private:
    class Implementation;
    std::shared_ptr<Implementation> m_implementation;
};

} // namespace oriolerill::entry
