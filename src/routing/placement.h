#pragma once

#include "domain/strongid.h"

#include <cstdint>
#include <optional>
#include <random>
#include <vector>

namespace oriolerill::routing {

/// An endpoint that may take a request.
struct PlacementCandidate
{
    domain::EndpointId endpoint;
    /// Milliseconds until the request would start there.
    double expectedStartMs = 0;
    bool isLocal = false;
    /// Milliseconds by which answers from another data centre are later than expected.
    double excessMs = 0;
    /// Chance to be drawn among about equal candidates, relative to an endpoint of usual speed.
    double weight = 1;
};

struct PlacementOptions
{
    /// A local endpoint is preferred when it starts at most this much later: the delay that is
    /// about worth the price of a request's traffic between data centres.
    double localAdvantageMs = 40;
    /// Endpoints whose expected start differs by less count as equal, so that entries with the same
    /// reports do not all choose the same endpoint.
    double tieToleranceMs = 15;
};

/// Chooses the endpoint with the earliest expected start.
///
/// In a burst every entry sees the same few free slots. Among candidates that are about equal the
/// choice is random, so that the entries spread.
class Placement
{
public:
    explicit Placement(PlacementOptions options = {});

    /// Index of the chosen candidate; none without candidates.
    std::optional<std::size_t> choose(
            const std::vector<PlacementCandidate> &candidates, std::mt19937_64 &random) const;

private:
    double cost(const PlacementCandidate &candidate) const;

    PlacementOptions m_options;
};

} // namespace oriolerill::routing
