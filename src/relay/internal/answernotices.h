#pragma once

#include "relay/internal/relaycontext.h"
#include "routing/callerrequest.h"

namespace oriolerill::relay::internal {

/// The answer of an endpoint to one attempt.
struct AnsweredAttempt
{
    routing::EndpointInstance instance;
    domain::RequestId request;
    domain::TimePoint sentAt;
};

/// Applies the notices in an endpoint's answer (leaving, backoff, limit) and logs each change.
void applyNotices(
        RelayContext &context, const routing::AnswerHead &head, const AnsweredAttempt &attempt);

} // namespace oriolerill::relay::internal
