#pragma once

#include "domain/error.h"
#include "domain/timepoint.h"
#include "protocol/control.pb.h"

#include <cstdint>
#include <string>
#include <variant>

namespace oriolerill::requests {

/// An order with an idempotency key, as the ledger sees it.
struct OrderRequest
{
    std::string account;
    std::string key;
    /// xxh64 of method, target and body.
    std::uint64_t hash = 0;
    /// After this the order must not be started any more.
    domain::TimePoint deadline;
    /// False when the endpoint could not take it now; a fresh order is then refused.
    bool hasRoom = true;
};

/// xxh64 of method, target and body of the attempt.
std::uint64_t orderHash(const protocol::Attempt &attempt);

/// Run the order now; its end has to be reported with finish().
struct RunOrder
{};

/// The order has run before; this is its answer.
struct FirstAnswer
{
    protocol::OrderRecord result;
};

/// The order does not run for this request.
struct RefuseOrder
{
    /// OUTCOME_NOT_RUN only when this request did not and will not run.
    protocol::Outcome outcome = protocol::OUTCOME_UNKNOWN;
    domain::Error error;
    domain::Duration retryAfter = {};
};

using OrderDecision = std::variant<RunOrder, FirstAnswer, RefuseOrder>;

/// How a run of an order ended: with an answer, with the proof that it did not run, or unknown.
struct OrderEnd
{
    protocol::Outcome outcome = protocol::OUTCOME_UNKNOWN;
    /// Status, headers and body, when answered.
    protocol::OrderRecord result;
};

} // namespace oriolerill::requests
