#pragma once

#include <chrono>

namespace oriolerill::domain {

/// Monotonic time, for deadlines within one process.
using TimePoint = std::chrono::steady_clock::time_point;
/// Calendar time, for records that other processes read.
using WallTime = std::chrono::system_clock::time_point;
using Duration = std::chrono::steady_clock::duration;

} // namespace oriolerill::domain
