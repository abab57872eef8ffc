#include "distribution/versiontransfer.h"

#include <benchmark/benchmark.h>

namespace oriolerill::distribution {

namespace {

/// Plans the sources of 48 pieces for one agent; the argument is the number of members, in three
/// data centres.
void planSources(benchmark::State &state)
{
    std::vector<PushMember> members(static_cast<std::size_t>(state.range(0)));
    for (std::size_t i = 0; i < members.size(); ++i) {
        members[i].host = "10.0." + std::to_string(i / 256) + '.' + std::to_string(i % 256);
        members[i].dataCentre = domain::DataCentreId("dc" + std::to_string(i % 3));
    }
    PieceManifest manifest{{domain::ModelId("m"), 2}, std::vector<domain::Digest>(48)};
    for (auto _ : state) {
        VersionTransfer transfer(manifest, domain::TimePoint());
        transfer.setSources(std::make_shared<PieceSources>(
                manifest.version, members.front(), members, manifest.pieces.size()));
        benchmark::DoNotOptimize(transfer.next(domain::TimePoint()));
    }
}

BENCHMARK(planSources)->Arg(24)->Arg(510);

} // namespace

} // namespace oriolerill::distribution
