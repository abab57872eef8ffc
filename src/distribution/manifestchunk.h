#pragma once

#include <cstdint>
#include <limits>

namespace oriolerill::distribution {

/// Chunk number that denotes the manifest itself in fetch assignments.
constexpr std::uint32_t ManifestChunk = std::numeric_limits<std::uint32_t>::max();

} // namespace oriolerill::distribution
