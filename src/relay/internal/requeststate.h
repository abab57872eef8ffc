#pragma once

#include "relay/internal/heldrequest.h"
#include "relay/internal/relaycontext.h"
#include "routing/attemptpolicy.h"
#include "routing/callerrequest.h"

#include <memory>
#include <optional>

namespace oriolerill::relay::internal {

/// What all attempts of one request share. Attempts may end after the run of the request.
struct RequestState
{
    RequestState(RelayContext &relay, std::shared_ptr<const HeldRequest> request);

    /// The deadline of the request, or that of a planned stop, has passed.
    bool isPastDeadline();
    /// Current time plus the time for which the VM was suspended since the request arrived.
    domain::TimePoint nowWithSuspension();
    /// Milliseconds from the arrival of the request; -1 without a time.
    std::int64_t msSinceArrival(std::optional<domain::TimePoint> time) const;

    RelayContext &context;
    std::shared_ptr<const HeldRequest> held;
    domain::TimePoint arrivedAt;
    domain::Duration suspendedBefore;
    routing::CallerRequest caller;
    /// Set once the request's route is known.
    std::optional<routing::AttemptPolicy> policy;
    domain::AccountId account;
    bool isHeadRequest = false;
};

} // namespace oriolerill::relay::internal
