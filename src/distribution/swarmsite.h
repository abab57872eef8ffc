#pragma once

#include "domain/strongid.h"

#include <compare>

namespace oriolerill::distribution {

/// A data centre that takes part in the distribution of a version.
struct SwarmSite
{
    domain::DataCentreId dataCentre;
    domain::RegionId region;

    friend auto operator<=>(const SwarmSite &, const SwarmSite &) = default;
};

} // namespace oriolerill::distribution
