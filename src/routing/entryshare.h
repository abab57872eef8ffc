#pragma once

#include <cstddef>

namespace oriolerill::routing {

/// How many entries share a bound, and the place of this one in their order.
struct EntryShare
{
    std::size_t entries = 1;
    std::size_t rank = 0;
};

} // namespace oriolerill::routing
