#include "agentfleet.h"

#include <benchmark/benchmark.h>

#include <algorithm>

namespace oriolerill::relayagent {

using namespace std::chrono_literals;

namespace {

double seconds(domain::Duration duration)
{
    return std::chrono::duration<double>(duration).count();
}

/// One push to the given number of agents in three data centres: 48 pieces as in the site files of
/// the operators' bench, with a tenth of their size and of the link rates there, so that one
/// processor can run all agents. Uploads of the origin and of agents are limited to their link
/// rates but downloads are not, so the times are those of the plan, not of a network.
void push(benchmark::State &state)
{
    constexpr double VmMbps = 0.94;
    constexpr double OriginMbps = 1.5;
    constexpr double BytesPerMegabit = 1e6 / 8;
    constexpr std::size_t DataCentres = 3;
    for (auto _ : state) {
        AgentFleetOptions options;
        options.dataCentres = DataCentres;
        options.agentsPerDataCentre = static_cast<std::size_t>(state.range(0)) / DataCentres;
        options.weights.pieceSize = 4915;
        options.linkMbps = VmMbps;
        options.originMbps = OriginMbps;
        options.bound = 8s;
        options.firstPort = 21400;
        AgentFleet fleet(options);
        fleet.sendSubscription();
        fleet.runUntil([] { return false; }, 500ms);
        const auto startedAt = domain::TimePoint::clock::now();
        fleet.nameVersion(2);
        domain::TimePoint heldAt;
        const auto isServed = [&] {
            const bool isHeld
                    = std::all_of(fleet.agents.begin(), fleet.agents.end(), [](const auto &agent) {
                          return agent.engine->version() == 2 || agent.updater->isNewestComplete();
                      });
            if (isHeld && heldAt == domain::TimePoint())
                heldAt = domain::TimePoint::clock::now();
            return fleet.isServedEverywhere(2);
        };
        if (!fleet.runUntil(isServed, 60s))
            state.SkipWithError("the version is not served everywhere after 60 s");
        const double served = seconds(domain::TimePoint::clock::now() - startedAt);
        const double size = static_cast<double>(options.weights.pieces)
                * static_cast<double>(options.weights.pieceSize);
        const auto count = static_cast<double>(fleet.agents.size());
        // Each VM receives a copy. The VMs together send each piece to all of them but the first.
        const double limit = std::max(size / (OriginMbps * BytesPerMegabit),
                size / (VmMbps * BytesPerMegabit) * std::max(1.0, (count - 1) / count));
        state.SetIterationTime(served);
        state.counters["held_s"] = seconds(heldAt - startedAt);
        state.counters["held_over_limit"] = seconds(heldAt - startedAt) / limit;
        state.counters["served_s"] = served;
        state.counters["origin_copies"] = fleet.origin.copies();
        state.counters["wrong_loads"] = fleet.wrongLoads();
    }
}

BENCHMARK(push)->Arg(15)->Arg(51)->Iterations(1)->UseManualTime()->Unit(benchmark::kSecond);

} // namespace

} // namespace oriolerill::relayagent
