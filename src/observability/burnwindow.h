#pragma once

#include <array>
#include <chrono>
#include <string_view>

namespace oriolerill::observability {

/// A span of time up to now over which requests are counted.
struct BurnWindow
{
    std::string_view name;
    std::chrono::minutes length;
};

/// A fast burn is detected in the first two windows, a slow one in the last two.
inline constexpr std::array<BurnWindow, 4> BurnWindows = {{
        {"5m", std::chrono::minutes(5)},
        {"1h", std::chrono::hours(1)},
        {"6h", std::chrono::hours(6)},
        {"3d", std::chrono::hours(72)},
}};

} // namespace oriolerill::observability
