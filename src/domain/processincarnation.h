#pragma once

#include "domain/quantity.h"

namespace oriolerill::domain {

/// A new incarnation for a starting process: wall-clock milliseconds with random low bits, so that
/// two starts within one millisecond still differ.
Incarnation newIncarnation();

} // namespace oriolerill::domain
