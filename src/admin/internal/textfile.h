#pragma once

#include "domain/expected.h"

#include <string>

namespace oriolerill::admin::internal {

/// The contents of a file; InvalidInput when it cannot be read.
domain::Expected<std::string> readTextFile(const std::string &file);

} // namespace oriolerill::admin::internal
