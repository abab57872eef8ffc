#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace oriolerill::domain {

/// Weight of a member for a key in rendezvous (highest random weight) hashing.
std::uint64_t rendezvousWeight(std::string_view key, std::string_view member);

/// Members in descending order of rendezvous weight for the key; the order is the same in every
/// process.
std::vector<std::string> rendezvousRank(std::string_view key, std::vector<std::string> members);

} // namespace oriolerill::domain
