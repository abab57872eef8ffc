#include "relay/tests/relayfixture.h"

#include <benchmark/benchmark.h>

#include <boost/asio/read_until.hpp>

#include <ctime>
#include <future>

namespace oriolerill::relay {

namespace {

constexpr int Callers = 8;
constexpr int Burst = 200;

/// An entry in front of one endpoint; measures the processor time of its I/O thread.
class RelayUnderLoad : public RelayFixture
{
public:
    explicit RelayUnderLoad(ScriptedEndpoint::Script script)
    {
        addEndpoint(std::move(script));
        m_listed.front().slots = Callers;
        start();
    }
    void TestBody() override {}

    /// Sampled only while no request is in progress: an unfinished one would leave its endpoint
    /// blocked in a read.
    double processorSeconds()
    {
        std::optional<double> seconds;
        while (!seconds) {
            std::promise<std::optional<double>> sample;
            boost::asio::post(m_context, [&] {
                timespec time{};
                clock_gettime(CLOCK_THREAD_CPUTIME_ID, &time);
                constexpr double Nano = 1e-9;
                const double now = static_cast<double>(time.tv_sec)
                        + static_cast<double>(time.tv_nsec) * Nano;
                sample.set_value(
                        m_relay.requestsInFlight.empty() ? std::optional(now) : std::nullopt);
            });
            seconds = sample.get_future().get();
        }
        return *seconds;
    }

    /// Sends a burst of requests from all callers over kept-alive connections.
    void burst(const std::string &path, const std::string &end)
    {
        std::vector<std::thread> callers;
        callers.reserve(Callers);
        for (int c = 0; c < Callers; ++c) {
            callers.emplace_back([this, path, end] {
                auto socket = connect();
                for (int i = 0; i < Burst / Callers; ++i) {
                    write(socket, request("GET", path));
                    std::string got;
                    boost::system::error_code code;
                    boost::asio::read_until(socket, boost::asio::dynamic_buffer(got), end, code);
                }
            });
        }
        for (std::thread &caller : callers)
            caller.join();
    }

    static std::string shortAnswer() { return answer("a1", "hello"); }
};

void report(benchmark::State &state, double seconds, int requests)
{
    constexpr double Micro = 1e6;
    state.counters["us_per_request"] = seconds * Micro / requests;
    state.counters["requests_per_core_s"] = requests / seconds;
}

/// Short answers with a length, as from plain services.
void relayBufferedAnswers(benchmark::State &state)
{
    RelayUnderLoad relay([](ScriptedEndpoint::Socket &socket, const std::string &) {
        write(socket, RelayUnderLoad::shortAnswer());
        return true;
    });
    relay.burst("/read/1", "hello");
    const double before = relay.processorSeconds();
    int requests = 0;
    for (auto _ : state) {
        relay.burst("/read/1", "hello");
        requests += Burst;
    }
    report(state, relay.processorSeconds() - before, requests);
}

BENCHMARK(relayBufferedAnswers)->Iterations(20)->Unit(benchmark::kMillisecond);

} // namespace

/// Streams of events that arrive one by one, as from engines; the callers read at once.
void relayStreams(benchmark::State &state)
{
    constexpr int EventCount = 54;
    constexpr std::size_t EventSize = 540;
    RelayUnderLoad relay([](ScriptedEndpoint::Socket &socket, const std::string &) {
        write(socket,
                "HTTP/1.1 200 OK\r\nAttempt-Id: a1\r\nServer-Signature: s\r\n"
                "Content-Type: text/event-stream\r\nContent-Length: "
                        + std::to_string(EventCount * EventSize) + "\r\n\r\n");
        const std::string event = "data: " + std::string(EventSize - 8, 'x') + "\n\n";
        for (int i = 0; i < EventCount; ++i) {
            // Without a pause, one read of the entry takes several events.
            std::this_thread::sleep_for(std::chrono::microseconds(300));
            write(socket, event);
        }
        return true;
    });
    constexpr const char *LastChunk = "\r\n0\r\n\r\n";
    relay.burst("/stream/1", LastChunk);
    const double before = relay.processorSeconds();
    int requests = 0;
    for (auto _ : state) {
        relay.burst("/stream/1", LastChunk);
        requests += Burst;
    }
    report(state, relay.processorSeconds() - before, requests);
}

BENCHMARK(relayStreams)->Iterations(4)->Unit(benchmark::kMillisecond);

} // namespace oriolerill::relay
