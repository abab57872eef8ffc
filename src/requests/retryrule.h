#pragma once

#include "protocol/control.pb.h"

namespace oriolerill::requests {

/// What a retry of a request depends on.
struct RetryFacts
{
    bool isIdempotent = true;
    /// The order ledger keeps the request from running twice.
    bool isOrder = false;
    /// How the last attempt ended.
    protocol::Outcome outcome = protocol::OUTCOME_UNKNOWN;
    /// The receiver said that a repeat cannot learn more.
    bool isFinal = false;
    /// Data of the answer has been sent to the caller.
    bool hasSentData = false;
    /// An answer that has begun can be resumed at another endpoint.
    bool isResumable = false;
};

/// True when another attempt can neither run the request twice nor mix two answers.
bool mayRetry(const RetryFacts &facts);

/// Outcome of the request as a whole: "not run" only when it holds for each attempt.
protocol::Outcome combineOutcomes(protocol::Outcome earlier, protocol::Outcome last);

} // namespace oriolerill::requests
