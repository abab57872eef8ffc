#include "distribution/havemap.h"
#include "distribution/swarmplanner.h"

#include <benchmark/benchmark.h>

#include <chrono>
#include <ctime>
#include <random>
#include <vector>

namespace oriolerill::distribution {

using namespace std::chrono_literals;

/// A tracker in the middle of a push: every agent holds a random half of the chunks.
class PlannerLoad
{
public:
    PlannerLoad(std::size_t endpoints, std::size_t chunks)
        : m_chunks(chunks)
        , m_manifest(domain::Digest::of("bench"))
        , m_planner(options(), m_now)
    {
        m_agents.resize(endpoints);
        m_planner.configure(m_manifest, 0, {{domain::DataCentreId("a-1"), {}}}, m_now);
        for (std::size_t i = 0; i < endpoints; ++i) {
            m_agents[i].have = half();
            report(i);
        }
    }

    /// One report of the next agent, which has completed the fetches of its previous plan.
    std::chrono::duration<double> step()
    {
        m_next = (m_next + 1) % m_agents.size();
        m_now += 200ms / m_agents.size() + 1us;
        Agent &agent = m_agents[m_next];
        for (const std::uint32_t chunk : agent.planned)
            agent.have.set(chunk);
        if (agent.have.isFull()) {
            agent.have = half();
            ++agent.incarnation;
        }
        return report(m_next);
    }

    std::size_t planned() const { return m_planned; }

private:
    struct Agent
    {
        HaveMap have;
        std::uint64_t incarnation = 1;
        std::vector<std::uint32_t> planned;
    };

    static SwarmOptions options()
    {
        SwarmOptions options;
        options.dataCentre = domain::DataCentreId("a-1");
        return options;
    }

    /// Unlike elapsed time, it does not depend on other load on the machine.
    static std::chrono::duration<double> processorTime()
    {
        timespec time = {};
        clock_gettime(CLOCK_THREAD_CPUTIME_ID, &time);
        return std::chrono::seconds(time.tv_sec) + std::chrono::nanoseconds(time.tv_nsec);
    }

    HaveMap half()
    {
        HaveMap have(m_chunks);
        for (std::size_t i = 0; i < m_chunks; ++i) {
            if ((m_random() & 64U) != 0)
                have.set(i);
        }
        return have;
    }

    std::chrono::duration<double> report(std::size_t index)
    {
        Agent &agent = m_agents[index];
        protocol::SwarmReport report;
        report.set_manifest_digest(m_manifest.bytes());
        report.set_chunk_count(static_cast<std::uint32_t>(m_chunks));
        report.set_have(agent.have.toBytes());
        report.mutable_endpoint()->set_id("vm" + std::to_string(index));
        report.mutable_endpoint()->set_incarnation(agent.incarnation);
        report.mutable_endpoint()->set_request_address("vm" + std::to_string(index));
        const std::chrono::duration<double> start = processorTime();
        const protocol::SwarmPlan plan = m_planner.report(report, m_now);
        const std::chrono::duration<double> took = processorTime() - start;
        agent.planned.clear();
        for (const protocol::FetchAssignment &fetch : plan.fetches())
            agent.planned.push_back(fetch.chunk());
        m_planned += agent.planned.size();
        return took;
    }

    std::size_t m_chunks;
    domain::Digest m_manifest;
    domain::TimePoint m_now = domain::TimePoint() + 1h;
    SwarmPlanner m_planner;
    std::minstd_rand m_random;
    std::vector<Agent> m_agents;
    std::size_t m_next = 0;
    std::size_t m_planned = 0;
};

static void planOneReport(benchmark::State &state)
{
    PlannerLoad load(
            static_cast<std::size_t>(state.range(0)), static_cast<std::size_t>(state.range(1)));
    for (auto _ : state)
        state.SetIterationTime(load.step().count());
    state.counters["fetches/report"] = benchmark::Counter(
            static_cast<double>(load.planned()), benchmark::Counter::kAvgIterations);
}

BENCHMARK(planOneReport)
        ->ArgNames({"endpoints", "chunks"})
        ->ArgsProduct({{15, 100, 510, 10000}, {100, 1000, 10000}})
        ->UseManualTime()
        ->MinTime(0.05)
        ->Unit(benchmark::kMicrosecond);

} // namespace oriolerill::distribution
