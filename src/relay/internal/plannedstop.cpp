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
/// The load balancer asks each second and takes an entry out after two misses; until then new
/// connections still arrive. What is taken later could not be ended in the time until SIGKILL.
constexpr auto RotationTime = std::chrono::milliseconds(2600);
/// Kept back of the time until SIGKILL, for the end of the process itself.
constexpr auto StopMargin = std::chrono::milliseconds(500);
constexpr auto StopCheckInterval = std::chrono::milliseconds(100);

} // namespace

PlannedStop::PlannedStop(
        RelayContext &relay, CallerListener &callers, TimePoint begun, TimePoint killedAt)
    : m_relay(relay)
    , m_callers(callers)
    , m_begun(begun)
    , m_killedAt(killedAt)
{}

asio::awaitable<void> PlannedStop::run()
{
    m_relay.isStopping = true;
    const TimePoint last = std::max(m_begun, m_killedAt - StopMargin);
    asio::steady_timer timer(
            co_await asio::this_coro::executor, std::min(m_begun + RotationTime, last));
    co_await timer.async_wait(UseTuple);
    m_callers.closeIntake();
    while (m_relay.requestsInFlight > 0 && TimePoint::clock::now() < last) {
        timer.expires_after(StopCheckInterval);
        co_await timer.async_wait(UseTuple);
    }
}

} // namespace oriolerill::relay::internal
