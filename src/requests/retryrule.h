#pragma once

#include "protocol/control.pb.h"

namespace oriolerill::requests {

/// The conditions that decide whether a request may be retried.
struct RetryConditions
{
    bool isIdempotent = true;
    /// The order ledger prevents a second run of the request.
    bool isOrder = false;
    /// Outcome of the last attempt.
    protocol::Outcome outcome = protocol::OUTCOME_UNKNOWN;
    /// The receiver reported that a repeat would yield the same result.
    bool isFinal = false;
    /// Part of the answer's data has been sent to the caller.
    bool hasSentData = false;
    /// A partly sent answer can be resumed at another endpoint.
    bool isResumable = false;
};

/// True when another attempt can neither run a non-idempotent request twice nor mix two answers.
bool mayRetry(const RetryConditions &conditions);

/// Combined outcome of a request's attempts: "not run" only when it holds for every attempt.
protocol::Outcome combineOutcomes(protocol::Outcome earlier, protocol::Outcome last);

} // namespace oriolerill::requests
