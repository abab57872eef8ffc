#pragma once

#include "domain/timepoint.h"

#include <cstddef>
#include <cstdint>
#include <vector>

namespace oriolerill::rollout {

/// A named version that not all VMs hold yet.
struct PendingVersion
{
    std::uint64_t number = 0;
    /// Version bound: from then on, requests are served by this version or a newer one only.
    domain::TimePoint boundAt;
    /// Pieces that no VM of the fleet holds, and that the origin has to send.
    std::size_t missing = 0;
};

struct VersionOrderOptions
{
    /// Time in which the origin's link carries one piece.
    domain::Duration pieceTime = domain::Duration::zero();
    /// From the last piece that leaves the origin until engines serve the version: about 1 s until
    /// all VMs have it, and 2 s until engines have completed their requests and have loaded it.
    domain::Duration spreadTime = std::chrono::milliseconds(3000);
};

/// Order in which the fleet fetches the pending versions.
///
/// Load pattern: versions that are named seconds apart, or during an outage of the origin, compete
/// for its link. They are fetched in the order of their bounds. The oldest are left out if that
/// shortens the time in which no engine has a required version: a newer version serves the
/// requests of an older one too, but not the other way round. Versions that are left out follow at
/// the end. Every VM decides alike from the same input.
std::vector<std::uint64_t> versionOrder(std::vector<PendingVersion> pending,
        const VersionOrderOptions &options, domain::TimePoint now);

} // namespace oriolerill::rollout
