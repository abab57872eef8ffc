#pragma once

#include "domain/strongid.h"

#include <cstddef>
#include <vector>

namespace oriolerill::membership {

inline constexpr std::size_t HomesPerEndpoint = 2;

/// The entries in descending rank as homes of the endpoint; the first HomesPerEndpoint live ones
/// are its homes. Every process computes the same order.
std::vector<domain::EntryId> rankHomes(
        const domain::EndpointId &endpoint, const std::vector<domain::EntryId> &entries);

/// True when the entry is one of the endpoint's homes.
bool isHome(const domain::EntryId &entry, const domain::EndpointId &endpoint,
        const std::vector<domain::EntryId> &entries);

} // namespace oriolerill::membership
