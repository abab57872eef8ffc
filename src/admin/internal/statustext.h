#pragma once

#include "domain/expected.h"

#include <string>
#include <vector>

namespace oriolerill::admin::internal {

/// Merges the status documents of several entries into one text for operators.
///
/// Counts of a data centre come from an entry of that data centre when one has answered.
domain::Expected<std::string> statusText(const std::vector<std::string> &documents);

} // namespace oriolerill::admin::internal
