#pragma once

#include "domain/strongid.h"

#include <cstdint>
#include <map>

namespace oriolerill::rollout {

/// State that a model engine reports.
struct EngineState
{
    /// An order is in progress.
    bool isBusy = false;
    /// Orders accepted since its start.
    std::uint64_t orders = 0;
    std::uint32_t running = 0;
    std::uint32_t waiting = 0;
    /// Duration of work relative to the operator's figures; above one when the engine is slower.
    double pace = 1.0;
    /// Version of the complete weights that it serves, by model.
    std::map<domain::ModelId, std::uint64_t> weights;
    /// Start of its process, in milliseconds since the Unix epoch; zero when not reported.
    std::uint64_t startedAtMs = 0;
};

} // namespace oriolerill::rollout
