#include "relay/internal/requeststate.h"

#include <utility>

namespace oriolerill::relay::internal {

using domain::TimePoint;
using std::chrono::milliseconds;

RequestState::RequestState(RelayContext &relay, std::shared_ptr<const HeldRequest> request)
    : context(relay)
    , held(std::move(request))
    , arrivedAt(TimePoint::clock::now())
    , suspendedBefore(relay.suspension.total())
    , isHeadRequest(held->message.method() == boost::beast::http::verb::head)
{}

bool RequestState::isPastDeadline()
{
    if (context.stopDeadline)
        policy->limitDeadline(*context.stopDeadline);
    return nowWithSuspension() >= policy->deadline();
}

TimePoint RequestState::nowWithSuspension()
{
    const TimePoint now = TimePoint::clock::now();
    context.applySuspension(now);
    return now + (context.suspension.total() - suspendedBefore);
}

std::int64_t RequestState::msSinceArrival(std::optional<TimePoint> time) const
{
    return time ? std::chrono::duration_cast<milliseconds>(*time - arrivedAt).count() : -1;
}

} // namespace oriolerill::relay::internal
