#pragma once

#include "domain/strongid.h"

namespace oriolerill::config {

/// Selects the items that concern an agent; an empty service selects everything, for entries.
struct DeltaFilter
{
    domain::ServiceId service;
    domain::DataCentreId dataCentre;

    bool isEverything() const { return service.isEmpty(); }
};

} // namespace oriolerill::config
