#include "routing/capacitygrants.h"
#include "routing/endpointlimits.h"

#include <benchmark/benchmark.h>

#include <deque>
#include <random>

// Compares ways to split one rate limit of an endpoint among entries that each decide alone. Each
// run covers 30 s of simulated time and gives the same figures for the same seed: the worst 4 s
// window relative to the operator's bound, the used share of the rate under a higher demand, and
// datagrams for each request. Two in a hundred datagrams are lost, and the process that assigns
// grants, where there is one, is down for 3 s.

namespace oriolerill::routing {

namespace {

using namespace std::chrono_literals;
using domain::Duration;
using domain::TimePoint;

constexpr double PerSecond = 6;
constexpr auto RunTime = 30s;
constexpr auto Step = 10ms;
constexpr double LossRate = 0.02;

/// State of one simulated run, shared by the rule and the driver of the run.
struct Simulation
{
    std::size_t entries = 1;
    /// Entries that have requests.
    std::size_t activeEntries = 1;
    TimePoint now{1h};
    TimePoint startedAt{1h};
    std::mt19937_64 random{7};
    std::size_t datagrams = 0;

    bool isGrantorDown() const { return now >= startedAt + 10s && now < startedAt + 13s; }
    /// Sends one datagram; false when it is lost.
    bool deliver()
    {
        ++datagrams;
        return std::uniform_real_distribution<double>(0, 1)(random) >= LossRate;
    }
};

/// The rule in use: time slots that are assigned to the entries in turn by rank, on the time of
/// day.
class SlotsByRank
{
public:
    explicit SlotsByRank(Simulation &simulation)
        : m_simulation(simulation)
        , m_entries(simulation.entries)
    {
        for (EndpointLimits &entry : m_entries)
            entry.onAnswer(m_instance, PerSecond, simulation.now, simulation.now);
    }

    void tick() {}

    bool trySend(std::size_t entry)
    {
        const EntryShare share{m_simulation.entries, entry};
        if (*m_entries[entry].nextSlot(m_endpoint, share, m_simulation.now) > m_simulation.now)
            return false;
        m_entries[entry].onChosen(m_endpoint, share, m_simulation.now);
        return true;
    }

private:
    const EndpointInstance m_instance{domain::EndpointId("e"), 0};
    const ListedEndpoint m_endpoint{domain::EndpointId("e"), {}, {}, {}};
    Simulation &m_simulation;
    std::vector<EndpointLimits> m_entries;
};

/// One process grants the requests of each interval by the demand that it has received. An entry's
/// grant expires at the next one.
class CentralGrants
{
public:
    CentralGrants(Simulation &simulation, Duration interval, bool isDemandSent)
        : m_simulation(simulation)
        , m_interval(interval)
        , m_isDemandSent(isDemandSent)
        , m_grants(7)
        , m_granted(simulation.entries)
    {}

    void tick()
    {
        if (m_simulation.now < m_nextAt)
            return;
        m_nextAt = m_simulation.now + m_interval;
        if (m_simulation.isGrantorDown())
            return;
        constexpr double UsedShare = 0.9;
        const double seconds = std::chrono::duration<double>(m_interval).count();
        std::vector<double> demands(m_simulation.entries);
        for (std::size_t entry = 0; entry < m_simulation.activeEntries; ++entry) {
            // An agent receives the demand in the subscriptions, without further datagrams.
            demands[entry] = !m_isDemandSent || m_simulation.deliver() ? 1 : 0;
        }
        const std::vector<std::uint32_t> grants
                = m_grants.split(PerSecond * UsedShare * seconds, demands);
        for (std::size_t entry = 0; entry < m_simulation.entries; ++entry)
            m_granted[entry] = grants[entry] > 0 && m_simulation.deliver() ? grants[entry] : 0;
    }

    bool trySend(std::size_t entry)
    {
        if (m_granted[entry] == 0)
            return false;
        --m_granted[entry];
        return true;
    }

private:
    Simulation &m_simulation;
    Duration m_interval;
    bool m_isDemandSent;
    CapacityGrants m_grants;
    std::vector<std::uint32_t> m_granted;
    TimePoint m_nextAt{};
};

template<class Rule>
void simulate(benchmark::State &state, Simulation &simulation, Rule rule)
{
    std::deque<TimePoint> window;
    std::size_t worst = 0;
    std::size_t sent = 0;
    std::vector<bool> isWaiting(simulation.activeEntries);
    for (const TimePoint end = simulation.startedAt + RunTime; simulation.now < end;
            simulation.now += Step) {
        rule.tick();
        // The demand is three times the rate; a refused caller has returned by the next slot.
        const double mean = 3 * PerSecond * std::chrono::duration<double>(Step).count();
        for (int i = std::poisson_distribution<int>(mean)(simulation.random); i > 0; --i) {
            std::uniform_int_distribution<std::size_t> draw(0, simulation.activeEntries - 1);
            isWaiting[draw(simulation.random)] = true;
        }
        for (std::size_t entry = 0; entry < simulation.activeEntries; ++entry) {
            if (!isWaiting[entry] || !rule.trySend(entry))
                continue;
            isWaiting[entry] = false;
            ++sent;
            window.push_back(simulation.now);
            while (window.front() + 4s <= simulation.now)
                window.pop_front();
            worst = std::max(worst, window.size());
        }
    }
    const double seconds = std::chrono::duration<double>(RunTime).count();
    state.counters["worst_of_bound"] = static_cast<double>(worst) / (PerSecond * 1.5 * 4 + 5);
    state.counters["used_share"] = static_cast<double>(sent) / (PerSecond * seconds);
    state.counters["datagrams_each"] = static_cast<double>(simulation.datagrams)
            / std::max<double>(static_cast<double>(sent), 1);
}

Simulation simulationOf(const benchmark::State &state)
{
    Simulation simulation;
    simulation.entries = static_cast<std::size_t>(state.range(0));
    const auto parts = static_cast<std::size_t>(state.range(1));
    simulation.activeEntries
            = parts == 0 ? 1 : std::max<std::size_t>(simulation.entries / parts, 1);
    return simulation;
}

void boundsSlotsByRank(benchmark::State &state)
{
    for (auto _ : state) {
        Simulation simulation = simulationOf(state);
        simulate(state, simulation, SlotsByRank(simulation));
    }
}

void boundsGrantsByAgent(benchmark::State &state)
{
    for (auto _ : state) {
        Simulation simulation = simulationOf(state);
        simulate(state, simulation, CentralGrants(simulation, 100ms, false));
    }
}

void boundsGrantsByOneEntry(benchmark::State &state)
{
    for (auto _ : state) {
        Simulation simulation = simulationOf(state);
        simulate(state, simulation, CentralGrants(simulation, 200ms, true));
    }
}

/// All entries have requests, a third of them, or one (0).
void sizes(benchmark::internal::Benchmark *benchmark)
{
    benchmark->ArgsProduct({{8, 42, 149, 690}, {1, 3, 0}})->ArgNames({"entries", "part"});
    benchmark->Iterations(1);
}

BENCHMARK(boundsSlotsByRank)->Apply(sizes);
BENCHMARK(boundsGrantsByAgent)->Apply(sizes);
BENCHMARK(boundsGrantsByOneEntry)->Apply(sizes);

} // namespace

} // namespace oriolerill::routing
