#pragma once

#include "domain/quantity.h"

namespace oriolerill::domain {

/// Creates the incarnation of a starting process: wall-clock milliseconds with random low bits, so
/// that two starts within one millisecond differ.
Incarnation newIncarnation();

} // namespace oriolerill::domain
