#include "routing/endpointchooser.h"

#include <xxhash.h>

#include <algorithm>

namespace oriolerill::routing {

namespace {

/// Rendezvous weight of two hashes; the finalizer of SplitMix64.
std::uint64_t mix(std::uint64_t key, std::uint64_t member)
{
    std::uint64_t value = key ^ (member + 0x9e3779b97f4a7c15ULL + (key << 6U) + (key >> 2U));
    value = (value ^ (value >> 30U)) * 0xbf58476d1ce4e5b9ULL;
    value = (value ^ (value >> 27U)) * 0x94d049bb133111ebULL;
    return value ^ (value >> 31U);
}

std::size_t affineIndex(const std::vector<EndpointCandidate> &candidates, std::uint64_t affinity)
{
    std::size_t best = 0;
    std::uint64_t bestWeight = 0;
    for (std::size_t i = 0; i < candidates.size(); ++i) {
        const std::uint64_t weight = mix(affinity, candidates[i].idHash);
        if (i == 0 || weight > bestWeight) {
            best = i;
            bestWeight = weight;
        }
    }
    return best;
}

/// Compares (inFlight + 1) / limit without division.
bool isLessBusy(const EndpointCandidate &a, const EndpointCandidate &b)
{
    return std::uint64_t(a.inFlight + 1) * b.limit < std::uint64_t(b.inFlight + 1) * a.limit;
}

std::size_t lessBusyOfTwo(const std::vector<EndpointCandidate> &candidates, std::mt19937_64 &random)
{
    std::uniform_int_distribution<std::size_t> any(0, candidates.size() - 1);
    const std::size_t first = any(random);
    const std::size_t second = any(random);
    return isLessBusy(candidates[second], candidates[first]) ? second : first;
}

} // namespace

std::uint64_t endpointHash(const domain::EndpointId &id)
{
    return XXH64(id.value().data(), id.value().size(), 0);
}

EndpointChooser::EndpointChooser(EndpointChooserOptions options)
    : m_options(options)
{}

bool EndpointChooser::isWithinBound(
        const std::vector<EndpointCandidate> &candidates, std::size_t index) const
{
    const EndpointCandidate &candidate = candidates[index];
    if (!candidate.hasRoom())
        return false;
    std::uint64_t inFlight = 1;
    std::uint64_t limit = 0;
    for (const EndpointCandidate &other : candidates) {
        inFlight += other.inFlight;
        limit += other.limit;
    }
    const double average = static_cast<double>(inFlight) / static_cast<double>(limit);
    // One request is always within the bound: at low load the average is below one request.
    return candidate.inFlight == 0
            || candidate.inFlight + 1 <= m_options.affinityBound * average * candidate.limit;
}

std::optional<std::size_t> EndpointChooser::choose(const std::vector<EndpointCandidate> &candidates,
        std::optional<std::uint64_t> affinity, std::mt19937_64 &random) const
{
    if (candidates.empty())
        return std::nullopt;
    if (affinity) {
        const std::size_t index = affineIndex(candidates, *affinity);
        if (isWithinBound(candidates, index))
            return index;
    }
    constexpr int Tries = 3;
    for (int i = 0; i < Tries; ++i) {
        const std::size_t index = lessBusyOfTwo(candidates, random);
        if (candidates[index].hasRoom())
            return index;
    }
    const auto leastBusy = std::min_element(candidates.begin(), candidates.end(), isLessBusy);
    if (!leastBusy->hasRoom())
        return std::nullopt;
    return static_cast<std::size_t>(leastBusy - candidates.begin());
}

} // namespace oriolerill::routing
