#pragma once

#include "domain/strongid.h"
#include "domain/timepoint.h"
#include "protocol/control.pb.h"

#include <cstddef>
#include <cstdint>
#include <optional>

namespace oriolerill::routing {

/// A named version of a model's weights.
struct NamedVersion
{
    domain::ModelId model;
    std::uint64_t version = 0;
    /// Earliest time at which any process observed the naming; none when none did.
    std::optional<domain::TimePoint> namedAt;
};

/// Maximum number of versions of a model that processes publish: the bounds of two may be pending
/// at the same time, and a third may be named before they have passed.
constexpr std::size_t MaxPublishedVersions = 3;

/// Clocks differ between VMs, so a message carries the age of the naming instead of its time.
protocol::NamedWeights encodeNamedVersion(const NamedVersion &version, domain::TimePoint now);
NamedVersion decodeNamedVersion(const protocol::NamedWeights &message, domain::TimePoint now);

} // namespace oriolerill::routing
