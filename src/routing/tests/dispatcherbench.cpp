#include "routing/dispatcher.h"

#include <benchmark/benchmark.h>

namespace oriolerill::routing {

namespace {

/// The choice among the engines of one service, which an entry makes for each request.
void choose(benchmark::State &state)
{
    const domain::TimePoint now{std::chrono::hours(1)};
    ServiceSpec service;
    service.id = domain::ServiceId("models");
    service.engine = EngineSpeed{16, 6.73, 0.0219, 30.6, 964, 119};
    Route route;
    route.services = {{service.id, 1}};
    route.objective = std::chrono::milliseconds(400);
    Dispatcher dispatcher({});
    dispatcher.setConfig(std::make_shared<ServingConfig>(
            1, std::vector{route}, std::vector{service}, CallerLimits()));
    std::vector<ListedEndpoint> listed(static_cast<std::size_t>(state.range(0)));
    for (std::size_t i = 0; i < listed.size(); ++i) {
        listed[i].id = domain::EndpointId("engine-" + std::to_string(i));
        listed[i].service = service.id;
        listed[i].weights[domain::ModelId("m")] = 1;
    }
    dispatcher.endpoints().replaceAll(listed, now);
    CallerRequest request;
    request.model = domain::ModelId("m");
    request.promptTokens = 900;
    DispatchQuery query;
    query.route = &route;
    query.request = &request;
    query.service = service.id;
    for (auto _ : state)
        benchmark::DoNotOptimize(dispatcher.choose(query, now));
}

BENCHMARK(choose)->Arg(24)->Arg(526);

} // namespace

} // namespace oriolerill::routing
