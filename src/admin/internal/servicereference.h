#pragma once

#include "domain/strongid.h"

#include <string>

namespace oriolerill::admin::internal {

/// The service that an item references, from the JSON of its spec; empty when there is none.
domain::ServiceId referencedService(
        const std::string &kind, const std::string &name, const std::string &spec);

} // namespace oriolerill::admin::internal
