#include "routing/placement.h"

#include <algorithm>

namespace oriolerill::routing {

Placement::Placement(PlacementOptions options)
    : m_options(options)
{}

double Placement::cost(const PlacementCandidate &candidate) const
{
    const double remoteMs = m_options.localAdvantageMs + candidate.excessMs;
    return candidate.expectedStartMs + (candidate.isLocal ? 0 : remoteMs);
}

std::optional<std::size_t> Placement::choose(
        const std::vector<PlacementCandidate> &candidates, std::mt19937_64 &random) const
{
    if (candidates.empty())
        return std::nullopt;
    double lowest = cost(candidates.front());
    for (const PlacementCandidate &candidate : candidates)
        lowest = std::min(lowest, cost(candidate));
    std::vector<std::size_t> tied;
    std::vector<double> weights;
    bool isWeighted = false;
    for (std::size_t i = 0; i < candidates.size(); ++i) {
        if (cost(candidates[i]) > lowest + m_options.tieToleranceMs)
            continue;
        tied.push_back(i);
        weights.push_back(candidates[i].weight);
        isWeighted = isWeighted || weights.back() != weights.front();
    }
    if (isWeighted) {
        std::discrete_distribution<std::size_t> byWeight(weights.begin(), weights.end());
        return tied[byWeight(random)];
    }
    std::uniform_int_distribution<std::size_t> draw(0, tied.size() - 1);
    return tied[draw(random)];
}

} // namespace oriolerill::routing
