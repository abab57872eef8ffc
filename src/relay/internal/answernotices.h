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

/// Hands what an endpoint says about itself in an answer to the dispatcher, and logs what is new.
void takeNotices(
        RelayContext &context, const routing::AnswerHead &head, const AnsweredAttempt &attempt);

} // namespace oriolerill::relay::internal
