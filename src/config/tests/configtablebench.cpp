#include "config/configtable.h"
#include "config/versiontext.h"

#include <benchmark/benchmark.h>

namespace oriolerill::config {

namespace {

void addLimit(protocol::ConfigDelta &delta, std::uint64_t number, std::uint64_t revision)
{
    protocol::ConfigItem *const item = delta.add_items();
    item->set_kind("limit");
    item->set_name("service-" + std::to_string(number));
    item->mutable_version()->set_revision(revision);
    item->set_json(R"({"maxConcurrency":8,"startConcurrency":2})");
}

protocol::ConfigDelta listOf(std::uint64_t count)
{
    protocol::ConfigDelta delta;
    delta.set_complete(true);
    for (std::uint64_t i = 1; i <= count; ++i)
        addLimit(delta, i, i);
    delta.mutable_watermark()->set_revision(count);
    return delta;
}

void mergeList(benchmark::State &state)
{
    const protocol::ConfigDelta list = listOf(static_cast<std::uint64_t>(state.range(0)));
    for (auto _ : state) {
        ConfigTable table;
        benchmark::DoNotOptimize(table.merge(list));
    }
}

void mergeOneChange(benchmark::State &state)
{
    const auto count = static_cast<std::uint64_t>(state.range(0));
    ConfigTable table;
    table.merge(listOf(count));
    std::uint64_t revision = count;
    for (auto _ : state) {
        protocol::ConfigDelta delta;
        delta.mutable_base()->set_revision(revision);
        ++revision;
        addLimit(delta, revision % count + 1, revision);
        delta.mutable_watermark()->set_revision(revision);
        benchmark::DoNotOptimize(table.merge(delta));
    }
}

void deltaOfOneChange(benchmark::State &state)
{
    const auto count = static_cast<std::uint64_t>(state.range(0));
    ConfigTable table;
    table.merge(listOf(count));
    protocol::ConfigDelta change;
    change.mutable_base()->set_revision(count);
    addLimit(change, 1, count + 1);
    change.mutable_watermark()->set_revision(count + 1);
    table.merge(change);
    for (auto _ : state)
        benchmark::DoNotOptimize(table.deltaSince({0, count}, {}));
}

void buildSnapshot(benchmark::State &state)
{
    ConfigTable table;
    table.merge(listOf(static_cast<std::uint64_t>(state.range(0))));
    for (auto _ : state)
        benchmark::DoNotOptimize(table.buildSnapshot());
}

} // namespace

BENCHMARK(mergeList)->RangeMultiplier(10)->Range(100, 100'000)->Unit(benchmark::kMicrosecond);
BENCHMARK(mergeOneChange)->RangeMultiplier(10)->Range(100, 100'000)->Unit(benchmark::kMicrosecond);
BENCHMARK(deltaOfOneChange)
        ->RangeMultiplier(10)
        ->Range(100, 100'000)
        ->Unit(benchmark::kMicrosecond);
BENCHMARK(buildSnapshot)->RangeMultiplier(10)->Range(100, 100'000)->Unit(benchmark::kMicrosecond);

} // namespace oriolerill::config
