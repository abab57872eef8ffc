#pragma once

#include "domain/digest.h"
#include "domain/strongid.h"

#include <compare>
#include <cstdint>
#include <vector>

namespace oriolerill::distribution {

/// A numbered version of a model's weights; later versions have higher numbers.
struct WeightsVersion
{
    domain::ModelId model;
    std::uint64_t number = 0;

    friend auto operator<=>(const WeightsVersion &, const WeightsVersion &) = default;
};

/// The pieces of one version, in order.
struct PieceManifest
{
    WeightsVersion version;
    std::vector<domain::Digest> pieces;
};

} // namespace oriolerill::distribution
