#pragma once

#include "domain/strongid.h"
#include "domain/timepoint.h"
#include "routing/requesttrait.h"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace oriolerill::routing {

/// Properties of a caller's request, decoded once from its head.
struct CallerRequest
{
    /// Chosen by the caller anew for each of its attempts; endpoints echo it.
    domain::RequestId id;
    std::string host;
    /// Without the query.
    std::string path;
    /// Secret that identifies the account; empty if the request has none.
    std::string key;
    /// When the caller stops waiting; none when the request does not state it.
    std::optional<domain::TimePoint> deadline;
    domain::ModelId model;
    std::uint32_t promptTokens = 0;
    std::uint32_t maxAnswerTokens = 0;
    /// The whole request, once the account is known, and the parts of the prompt in order without
    /// the last one, which belongs to this request alone.
    std::vector<RequestTrait> traits;
    /// Id of the last event that the caller received of an earlier answer.
    std::optional<std::string> lastEventId;
};

/// Fields that the entry adds to a request for the chosen endpoint.
struct DispatchHead
{
    domain::EndpointId endpoint;
    /// Time left until the request's deadline.
    std::chrono::milliseconds timeLeft{0};
    /// Account of the caller; empty on public routes.
    domain::AccountId account;
    /// The endpoint refuses the request unless it serves this version of the weights.
    std::optional<std::uint64_t> weightsVersion;
    /// 0 is the most urgent, 9 the least; none leaves the endpoint's default.
    std::optional<std::uint32_t> urgency;
    /// Continues an answer after this event; none keeps what the caller sent.
    std::optional<std::string> lastEventId;
};

/// Load that an endpoint states in an answer.
struct AnswerLoad
{
    std::uint32_t running = 0;
    std::uint32_t waiting = 0;
    std::uint32_t slots = 0;
    /// Present duration of work on the endpoint's VM relative to the usual one, which is 1. None
    /// when the endpoint does not state it.
    std::optional<double> slowness = std::nullopt;
};

/// Contents of the head of an endpoint's answer.
struct AnswerHead
{
    unsigned status = 0;
    domain::RequestId id;
    /// The endpoint states that it has not run the request and never will.
    bool isNotRun = false;
    bool isSigned = false;
    bool isEventStream = false;
    /// The head contains the status line of another answer: it was truncated, and the fields of
    /// both are mixed up.
    bool hasSecondHead = false;
    std::optional<std::uint64_t> weightsVersion;
    std::optional<AnswerLoad> load;
    /// Time after which the endpoint closes the idle connection; none when it does not state it.
    std::optional<std::chrono::seconds> keepAlive;
    /// The endpoint is about to stop and asks for no further requests.
    bool isLeaving = false;
    /// Seconds for which a refusing endpoint asks for no requests; NaN when the value is malformed,
    /// none without one.
    std::optional<double> backoffSeconds;
    /// Rate limit of the endpoint in requests a second, over all entries; NaN when the value is
    /// malformed, none without one.
    std::optional<double> limitPerSecond;

    bool isSuccess() const { return status >= 200 && status < 300; }
};

} // namespace oriolerill::routing
