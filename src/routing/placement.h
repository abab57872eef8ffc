#pragma once

#include "domain/strongid.h"

#include <cstdint>
#include <optional>
#include <random>
#include <vector>

namespace oriolerill::routing {

/// An endpoint that may take a request, as the choice sees it.
struct PlacementCandidate
{
    domain::EndpointId endpoint;
    /// Milliseconds until the request would start there.
    double expectedStartMs = 0;
    bool isLocal = false;
};

struct PlacementOptions
{
    /// A local endpoint is taken as long as it starts at most this much later; about the time that
    /// a request is worth against the price of its bytes between data centres.
    double localAdvantageMs = 40;
    /// Endpoints whose start differs by less count as equal, so that entries that see the same
    /// reports do not all send to the same endpoint.
    double equalMs = 15;
};

/// Chooses where a request starts soonest.
///
/// Load pattern: a burst fills all places, and every entry sees the same few free ones. Candidates
/// that are about equal are drawn at random, so that the entries spread.
class Placement
{
public:
    explicit Placement(PlacementOptions options = {});

    /// Position of the chosen candidate; none when there is none.
    std::optional<std::size_t> choose(
            const std::vector<PlacementCandidate> &candidates, std::mt19937_64 &random) const;

private:
    double cost(const PlacementCandidate &candidate) const;

    PlacementOptions m_options;
};

} // namespace oriolerill::routing
