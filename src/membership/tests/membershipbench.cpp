#include "membership/controlschedule.h"
#include "membership/memberinfo.h"
#include "membership/membershiptable.h"

#include <benchmark/benchmark.h>

#include <chrono>

namespace oriolerill::membership {

using namespace std::chrono_literals;
using domain::TimePoint;

namespace {

constexpr int Entries = 36;

EntryRecord entryRecord(int number)
{
    EntryRecord record;
    record.id = domain::EntryId("entry-" + std::to_string(number));
    record.dataCentre = domain::DataCentreId("central-a");
    record.region = domain::RegionId("central");
    record.incarnation = domain::Incarnation(1'764'800'000'000'000'000 + number);
    record.controlAddress = {"10.12.34." + std::to_string(number), 7400};
    record.requestAddress = {"10.12.34." + std::to_string(number), 7300};
    return record;
}

protocol::Heartbeat heartbeat(int number, std::uint64_t sequence)
{
    EndpointRecord record;
    record.id = domain::EndpointId("endpoint-" + std::to_string(number));
    record.dataCentre = domain::DataCentreId("central-a");
    record.service = domain::ServiceId("drafting");
    record.incarnation = domain::Incarnation(1'764'800'000'000'000'000);
    record.sequence = sequence;
    record.state = protocol::ENDPOINT_STATE_SERVING;
    record.requestAddress = {"10.12.35.101", 7300};
    record.controlAddress = {"10.12.35.101", 7400};
    protocol::Heartbeat message;
    *message.mutable_endpoint() = infoFromEndpoint(record);
    message.mutable_endpoint()->set_active_digest(std::string(32, 'd'));
    return message;
}

MembershipTable filledTable(int endpoints)
{
    const TimePoint now(1h);
    MembershipTable table(entryRecord(1), now);
    for (int i = 2; i <= Entries; ++i) {
        protocol::MembershipExchange exchange;
        *exchange.mutable_sender() = infoFromEntry(entryRecord(i));
        table.onExchange(exchange, now);
    }
    protocol::MembershipExchange endpointExchange;
    *endpointExchange.mutable_sender() = infoFromEntry(entryRecord(2));
    for (int i = 0; i < endpoints; ++i)
        *endpointExchange.add_endpoints() = heartbeat(i, 1).endpoint();
    table.onExchange(endpointExchange, now);
    return table;
}

void onHeartbeat(benchmark::State &state)
{
    MembershipTable table = filledTable(static_cast<int>(state.range(0)));
    std::uint64_t sequence = 1;
    for (auto _ : state) {
        const protocol::Heartbeat message = heartbeat(0, ++sequence);
        benchmark::DoNotOptimize(table.onHeartbeat(message, TimePoint(1h)));
    }
    protocol::ControlRequest request;
    *request.mutable_heartbeat() = heartbeat(0, sequence);
    state.counters["request_bytes"] = static_cast<double>(request.ByteSizeLong());
    protocol::ControlReply reply;
    reply.mutable_heartbeat()->set_entry_incarnation(table.self().incarnation.count());
    reply.mutable_heartbeat()->set_next_interval_ms(4000);
    reply.mutable_heartbeat()->set_entries_hash(table.ownEntriesHash());
    state.counters["reply_bytes"] = static_cast<double>(reply.ByteSizeLong());
}

void expireAndPlan(benchmark::State &state)
{
    MembershipTable table = filledTable(static_cast<int>(state.range(0)));
    for (auto _ : state) {
        table.expire(TimePoint(1h));
        benchmark::DoNotOptimize(table.planExchanges(TimePoint(1h)));
    }
}

void snapshot(benchmark::State &state)
{
    const MembershipTable table = filledTable(static_cast<int>(state.range(0)));
    for (auto _ : state)
        benchmark::DoNotOptimize(table.snapshot(TimePoint(1h)));
}

void schedule(benchmark::State &state)
{
    ControlScale scale;
    scale.endpoints = static_cast<std::size_t>(state.range(0));
    scale.entries = scale.endpoints > 100 ? Entries : 3;
    scale.dataCentres = scale.endpoints > 100 ? 19 : 3;
    ControlSchedule plan;
    for (auto _ : state)
        benchmark::DoNotOptimize(plan = planControl(scale));
    state.counters["entry_bytes_per_s"] = entryBytesPerSecond(scale, plan);
    state.counters["heartbeat_ms"]
            = std::chrono::duration<double, std::milli>(plan.heartbeatInterval).count();
}

} // namespace

BENCHMARK(onHeartbeat)->Arg(15)->Arg(526)->Arg(10'000)->Unit(benchmark::kMicrosecond);
BENCHMARK(expireAndPlan)->Arg(15)->Arg(526)->Arg(10'000)->Unit(benchmark::kMicrosecond);
BENCHMARK(snapshot)->Arg(15)->Arg(526)->Arg(10'000)->Unit(benchmark::kMicrosecond);
BENCHMARK(schedule)->Arg(15)->Arg(526)->Arg(10'000);

} // namespace oriolerill::membership
