#pragma once

#include <compare>
#include <cstdint>
#include <ostream>

namespace oriolerill::domain {

/// Position of a write in the object API: revisions grow within an epoch of the store.
struct ConfigVersion
{
    std::uint64_t epoch = 0;
    std::uint64_t revision = 0;

    friend auto operator<=>(const ConfigVersion &, const ConfigVersion &) = default;
    friend std::ostream &operator<<(std::ostream &stream, const ConfigVersion &version)
    {
        return stream << version.epoch << '.' << version.revision;
    }
};

} // namespace oriolerill::domain
