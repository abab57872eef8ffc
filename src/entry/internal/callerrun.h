#pragma once

#include "entry/internal/calleranswer.h"
#include "entry/internal/callercontext.h"
#include "entry/internal/callerrequest.h"
#include "entry/internal/callerrouter.h"
#include "observability/irequestrecorder.h"

#include <boost/asio/awaitable.hpp>

#include <optional>

namespace oriolerill::entry {

/// Runs one admitted request: its attempts, retries and final answer.
class CallerRun
{
public:
    CallerRun(CallerContext &context, const CallerRequest &request, CallerAnswer &answer);

    boost::asio::awaitable<observability::RequestOutcome> execute();

private:
    domain::Expected<Route> chooseRoute();
    protocol::Attempt nextAttempt(const Route &route);
    boost::asio::awaitable<AttemptResult> attemptAt(Route route);
    bool mayRetry(const AttemptResult &result) const;
    unsigned maxAttempts() const;
    void prepareRetry(const Route &route, const AttemptResult &result);
    boost::asio::awaitable<void> waitBeforeRetry(const AttemptResult &result) const;
    bool mayWait(const domain::Error &error, domain::TimePoint now);
    boost::asio::awaitable<bool> waitForCapacity(domain::Error error);
    boost::asio::awaitable<observability::RequestOutcome> giveUp();

    CallerContext &m_context;
    const CallerRequest &m_request;
    CallerAnswer &m_answer;
    RouteQuery m_query;
    unsigned m_attempts = 0;
    /// End of the wait for capacity; set when the first wait starts.
    std::optional<domain::TimePoint> m_waitUntil;
    protocol::Outcome m_outcome = protocol::OUTCOME_UNSPECIFIED;
    domain::Error m_error;
    domain::Duration m_retryAfter = {};
};

} // namespace oriolerill::entry
