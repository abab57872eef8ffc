#include "config/fanout.h"

namespace oriolerill::config {

std::vector<FanOutBranch> splitFanOut(const std::vector<std::string> &targets)
{
    std::vector<FanOutBranch> branches;
    for (std::size_t i = 0; i < targets.size(); ++i) {
        if (i < FanOutArity)
            branches.push_back({targets[i], {}});
        else
            branches[i % FanOutArity].forwardTo.push_back(targets[i]);
    }
    return branches;
}

} // namespace oriolerill::config
