#pragma once

#include "config/configsnapshot.h"
#include "membership/membershipsnapshot.h"

#include <cstdint>
#include <map>
#include <string>

namespace oriolerill::rollout {

/// Progress of a rollout in one data centre.
struct DataCentreProgress
{
    std::uint32_t serving = 0;
    /// Endpoints that serve the wanted version; only counted for the own data centre.
    std::uint32_t updated = 0;
    /// Endpoints that switch weights; only counted for the own data centre.
    std::uint32_t switching = 0;
    bool hasWantedVersion = false;
    bool hasOtherVersion = false;
    /// False when the last summary of the data centre is too old.
    bool isFresh = true;

    bool isDone() const { return isFresh && hasWantedVersion && !hasOtherVersion; }
};

enum class RolloutState {
    /// A later rollout of the service applies in every data centre of this rollout.
    Superseded,
    Running,
    Done,
};

std::string toString(RolloutState state);

struct RolloutStatus
{
    domain::RolloutId id;
    RolloutState state = RolloutState::Running;
    std::map<domain::DataCentreId, DataCentreProgress> dataCentres;
};

/// Status of a rollout as known to this entry: exact for its own data centre, from summaries for
/// the others.
RolloutStatus rolloutStatus(const config::Rollout &rollout, const config::ConfigSnapshot &config,
        const membership::MembershipSnapshot &members);

} // namespace oriolerill::rollout
