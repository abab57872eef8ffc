#pragma once

#include "domain/strongid.h"
#include "domain/timepoint.h"

#include <cstdint>
#include <optional>
#include <string>

namespace oriolerill::routing {

/// What a caller's request says about itself; decoded once from its head.
struct CallerRequest
{
    /// Chosen by the caller anew for each of its attempts; endpoints echo it.
    domain::RequestId id;
    std::string host;
    /// Without the query.
    std::string path;
    /// Secret that names the account; empty without one.
    std::string key;
    /// How long the caller waits; none when it does not say.
    std::optional<domain::TimePoint> deadline;
    domain::ModelId model;
    std::uint32_t promptTokens = 0;
    std::uint32_t maxAnswerTokens = 0;
    /// Last event that the caller has of an earlier answer.
    std::optional<std::string> lastEventId;
};

/// What the entry adds to a request for the endpoint that it chose.
struct DispatchHead
{
    domain::EndpointId endpoint;
    /// Time that is left of the request's deadline.
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

struct AnswerLoad
{
    std::uint32_t running = 0;
    std::uint32_t waiting = 0;
    std::uint32_t slots = 0;
    /// How long work takes on the endpoint's VM at this moment; 1 as usual. None where the endpoint
    /// does not state it.
    std::optional<double> slowness = std::nullopt;
};

/// What the head of an endpoint's answer says.
struct AnswerHead
{
    unsigned status = 0;
    domain::RequestId id;
    /// The endpoint states that it has not run the request and never will.
    bool isNotRun = false;
    bool isSigned = false;
    bool isEventStream = false;
    /// The head of another answer follows within this one, which was cut: neither can be trusted.
    bool hasSecondHead = false;
    std::optional<std::uint64_t> weightsVersion;
    std::optional<AnswerLoad> load;
    /// Time after which the endpoint closes the idle connection; none when it does not say.
    std::optional<std::chrono::seconds> keepAlive;
    /// The endpoint is about to stop and wants nothing new.
    bool isLeaving = false;
    /// Seconds for which an endpoint that refuses wants no requests; not a number when the value
    /// cannot be read, none without one.
    std::optional<double> backoffSeconds;
    /// Requests a second that the endpoint takes from all entries together; not a number when the
    /// value cannot be read, none without one.
    std::optional<double> limitPerSecond;

    bool isSuccess() const { return status >= 200 && status < 300; }
};

} // namespace oriolerill::routing
