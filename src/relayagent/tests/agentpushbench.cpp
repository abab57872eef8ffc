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

enum class Case { OneVersion, TwoVersions, Outage };

/// The same with the rate of the origin stated, so that its pieces are read by lanes: one version,
/// a second one named 0.8 s after it, or an origin that closes all connections from 0.6 to 6.6 s.
/// The limit is the rest of the copies at the origin's rate after its return, and one copy at a
/// VM's rate; docs/overload.md allows 1.25 of it, and 1.1 copies of each version.
void pushByLanes(benchmark::State &state, Case pushCase)
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
        options.isOriginStated = true;
        options.bound = 8s;
        options.firstPort = 21600;
        AgentFleet fleet(options);
        fleet.sendSubscription();
        fleet.runUntil([] { return false; }, 500ms);
        const double size = static_cast<double>(options.weights.pieces)
                * static_cast<double>(options.weights.pieceSize);
        auto startedAt = domain::TimePoint::clock::now();
        double copies = 1;
        std::uint64_t newest = 2;
        fleet.nameVersion(newest);
        if (pushCase == Case::TwoVersions) {
            fleet.runUntil([] { return false; }, 800ms);
            fleet.nameVersion(++newest);
            copies = 2;
        } else if (pushCase == Case::Outage) {
            fleet.runUntil([] { return false; }, 600ms);
            copies = std::max(0.0, 1 - fleet.origin.copies());
            fleet.origin.isDown = true;
            fleet.runUntil([] { return false; }, 6s);
            fleet.origin.isDown = false;
            startedAt = domain::TimePoint::clock::now();
        }
        const auto isHeld = [&] {
            return std::all_of(fleet.agents.begin(), fleet.agents.end(), [&](const auto &agent) {
                return agent.engine->version() == newest || agent.updater->isNewestComplete();
            });
        };
        if (!fleet.runUntil(isHeld, 60s))
            state.SkipWithError("the newest version is not held everywhere after 60 s");
        const double held = seconds(domain::TimePoint::clock::now() - startedAt);
        const double limit = copies * size / (OriginMbps * BytesPerMegabit)
                + size / (VmMbps * BytesPerMegabit);
        state.SetIterationTime(held);
        state.counters["held_over_limit"] = held / limit;
        state.counters["origin_copies"] = fleet.origin.copies() / static_cast<double>(newest - 1);
        state.counters["wrong_loads"] = fleet.wrongLoads();
    }
}

void lanesBenchmark(benchmark::internal::Benchmark *benchmark)
{
    benchmark->Arg(15)->Arg(51)->Iterations(1)->UseManualTime()->Unit(benchmark::kSecond);
}

BENCHMARK_CAPTURE(pushByLanes, oneVersion, Case::OneVersion)->Apply(lanesBenchmark);
BENCHMARK_CAPTURE(pushByLanes, twoVersions, Case::TwoVersions)->Apply(lanesBenchmark);
BENCHMARK_CAPTURE(pushByLanes, outage, Case::Outage)->Apply(lanesBenchmark);
BENCHMARK(push)->Arg(15)->Arg(51)->Iterations(1)->UseManualTime()->Unit(benchmark::kSecond);

} // namespace

} // namespace oriolerill::relayagent
