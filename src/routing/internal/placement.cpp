#include "routing/placement.h"

#include <algorithm>

namespace oriolerill::routing {

Placement::Placement(PlacementOptions options)
    : m_options(options)
{}

double Placement::cost(const PlacementCandidate &candidate) const
{
    return candidate.expectedStartMs + (candidate.isLocal ? 0 : m_options.localAdvantageMs);
}

std::optional<std::size_t> Placement::choose(
        const std::vector<PlacementCandidate> &candidates, std::mt19937_64 &random) const
{
    if (candidates.empty())
        return std::nullopt;
    double lowest = cost(candidates.front());
    for (const PlacementCandidate &candidate : candidates)
        lowest = std::min(lowest, cost(candidate));
    std::vector<std::size_t> equal;
    for (std::size_t i = 0; i < candidates.size(); ++i) {
        if (cost(candidates[i]) <= lowest + m_options.equalMs)
            equal.push_back(i);
    }
    std::uniform_int_distribution<std::size_t> draw(0, equal.size() - 1);
    return equal[draw(random)];
}

} // namespace oriolerill::routing
