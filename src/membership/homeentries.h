#pragma once

#include "domain/strongid.h"

#include <cstddef>
#include <vector>

namespace oriolerill::membership {

inline constexpr std::size_t HomesPerEndpoint = 2;

/// The entries by falling rank as the endpoint's homes; the first HomesPerEndpoint live ones are
/// its homes. The same in every process.
std::vector<domain::EntryId> rankHomes(
        const domain::EndpointId &endpoint, const std::vector<domain::EntryId> &entries);

/// True when the entry is among the endpoint's homes.
bool isHome(const domain::EntryId &entry, const domain::EndpointId &endpoint,
        const std::vector<domain::EntryId> &entries);

} // namespace oriolerill::membership
