#pragma once

#include "domain/strongid.h"

#include <cstddef>
#include <cstdint>
#include <optional>
#include <random>
#include <vector>

namespace oriolerill::routing {

/// An endpoint that may take the request.
struct EndpointCandidate
{
    /// xxh64 of the endpoint's id, for affinity.
    std::uint64_t idHash = 0;
    std::uint32_t inFlight = 0;
    std::uint32_t limit = 1;

    bool hasRoom() const { return inFlight < limit; }
};

std::uint64_t endpointHash(const domain::EndpointId &id);

struct EndpointChooserOptions
{
    /// An endpoint keeps its affinity up to this many times the average utilization.
    double affinityBound = 1.25;
};

/// Chooses the endpoint for a request: by affinity while that endpoint is not much busier than the
/// others, so that cached prompt prefixes are reused, else the less busy of two random ones.
class EndpointChooser
{
public:
    explicit EndpointChooser(EndpointChooserOptions options);

    /// Index of the chosen candidate; none when no candidate has room.
    std::optional<std::size_t> choose(const std::vector<EndpointCandidate> &candidates,
            std::optional<std::uint64_t> affinity, std::mt19937_64 &random) const;

private:
    bool isWithinBound(const std::vector<EndpointCandidate> &candidates, std::size_t index) const;

    EndpointChooserOptions m_options;
};

} // namespace oriolerill::routing
