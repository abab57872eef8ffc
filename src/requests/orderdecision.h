#pragma once

#include "domain/error.h"
#include "domain/timepoint.h"
#include "protocol/control.pb.h"

#include <cstdint>
#include <string>
#include <variant>

namespace oriolerill::requests {

/// The part of an order with an idempotency key that the ledger uses.
struct OrderRequest
{
    std::string account;
    std::string key;
    /// xxh64 of method, target and body.
    std::uint64_t hash = 0;
    /// The order must not be started after this time.
    domain::TimePoint deadline;
    /// False when the endpoint has no capacity for the order; an order with a new key is refused.
    bool hasRoom = true;
};

/// xxh64 of method, target and body of the attempt.
std::uint64_t orderHash(const protocol::Attempt &attempt);

/// Run the order now; the outcome has to be reported with finish().
struct RunOrder
{};

/// The order has run before; this is the recorded answer of that run.
struct RecordedAnswer
{
    protocol::OrderRecord result;
};

/// The order is not run for this request.
struct RefuseOrder
{
    /// OUTCOME_NOT_RUN only when this request certainly did not and will not run.
    protocol::Outcome outcome = protocol::OUTCOME_UNKNOWN;
    domain::Error error;
    domain::Duration retryAfter = {};
};

using OrderDecision = std::variant<RunOrder, RecordedAnswer, RefuseOrder>;

/// The end of an order's run: answered, certainly not run, or unknown.
struct OrderEnd
{
    protocol::Outcome outcome = protocol::OUTCOME_UNKNOWN;
    /// Status, headers and body, when answered.
    protocol::OrderRecord result;
};

} // namespace oriolerill::requests
