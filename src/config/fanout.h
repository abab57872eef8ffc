#pragma once

#include <cstddef>
#include <string>
#include <vector>

namespace oriolerill::config {

/// A subtree of a push: the process that receives it, and those that this process forwards it to.
struct FanOutBranch
{
    std::string receiver;
    std::vector<std::string> forwardTo;
};

inline constexpr std::size_t FanOutArity = 3;

/// Divides the targets into at most FanOutArity subtrees of nearly equal size.
std::vector<FanOutBranch> splitFanOut(const std::vector<std::string> &targets);

} // namespace oriolerill::config
