#pragma once

#include "domain/strongid.h"

#include <compare>
#include <cstdint>

namespace oriolerill::routing {

/// One process of an endpoint; a restart may keep the id.
struct EndpointInstance
{
    domain::EndpointId id;
    /// Milliseconds since the Unix epoch; zero when not known.
    std::uint64_t startedAtMs = 0;

    friend auto operator<=>(const EndpointInstance &, const EndpointInstance &) = default;
};

/// An unknown start matches every start.
constexpr bool isSameStart(std::uint64_t one, std::uint64_t other)
{
    return one == other || one == 0 || other == 0;
}

} // namespace oriolerill::routing
