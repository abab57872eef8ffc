#include "domain/rendezvous.h"

#include <xxhash.h>

#include <algorithm>
#include <functional>
#include <utility>

namespace oriolerill::domain {

std::uint64_t rendezvousWeight(std::string_view key, std::string_view member)
{
    const std::uint64_t seed = XXH64(key.data(), key.size(), 0);
    return XXH64(member.data(), member.size(), seed);
}

std::vector<std::string> rendezvousRank(std::string_view key, std::vector<std::string> members)
{
    std::vector<std::pair<std::uint64_t, std::string>> weighted;
    weighted.reserve(members.size());
    for (std::string &member : members) {
        const std::uint64_t weight = rendezvousWeight(key, member);
        weighted.emplace_back(weight, std::move(member));
    }
    std::sort(weighted.begin(), weighted.end(), std::greater<>());
    std::vector<std::string> ranked;
    ranked.reserve(weighted.size());
    for (auto &[weight, member] : weighted)
        ranked.push_back(std::move(member));
    return ranked;
}

} // namespace oriolerill::domain
