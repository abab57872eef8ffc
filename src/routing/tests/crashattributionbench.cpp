#include "routing/crashattribution.h"

#include <benchmark/benchmark.h>

namespace oriolerill::routing {

namespace {

constexpr int KnownParts = 10000;

/// An attribution that knows many answered traits and refuses one.
CrashAttribution attribution()
{
    using namespace std::chrono_literals;
    CrashAttribution crashes;
    domain::TimePoint now{1h};
    for (int i = 0; i < KnownParts; ++i)
        crashes.onAnswerBegun({RequestTrait("trait" + std::to_string(i))}, 1, now);
    for (std::uint64_t i = 1; i <= 3; ++i) {
        now += 200ms;
        crashes.onCrash({{domain::EndpointId("e" + std::to_string(i)), i}, domain::RequestId("r"),
                                {RequestTrait("bad")}, 1, now},
                now);
    }
    return crashes;
}

std::vector<RequestTrait> requestParts(int request)
{
    return {RequestTrait("trait" + std::to_string(request % KnownParts)),
            RequestTrait("trait" + std::to_string(request * 7 % KnownParts)),
            RequestTrait("trait" + std::to_string(request * 13 % KnownParts))};
}

/// What one request with three traits costs: the decision and the note of its answer.
void decideAndAnswer(benchmark::State &state)
{
    CrashAttribution crashes = attribution();
    std::vector<std::vector<RequestTrait>> requests;
    requests.reserve(KnownParts);
    for (int i = 0; i < KnownParts; ++i)
        requests.push_back(requestParts(i));
    const domain::TimePoint now{std::chrono::hours(2)};
    std::size_t next = 0;
    for (auto _ : state) {
        const auto &traits = requests[next++ % requests.size()];
        benchmark::DoNotOptimize(crashes.decide(traits, 1, now));
        benchmark::DoNotOptimize(crashes.onAnswerBegun(traits, 1, now));
    }
}

/// A message with as much evidence as fits.
void applyEvidence(benchmark::State &state)
{
    using namespace std::chrono_literals;
    CrashAttribution sender = attribution();
    domain::TimePoint now{1h};
    for (std::uint64_t i = 10; i < 40; ++i) {
        now += 100ms;
        sender.onCrash({{domain::EndpointId("e" + std::to_string(i)), i}, domain::RequestId("r"),
                               {RequestTrait("x" + std::to_string(i))}, 1, now},
                now);
    }
    const protocol::CrashEvidence message = sender.evidence().encode(now);
    CrashAttribution receiver = attribution();
    for (auto _ : state)
        benchmark::DoNotOptimize(receiver.onEvidence(message, now));
    state.counters["bytes"] = static_cast<double>(message.ByteSizeLong());
}

BENCHMARK(decideAndAnswer);
BENCHMARK(applyEvidence);

} // namespace

} // namespace oriolerill::routing
