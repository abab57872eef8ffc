#include "routing/endpointchooser.h"

#include <benchmark/benchmark.h>

#include <string>

namespace oriolerill::routing {

namespace {

/// Choice of an endpoint among those of one data centre, at half load.
void chooseEndpoint(benchmark::State &state)
{
    const auto count = static_cast<std::size_t>(state.range(0));
    std::vector<EndpointCandidate> candidates(count);
    for (std::size_t i = 0; i < count; ++i) {
        candidates[i].idHash = endpointHash(domain::EndpointId("endpoint-" + std::to_string(i)));
        candidates[i].limit = 8;
        candidates[i].inFlight = static_cast<std::uint32_t>(i % 8);
    }
    const EndpointChooser chooser{EndpointChooserOptions()};
    std::mt19937_64 random(1);
    std::uint64_t affinity = 0;
    for (auto _ : state)
        benchmark::DoNotOptimize(chooser.choose(candidates, ++affinity, random));
}

BENCHMARK(chooseEndpoint)->Arg(5)->Arg(50)->Arg(526);

} // namespace

} // namespace oriolerill::routing
