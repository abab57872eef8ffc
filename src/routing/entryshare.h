#pragma once

#include <cstddef>

namespace oriolerill::routing {

/// Number of entries that share a bound, and the rank of this one among them.
struct EntryShare
{
    std::size_t entries = 1;
    std::size_t rank = 0;
};

} // namespace oriolerill::routing
