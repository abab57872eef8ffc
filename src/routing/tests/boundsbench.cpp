#include "routing/capacitygrants.h"
#include "routing/endpointlimits.h"

#include <benchmark/benchmark.h>

#include <deque>
#include <random>

// Compares ways to share one bound, a rate that an endpoint names, among entries that each decide
// alone. Each run is 30 s of simulated time and gives the same figures for the same seed: the worst
// 4 s window against the operator's bound, the share of the rate that is used while more is asked
// for, and datagrams for each request. Two in a hundred datagrams are lost, and the process that
// deals, where there is one, is down for 3 s.

namespace oriolerill::routing {

namespace {

using namespace std::chrono_literals;
using domain::Duration;
using domain::TimePoint;

constexpr double PerSecond = 6;
constexpr auto RunTime = 30s;
constexpr auto Step = 10ms;
constexpr double Loss = 0.02;

/// State of one simulated run, shared by the rule and the driver.
struct World
{
    std::size_t entries = 1;
    /// Entries that have requests.
    std::size_t demanding = 1;
    TimePoint now{1h};
    TimePoint begun{1h};
    std::mt19937_64 random{7};
    std::size_t datagrams = 0;

    bool isDealerDown() const { return now >= begun + 10s && now < begun + 13s; }
    /// Sends one datagram; false when it is lost.
    bool deliver()
    {
        ++datagrams;
        return std::uniform_real_distribution<double>(0, 1)(random) >= Loss;
    }
};

/// Today's rule: slots that the entries own in turn by rank, on the time of day.
class SlotsByRank
{
public:
    explicit SlotsByRank(World &world)
        : m_world(world)
        , m_entries(world.entries)
    {
        for (EndpointLimits &entry : m_entries)
            entry.onAnswer(m_instance, PerSecond, world.now, world.now);
    }

    void tick() {}

    bool trySend(std::size_t entry)
    {
        const EntryShare share{m_world.entries, entry};
        if (*m_entries[entry].nextSlot(m_endpoint, share, m_world.now) > m_world.now)
            return false;
        m_entries[entry].onChosen(m_endpoint, share, m_world.now);
        return true;
    }

private:
    const EndpointInstance m_instance{domain::EndpointId("e"), 0};
    const ListedEndpoint m_endpoint{domain::EndpointId("e"), {}, {}, {}};
    World &m_world;
    std::vector<EndpointLimits> m_entries;
};

/// One process deals what comes free each interval by the demand it knows of. What an entry was
/// granted and has not used by the next grant is lost.
class DealtGrants
{
public:
    DealtGrants(World &world, Duration interval, bool areRequestsSent)
        : m_world(world)
        , m_interval(interval)
        , m_areRequestsSent(areRequestsSent)
        , m_grants(7)
        , m_granted(world.entries)
    {}

    void tick()
    {
        if (m_world.now < m_nextAt)
            return;
        m_nextAt = m_world.now + m_interval;
        if (m_world.isDealerDown())
            return;
        constexpr double UsedShare = 0.9;
        const double seconds = std::chrono::duration<double>(m_interval).count();
        std::vector<double> demands(m_world.entries);
        for (std::size_t entry = 0; entry < m_world.demanding; ++entry) {
            // Demand is part of the subscriptions that agents get in any case.
            demands[entry] = !m_areRequestsSent || m_world.deliver() ? 1 : 0;
        }
        const std::vector<std::uint32_t> grants
                = m_grants.split(PerSecond * UsedShare * seconds, demands);
        for (std::size_t entry = 0; entry < m_world.entries; ++entry)
            m_granted[entry] = grants[entry] > 0 && m_world.deliver() ? grants[entry] : 0;
    }

    bool trySend(std::size_t entry)
    {
        if (m_granted[entry] == 0)
            return false;
        --m_granted[entry];
        return true;
    }

private:
    World &m_world;
    Duration m_interval;
    bool m_areRequestsSent;
    CapacityGrants m_grants;
    std::vector<std::uint32_t> m_granted;
    TimePoint m_nextAt{};
};

template<class Rule>
void play(benchmark::State &state, World &world, Rule rule)
{
    std::deque<TimePoint> window;
    std::size_t worst = 0;
    std::size_t sent = 0;
    std::vector<bool> isWaiting(world.demanding);
    for (const TimePoint end = world.begun + RunTime; world.now < end; world.now += Step) {
        rule.tick();
        // Three times the rate is asked for; a caller that was refused has come back by then.
        const double mean = 3 * PerSecond * std::chrono::duration<double>(Step).count();
        for (int i = std::poisson_distribution<int>(mean)(world.random); i > 0; --i) {
            std::uniform_int_distribution<std::size_t> draw(0, world.demanding - 1);
            isWaiting[draw(world.random)] = true;
        }
        for (std::size_t entry = 0; entry < world.demanding; ++entry) {
            if (!isWaiting[entry] || !rule.trySend(entry))
                continue;
            isWaiting[entry] = false;
            ++sent;
            window.push_back(world.now);
            while (window.front() + 4s <= world.now)
                window.pop_front();
            worst = std::max(worst, window.size());
        }
    }
    const double seconds = std::chrono::duration<double>(RunTime).count();
    state.counters["worst_of_bound"] = static_cast<double>(worst) / (PerSecond * 1.5 * 4 + 5);
    state.counters["used_share"] = static_cast<double>(sent) / (PerSecond * seconds);
    state.counters["datagrams_each"]
            = static_cast<double>(world.datagrams) / std::max<double>(static_cast<double>(sent), 1);
}

World worldOf(const benchmark::State &state)
{
    World world;
    world.entries = static_cast<std::size_t>(state.range(0));
    const auto parts = static_cast<std::size_t>(state.range(1));
    world.demanding = parts == 0 ? 1 : std::max<std::size_t>(world.entries / parts, 1);
    return world;
}

void boundsSlotsByRank(benchmark::State &state)
{
    for (auto _ : state) {
        World world = worldOf(state);
        play(state, world, SlotsByRank(world));
    }
}

void boundsGrantsByAgent(benchmark::State &state)
{
    for (auto _ : state) {
        World world = worldOf(state);
        play(state, world, DealtGrants(world, 100ms, false));
    }
}

void boundsOneEntryDeals(benchmark::State &state)
{
    for (auto _ : state) {
        World world = worldOf(state);
        play(state, world, DealtGrants(world, 200ms, true));
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
BENCHMARK(boundsOneEntryDeals)->Apply(sizes);

} // namespace

} // namespace oriolerill::routing
