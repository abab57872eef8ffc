#pragma once

#include "domain/strongid.h"

#include <cstdint>
#include <map>

namespace oriolerill::rollout {

/// What a model engine says of itself.
struct EngineState
{
    /// An order is in progress.
    bool isBusy = false;
    /// Orders accepted since its start.
    std::uint64_t orders = 0;
    std::uint32_t running = 0;
    std::uint32_t waiting = 0;
    /// Above one when it works slower than its operator states.
    double pace = 1.0;
    /// Version of the whole weights that it serves, by model.
    std::map<domain::ModelId, std::uint64_t> weights;
    /// Start of its process, in milliseconds since the Unix epoch; zero when not told.
    std::uint64_t startedAtMs = 0;
};

} // namespace oriolerill::rollout
