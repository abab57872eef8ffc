#include "requests/slotledger.h"

#include <benchmark/benchmark.h>

#include <map>
#include <queue>
#include <string>

namespace oriolerill::requests {

namespace {

using namespace std::chrono_literals;
using domain::TimePoint;

constexpr auto PlatformLatency = 4ms;
constexpr auto RunTime = 10ms;
constexpr auto SimulatedTime = 120s;

/// Simulates one slot at a constant rate of orders: the platform answers after PlatformLatency and
/// an order runs for RunTime. Counts the writes to the platform.
class SlotLoad
{
public:
    explicit SlotLoad(double ordersPerSecond)
        : m_interval(std::chrono::duration_cast<domain::Duration>(
                std::chrono::duration<double>(1 / ordersPerSecond)))
    {}

    void run()
    {
        at(m_time.now, [this] { nextOrder(); });
        const TimePoint end = m_time.now + SimulatedTime;
        while (m_time.now < end)
            step(end);
    }

    std::uint64_t orders() const { return m_orders; }
    std::uint64_t writes() const { return m_writes; }
    double meanWaitMilliseconds() const { return m_waitMilliseconds / static_cast<double>(m_runs); }

private:
    struct Event
    {
        TimePoint at;
        std::uint64_t order = 0;
        std::function<void()> run;
        bool operator<(const Event &other) const
        {
            return at != other.at ? at > other.at : order > other.order;
        }
    };

    void at(TimePoint time, std::function<void()> run)
    {
        m_events.push({time, ++m_eventCount, std::move(run)});
    }

    void step(TimePoint end)
    {
        const TimePoint tick = m_ledger.nextTick().value_or(end);
        const TimePoint event = m_events.empty() ? end : m_events.top().at;
        const TimePoint next = std::max(m_time.now, std::min(tick, event));
        m_time.wall += std::chrono::duration_cast<domain::WallTime::duration>(next - m_time.now);
        m_time.now = next;
        if (tick < event) {
            carryOut(m_ledger.tick(m_time));
            return;
        }
        if (m_events.empty())
            return;
        const Event due = m_events.top();
        m_events.pop();
        due.run();
    }

    void nextOrder()
    {
        const std::uint64_t ticket = ++m_orders;
        m_beginTimes[ticket] = m_time.now;
        const OrderRequest request{"shop", std::to_string(ticket), 1, m_time.now + 10s, true};
        carryOut(m_ledger.begin(ticket, request, m_time));
        at(m_time.now + m_interval, [this] { nextOrder(); });
    }

    void carryOut(const LedgerActions &actions)
    {
        for (const LedgerAction &action : actions)
            std::visit([this](const auto &typedAction) { carryOut(typedAction); }, action);
    }
    void carryOut(const AppendBatch &append)
    {
        ++m_writes;
        m_numbers.push_back(append.number);
        at(m_time.now + PlatformLatency,
                [this] { carryOut(m_ledger.appended(domain::Done{}, m_time)); });
    }
    void carryOut(const ListBatches &)
    {
        at(m_time.now + PlatformLatency, [this] { carryOut(m_ledger.listed(m_numbers, m_time)); });
    }
    void carryOut(const ReadBatch &) {}
    void carryOut(const RemoveBatch &) {}
    void carryOut(const DecideOrder &decided)
    {
        if (!std::holds_alternative<RunOrder>(decided.decision))
            return;
        ++m_runs;
        const TimePoint beganAt = m_beginTimes[decided.ticket];
        m_waitMilliseconds
                += std::chrono::duration<double, std::milli>(m_time.now - beganAt).count();
        m_beginTimes.erase(decided.ticket);
        at(m_time.now + RunTime, [this, ticket = decided.ticket] {
            OrderEnd end{protocol::OUTCOME_ANSWERED, {}};
            end.result.set_body("placed");
            carryOut(m_ledger.finish("shop", std::to_string(ticket), end, m_time));
        });
    }

    domain::Duration m_interval;
    LedgerTime m_time{TimePoint(1h), domain::WallTime(1h)};
    SlotLedger m_ledger{"agent", domain::Incarnation(1), SlotLedgerOptions()};
    std::priority_queue<Event> m_events;
    std::uint64_t m_eventCount = 0;
    std::vector<std::uint64_t> m_numbers;
    std::map<std::uint64_t, TimePoint> m_beginTimes;
    std::uint64_t m_orders = 0;
    std::uint64_t m_runs = 0;
    std::uint64_t m_writes = 0;
    double m_waitMilliseconds = 0;
};

void writesPerOrder(benchmark::State &state)
{
    double perOrder = 0;
    double perSecond = 0;
    double wait = 0;
    for (auto _ : state) {
        SlotLoad load(static_cast<double>(state.range(0)));
        load.run();
        perOrder = static_cast<double>(load.writes()) / static_cast<double>(load.orders());
        perSecond = static_cast<double>(load.writes())
                / std::chrono::duration<double>(SimulatedTime).count();
        wait = load.meanWaitMilliseconds();
    }
    state.counters["writes/order"] = perOrder;
    state.counters["writes/s"] = perSecond;
    state.counters["wait_ms"] = wait;
}

BENCHMARK(writesPerOrder)
        ->Arg(1)
        ->Arg(10)
        ->Arg(100)
        ->Arg(1000)
        ->Iterations(1)
        ->Unit(benchmark::kMillisecond);

} // namespace

} // namespace oriolerill::requests
