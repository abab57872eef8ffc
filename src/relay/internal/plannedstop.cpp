#include "relay/internal/plannedstop.h"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <algorithm>

namespace oriolerill::relay::internal {

namespace asio = boost::asio;
using domain::TimePoint;

namespace {

constexpr auto UseTuple = asio::as_tuple(asio::use_awaitable);
/// The load balancer probes each second and removes an entry after two failed probes; new
/// connections arrive until then. Requests accepted later could not be completed before SIGKILL.
constexpr auto LoadBalancerDetectionTime = std::chrono::milliseconds(2600);
/// Reserved before SIGKILL for the exit of the process itself.
constexpr auto ExitMargin = std::chrono::milliseconds(500);
/// Reserved before the exit for the last answers: an answer that is in transit at the deadline of
/// its request is still delivered; after half of this time the remaining requests are cancelled.
constexpr auto AnswerMargin = std::chrono::milliseconds(400);
/// Each margin is at most the time until SIGKILL divided by this.
constexpr int MarginDivisor = 4;
constexpr auto CheckInterval = std::chrono::milliseconds(50);

} // namespace

PlannedStop::PlannedStop(
        RelayContext &relay, CallerListener &callers, TimePoint begunAt, TimePoint killedAt)
    : m_relay(relay)
    , m_callers(callers)
{
    const domain::Duration maxMargin
            = std::max<domain::Duration>(killedAt - begunAt, {}) / MarginDivisor;
    const domain::Duration answerMargin = std::min<domain::Duration>(AnswerMargin, maxMargin);
    m_exitAt = killedAt - std::min<domain::Duration>(ExitMargin, maxMargin);
    m_deadline = m_exitAt - answerMargin;
    m_expireAt = m_exitAt - answerMargin / 2;
    m_intakeEndsAt = std::min(begunAt + LoadBalancerDetectionTime, m_deadline);
}

asio::awaitable<void> PlannedStop::run()
{
    m_relay.isStopping = true;
    m_relay.stopDeadline = m_deadline;
    asio::steady_timer timer(co_await asio::this_coro::executor, m_intakeEndsAt);
    co_await timer.async_wait(UseTuple);
    m_callers.closeIntake();
    // Sessions are awaited, not requests: a connection accepted last has not read its request yet.
    bool isExpired = false;
    for (TimePoint now = TimePoint::clock::now(); m_callers.sessionCount() > 0 && now < m_exitAt;
            now = TimePoint::clock::now()) {
        if (!isExpired && now >= m_expireAt) {
            m_relay.expireRequests();
            isExpired = true;
        }
        timer.expires_after(CheckInterval);
        co_await timer.async_wait(UseTuple);
    }
}

} // namespace oriolerill::relay::internal
