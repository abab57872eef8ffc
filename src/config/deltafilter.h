#pragma once

#include "domain/strongid.h"

namespace oriolerill::config {

/// Selects the items that an agent needs; with an empty service it selects all items, for entries.
struct DeltaFilter
{
    domain::ServiceId service;
    domain::DataCentreId dataCentre;

    bool matchesAll() const { return service.isEmpty(); }
};

} // namespace oriolerill::config
