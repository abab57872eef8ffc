#include "membership/homeentries.h"

#include "domain/rendezvous.h"

#include <algorithm>

namespace oriolerill::membership {

std::vector<domain::EntryId> rankHomes(
        const domain::EndpointId &endpoint, const std::vector<domain::EntryId> &entries)
{
    std::vector<std::string> names;
    names.reserve(entries.size());
    for (const domain::EntryId &entry : entries)
        names.push_back(entry.value());
    std::vector<domain::EntryId> ranked;
    ranked.reserve(entries.size());
    for (std::string &name : domain::rendezvousRank("home/" + endpoint.value(), std::move(names)))
        ranked.emplace_back(std::move(name));
    return ranked;
}

bool isHome(const domain::EntryId &entry, const domain::EndpointId &endpoint,
        const std::vector<domain::EntryId> &entries)
{
    const std::vector<domain::EntryId> ranked = rankHomes(endpoint, entries);
    const std::size_t count = std::min(HomesPerEndpoint, ranked.size());
    const auto end = ranked.begin() + static_cast<std::ptrdiff_t>(count);
    return std::find(ranked.begin(), end, entry) != end;
}

} // namespace oriolerill::membership
