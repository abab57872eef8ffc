#pragma once

#include "domain/strongid.h"
#include "domain/timepoint.h"
#include "routing/endpointinstance.h"
#include "routing/requesttrait.h"

#include <cstdint>
#include <vector>

namespace oriolerill::routing {

/// The process of an engine ended while a request was in progress there whose answer had not begun.
struct EngineCrash
{
    EndpointInstance engine;
    domain::RequestId request;
    /// Traits of the request of which the observer knows no answer.
    std::vector<RequestTrait> traits;
    /// Version of the weights that the engine served; zero when not known.
    std::uint64_t weightsVersion = 0;
    domain::TimePoint at;
};

/// An engine has begun an answer to a request with this trait.
struct AnsweredTrait
{
    RequestTrait trait;
    std::uint64_t weightsVersion = 0;
    domain::TimePoint at;
};

} // namespace oriolerill::routing
