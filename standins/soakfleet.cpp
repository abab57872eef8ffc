#include "soakfleet.h"

#include "program.h"
#include "soaktemplate.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

#include <algorithm>
#include <array>
#include <fstream>
#include <iostream>
#include <set>
#include <sstream>

namespace oriolerill::standins {

namespace asio = boost::asio;
namespace json = boost::json;
using domain::SocketAddress;
using domain::TimePoint;
using namespace std::chrono_literals;

namespace {

constexpr unsigned StoreGroup = 0;
constexpr unsigned EntryGroup = 1;
constexpr unsigned EngineGroup = 2;
constexpr unsigned ServiceGroup = 3;
constexpr std::uint16_t StorePort = 8007;
constexpr std::uint16_t OriginPort = 8100;
constexpr std::uint16_t CallerPort = 8005;
constexpr std::uint16_t StatusPort = 8002;
constexpr std::uint16_t EndpointPort = 9000;
constexpr double OriginBytesPerSecond = 2e6;
/// max_conns of each service.
constexpr unsigned MaxConnections = 64;
/// Descriptors for listeners, store calls, files and pieces, beside the connections of callers and
/// endpoints.
constexpr std::size_t OtherDescriptors = 64;
/// Time from the start to the first fault.
constexpr auto FaultFreeStart = 2000ms;
/// Time in which the stand-ins write their first objects.
constexpr auto SetUpTime = 1000ms;
constexpr auto ProcessCheckInterval = 100ms;
constexpr auto ReadyInterval = 1s;
constexpr auto ClockInterval = 50ms;
/// Maximum delay of a timer. Beyond it, the programs see a slow store and slow endpoints, so the
/// stall counts as a fault.
constexpr auto MaxDelay = 250ms;

} // namespace

SoakFleet::SoakFleet(asio::io_context &context, SoakOptions options)
    : m_context(context)
    , m_options(std::move(options))
    , m_random(m_options.seed)
    , m_journal(m_options.seed)
    , m_checks(m_journal)
    , m_store(context, m_journal, m_options.seed)
    , m_origin(context, {host(StoreGroup, 2), OriginPort}, platform::StandInWeights(),
              OriginBytesPerSecond)
    , m_client(context.get_executor(), {})
{}

std::string SoakFleet::host(unsigned group, unsigned number) const
{
    return "127." + std::to_string(m_options.net) + '.' + std::to_string(group) + '.'
            + std::to_string(number);
}

std::string SoakFleet::zoneOf(unsigned number) const
{
    return number % 2 == 0 ? "soak-a" : "soak-b";
}

domain::Duration SoakFleet::drawTime(int fromMs, int toMs)
{
    return std::chrono::milliseconds(std::uniform_int_distribution<int>(fromMs, toMs)(m_random));
}

std::string SoakFleet::settingsFile(const std::string &name, const std::string &role,
        unsigned number, const std::string &address, const std::string &engine) const
{
    const std::chrono::duration<double> graceSeconds = SoakProcess::GraceTime;
    // Fields of the operators' settings page that the templates use.
    const json::object fields = {{"node_name", name}, {"zone", zoneOf(number)},
            {"zones", json::object{{"soak-a", "north"}, {"soak-b", "south"}}}, {"ip", address},
            {"port_range", json::array{7700, 7715}}, {"service", "engine"}, {"app", engine},
            {"listen",
                    json::object{{"frontend", SocketAddress{address, CallerPort}.toString()},
                            {"ready", SocketAddress{address, StatusPort}.toString()}}},
            {"limits", json::object{{"link_mbps", 100}}},
            {"platform",
                    json::object{{"address",
                            SocketAddress{host(StoreGroup, usesSecondStoreAddress(name) ? 3U : 1U),
                                    StorePort}
                                    .toString()}}},
            {"bounds",
                    json::object{{"retry_budget_ratio", "0.2"}, {"retry_budget_extra", 104},
                            {"budget_window_s", 10}, {"cold_overage", "1.5"}, {"cold_slack", 5},
                            {"version_ms", SoakChecks::WeightsBound.count()},
                            {"config_apply_ms", SoakChecks::ConfigBound.count()},
                            {"drain_ms", SoakChecks::DrainBound.count()},
                            {"contact_ms", SoakJournal::ContactTime.count()},
                            {"grace_s", graceSeconds.count()}}}};
    std::ifstream file(m_options.repository + "/platform/" + role + ".ini");
    std::stringstream text;
    text << file.rdbuf();
    std::string path = m_options.output + '/' + name + ".ini";
    std::ofstream(path) << renderTemplate(text.str(), fields);
    return path;
}

void SoakFleet::addProcess(const std::string &name, std::vector<std::string> command)
{
    m_processes.push_back(std::make_unique<SoakProcess>(
            m_journal, name, std::move(command), m_options.output + '/' + name + ".log"));
}

void SoakFleet::addEndpoint(
        const std::string &service, unsigned group, unsigned number, bool isEngine)
{
    SoakEndpointOptions options;
    options.name = service + std::to_string(number);
    options.service = service;
    options.zone = zoneOf(number);
    options.address = {host(group, number), EndpointPort};
    options.isEngine = isEngine;
    m_endpoints.push_back(std::make_unique<SoakEndpoint>(
            m_context, m_journal, m_checks, m_store, options, m_random()));
    m_endpoints.back()->start();
    asio::co_spawn(m_context, m_endpoints.back()->keepRegistered(), asio::detached);
}

json::object SoakFleet::config() const
{
    const auto route = [](const std::string &prefix, const std::string &type, bool isEngine,
                               bool isResumable) {
        const auto limit = std::chrono::duration_cast<std::chrono::milliseconds>(
                SoakAttempt::timeLimit(type == "streaming"));
        return json::object{{"name", prefix}, {"host", "soak.example"}, {"path_prefix", prefix},
                {"type", type}, {"service", isEngine ? "engine" : "plain"},
                {"timeout_ms", limit.count()}, {"target_latency_ms", 500}, {"target_gap_ms", 500},
                {"max_attempts", 3}, {"priority", isEngine && isResumable ? 2 : 1},
                {"public", !isEngine}, {"resumable", isResumable}, {"sticky", isEngine}};
    };
    json::array routes = {route("/read/", "idempotent", false, false),
            route("/order/", "non_idempotent", false, false),
            route("/talk/", "streaming", true, false), route("/resume/", "streaming", true, true)};
    for (const std::uint64_t version : m_configVersions)
        routes.push_back(route("/c" + std::to_string(version) + '/', "idempotent", false, false));
    for (unsigned i = 0; i < m_unusedRoutes; ++i)
        routes.push_back(route("/unused" + std::to_string(i) + '/', "idempotent", false, false));
    const json::object engine = {{"slots", 8}, {"step_ms", 20}, {"per_seq_ms", 0.02},
            {"read_per_s", 30600}, {"usual", json::object{{"prompt", 100}, {"answer", 40}}},
            {"layers", 16}, {"chunk_bytes", platform::StandInWeights().pieceSize},
            {"models", json::array{json::object{{"name", platform::StandInWeights().model}}}}};
    return {{"version", m_configVersions.back()}, {"routes", std::move(routes)},
            {"services",
                    json::array{json::object{{"name", "plain"}, {"health_path", "/healthz"},
                                        {"max_conns", MaxConnections}},
                            json::object{{"name", "engine"}, {"health_path", "/healthz"},
                                    {"max_conns", MaxConnections}, {"cold_per_s", 30},
                                    {"engine", engine}},
                            json::object{{"name", "weights"},
                                    {"origin",
                                            SocketAddress{host(StoreGroup, 2), OriginPort}
                                                    .toString()},
                                    {"link_mbps", 16}, {"max_conns", 8}}}},
            {"limits",
                    json::object{{"max_header_bytes", 16384}, {"max_body_bytes", 1048576},
                            {"header_timeout_ms", 5000}, {"idle_timeout_ms", 10000}}},
            {"tenants",
                    json::array{json::object{
                            {"name", "shop"}, {"api_keys", json::array{"key-of-shop"}}}}}};
}

void SoakFleet::writeConfig()
{
    const std::uint64_t step = 1 + m_random() % 3;
    m_configVersions.push_back(m_configVersions.empty() ? 1 : m_configVersions.back() + step);
    m_config = config();
    m_store.put("config", "main", m_config);
    m_checks.onConfig(m_configVersions.back());
}

void SoakFleet::writeWeights()
{
    m_store.put("versions", platform::StandInWeights().model,
            {{"model", platform::StandInWeights().model}, {"version", m_weights}});
    m_checks.onWeights(m_weights);
}

void SoakFleet::writeEvacuation(const std::string &zone, bool isWithdrawn)
{
    if (isWithdrawn) {
        m_withdrawnZones.insert(zone);
        m_store.put("evacuations", zone, {});
        m_checks.onEvacuation(zone, true);
    } else {
        m_withdrawnZones.erase(zone);
        m_checks.onEvacuation(zone, false);
        m_store.remove("evacuations", zone);
    }
}

void SoakFleet::writeOddObjects()
{
    // Enough to fill a page wherever the list's pages begin.
    constexpr std::size_t Objects = 2 * SoakStore::PageSize;
    for (const char *kind : {"config", "versions", "evacuations", "servers"}) {
        for (std::size_t i = 0; i < Objects; ++i)
            m_store.put(kind, "i#odd &%+" + std::to_string(i), {{"zone", i}});
    }
}

void SoakFleet::start()
{
    if (const auto started
            = m_store.start({host(StoreGroup, 1), StorePort}, {host(StoreGroup, 3), StorePort});
            !started)
        throw std::runtime_error(started.error().message);
    writeOddObjects();
    writeConfig();
    writeWeights();
    for (unsigned i = 1; i <= m_options.services; ++i)
        addEndpoint("plain", ServiceGroup, i, false);
    for (unsigned i = 1; i <= m_options.engines; ++i) {
        addEndpoint("engine", EngineGroup, i, true);
        const std::string name = "agent" + std::to_string(i);
        const std::string address = host(EngineGroup, i);
        addProcess(name,
                {m_options.programs + "/oriolerill-agent", "--relay", "--settings",
                        settingsFile(name, "agent", i, address,
                                SocketAddress{address, EndpointPort}.toString())});
    }
    for (unsigned i = 1; i <= m_options.entries; ++i) {
        const std::string name = "entry" + std::to_string(i);
        const std::string address = host(EntryGroup, i);
        addProcess(name,
                {m_options.programs + "/oriolerill", "relay", "--settings",
                        settingsFile(name, "entry", i, address, "")});
        auto entry = std::make_unique<SoakEntry>();
        entry->process = m_processes.back().get();
        entry->caller = {address, CallerPort};
        entry->status = {address, StatusPort};
        m_entries.push_back(std::move(entry));
    }
    m_until = TimePoint::clock::now() + m_options.time;
    for (const auto &process : m_processes) {
        process->start();
        m_journal.pastFault(process->name(), TimePoint::clock::now());
    }
    for (const auto &entry : m_entries) {
        asio::co_spawn(m_context, pollReadiness(*entry), asio::detached);
        m_clients.push_back(std::make_unique<SoakClient>(
                m_journal, m_checks, "probe-" + entry->process->name(), m_random(),
                [entry = entry.get()] { return entry; }, true));
    }
    for (unsigned i = 0; i < m_options.clients; ++i) {
        m_clients.push_back(std::make_unique<SoakClient>(
                m_journal, m_checks, "client" + std::to_string(i), m_random(),
                [this] { return chooseEntry(); }, false));
    }
    for (const auto &client : m_clients)
        asio::co_spawn(m_context, client->run(m_until), asio::detached);
    for (Series &series : chosenSeries()) {
        m_journal.log("series " + series.name);
        asio::co_spawn(m_context, repeat(std::move(series), m_random()), asio::detached);
    }
    asio::co_spawn(m_context, checkProcesses(), asio::detached);
    asio::co_spawn(m_context, detectStalls(), asio::detached);
}

bool SoakFleet::finish()
{
    m_checks.checkServed();
    for (const auto &process : m_processes) {
        process->end();
        m_journal.log(process->name() + " lives=" + std::to_string(process->incarnation())
                + " peak_kib=" + std::to_string(process->peakKilobytes())
                + " peak_descriptors=" + std::to_string(process->peakDescriptors()));
    }
    m_journal.log(m_checks.summary());
    std::cout << "soak seed=" << m_options.seed << " faults=" << m_journal.faults()
              << " stalls=" << m_stalls << " violations=" << m_journal.violations()
              << (m_journal.violations() == 0 ? " ok" : " FAILED") << "; " << m_checks.inForce()
              << std::endl;
    return m_journal.violations() == 0;
}

SoakEntry *SoakFleet::chooseEntry()
{
    std::vector<SoakEntry *> ready;
    for (const auto &entry : m_entries) {
        if (entry->isInRotation)
            ready.push_back(entry.get());
    }
    if (ready.empty()) {
        for (const auto &entry : m_entries)
            ready.push_back(entry.get());
    }
    return ready[m_random() % ready.size()];
}

/// Polls each second, as a load balancer does: two failures in succession take the entry out of
/// rotation, one success puts it back.
asio::awaitable<void> SoakFleet::pollReadiness(SoakEntry &entry)
{
    int misses = 2;
    for (;;) {
        transport::HttpRequest request;
        request.target = "/-/readyz";
        const TimePoint begun = TimePoint::clock::now();
        const auto answer = co_await m_client.send(
                entry.status, std::move(request), begun + ReadyInterval, true);
        misses = answer && answer->status == 200 ? 0 : misses + 1;
        const bool isIn = misses < 2;
        if (isIn != entry.isInRotation)
            m_journal.log(entry.process->name() + (isIn ? " in rotation" : " out of rotation"));
        entry.isInRotation = isIn;
        co_await sleepUntil(begun + ReadyInterval);
    }
}

asio::awaitable<void> SoakFleet::checkProcesses()
{
    const std::size_t limit
            = m_clients.size() + m_endpoints.size() * MaxConnections + OtherDescriptors;
    for (;;) {
        for (const auto &process : m_processes)
            process->check(limit);
        co_await sleepFor(ProcessCheckInterval);
    }
}

asio::awaitable<void> SoakFleet::detectStalls()
{
    for (;;) {
        const TimePoint begun = TimePoint::clock::now();
        co_await sleepFor(ClockInterval);
        if (TimePoint::clock::now() < begun + ClockInterval + MaxDelay)
            continue;
        ++m_stalls;
        m_journal.log("the event loop of the stand-ins stalled");
        m_journal.pastFault("store-answers", begun);
        for (const auto &process : m_processes)
            m_journal.pastFault(process->name(), begun);
    }
}

asio::awaitable<void> SoakFleet::repeat(Series series, std::uint64_t seed)
{
    std::mt19937_64 random(seed);
    const auto maxPause
            = std::chrono::duration_cast<std::chrono::milliseconds>(series.pause).count();
    std::uniform_int_distribution<std::int64_t> pause(maxPause / 10, maxPause);
    co_await sleepFor(FaultFreeStart);
    for (;;) {
        const std::chrono::milliseconds time(pause(random));
        co_await sleepFor(time);
        co_await series.task();
    }
}

template<class Part, class Action>
asio::awaitable<void> SoakFleet::runAtIdle(std::vector<Part *> parts, Action action)
{
    std::erase_if(parts, [](const Part *part) { return part->isBusy; });
    if (parts.empty())
        co_return;
    Part &part = *parts[m_random() % parts.size()];
    part.isBusy = true;
    co_await action(part);
    part.isBusy = false;
}

std::vector<SoakProcess *> SoakFleet::processesNamed(const std::string &prefix)
{
    std::vector<SoakProcess *> found;
    for (const auto &process : m_processes) {
        if (process->name().starts_with(prefix))
            found.push_back(process.get());
    }
    return found;
}

std::vector<SoakEndpoint *> SoakFleet::endpoints()
{
    std::vector<SoakEndpoint *> all;
    for (const auto &endpoint : m_endpoints)
        all.push_back(endpoint.get());
    return all;
}

SoakEndpoint &SoakFleet::endpointNamed(const std::string &name)
{
    return **std::find_if(m_endpoints.begin(), m_endpoints.end(),
            [&name](const auto &endpoint) { return endpoint->name() == name; });
}

std::vector<SoakFleet::Series> SoakFleet::processSeries()
{
    std::vector<Series> series;
    for (const std::string prefix : {"entry", "agent"}) {
        series.push_back({prefix + "-kill", 4s, [this, prefix] {
                              return runAtIdle(
                                      processesNamed(prefix), [this](SoakProcess &process) {
                                          return process.killAndRestart(drawTime(300, 2000));
                                      });
                          }});
        series.push_back({prefix + "-stop", 3s, [this, prefix] {
                              return runAtIdle(
                                      processesNamed(prefix), [this](SoakProcess &process) {
                                          return process.stopAndRestart(drawTime(300, 2000));
                                      });
                          }});
        series.push_back({prefix + "-freeze", 4s, [this, prefix] {
                              return runAtIdle(
                                      processesNamed(prefix), [this](SoakProcess &process) {
                                          return process.freeze(drawTime(1000, 6000));
                                      });
                          }});
    }
    series.push_back({"entry-stop-pair", 5s, [this] { return stopPair(); }});
    series.push_back({"engine-late-order", 3s, [this]() -> asio::awaitable<void> {
                          const unsigned engine
                                  = 1 + static_cast<unsigned>(m_random() % m_options.engines);
                          endpointNamed("engine" + std::to_string(engine))
                                  .acceptNextOrderLate(drawTime(500, 4500));
                          co_return;
                      }});
    series.push_back({"agent-freeze-after-check", 2500ms, [this]() -> asio::awaitable<void> {
                          freezeAfterCheck(
                                  1 + static_cast<unsigned>(m_random() % m_options.engines));
                          co_return;
                      }});
    return series;
}

asio::awaitable<void> SoakFleet::stopAfter(SoakProcess &process, domain::Duration delay)
{
    co_await sleepFor(delay);
    co_await process.stopAndRestart(drawTime(300, 2000));
    process.isBusy = false;
}

asio::awaitable<void> SoakFleet::stopPair()
{
    std::vector<SoakProcess *> idle = processesNamed("entry");
    std::erase_if(idle, [](const SoakProcess *process) { return process->isBusy; });
    constexpr std::size_t Pair = 2;
    if (idle.size() < Pair)
        co_return;
    std::shuffle(idle.begin(), idle.end(), m_random);
    idle.resize(Pair);
    for (SoakProcess *process : idle)
        process->isBusy = true;
    const domain::Duration delay
            = m_random() % 2 == 0 ? domain::Duration::zero() : drawTime(0, 300);
    asio::co_spawn(m_context, stopAfter(*idle.back(), delay), asio::detached);
    co_await stopAfter(*idle.front(), domain::Duration::zero());
    while (idle.back()->isBusy)
        co_await sleepFor(ProcessCheckInterval);
}

asio::awaitable<void> SoakFleet::silenceEngines()
{
    // With the longest time between two events less than 2 s, after which clients leave.
    const domain::Duration time = drawTime(1200, 1800);
    const TimePoint until = TimePoint::clock::now() + time;
    m_journal.log("all engines send nothing for "
            + std::to_string(std::chrono::duration<double>(time).count()) + " s");
    for (const std::unique_ptr<SoakEndpoint> &endpoint : m_endpoints) {
        if (endpoint->options().isEngine)
            endpoint->silenceStreamsUntil(until);
    }
    co_await sleepUntil(until);
}

asio::awaitable<void> SoakFleet::delayLinks(bool areDisrupted)
{
    const domain::Duration time = drawTime(2000, 5000);
    for (const std::unique_ptr<SoakEndpoint> &endpoint : m_endpoints) {
        if (endpoint->options().isEngine && m_random() % 2 == 0)
            asio::co_spawn(m_context,
                    endpoint->delayArrivals(drawTime(300, 2500), time, areDisrupted),
                    asio::detached);
    }
    co_await sleepFor(time);
}

void SoakFleet::freezeAfterCheck(unsigned engine)
{
    const std::string number = std::to_string(engine);
    SoakProcess &agent = *processesNamed("agent" + number).front();
    endpointNamed("engine" + number).corruptAfterNextCheck([this, &agent] {
        if (agent.isBusy)
            return;
        agent.isBusy = true;
        const auto freeze = [this, &agent]() -> asio::awaitable<void> {
            // Longer than the platform tolerates between the corruption of a piece and its load.
            co_await agent.freeze(drawTime(3200, 5000));
            agent.isBusy = false;
        };
        asio::co_spawn(m_context, freeze, asio::detached);
    });
}

std::vector<SoakFleet::Series> SoakFleet::storeSeries()
{
    using Fault = SoakStore::Fault;
    std::vector<Series> series;
    const auto add = [&](const std::string &name, Fault fault) {
        series.push_back({"store-" + name, 5s, [this, fault]() -> asio::awaitable<void> {
                              // One fault at a time: the store holds a single fault state.
                              if (!m_store.isFailing())
                                  co_await m_store.fail(fault, drawTime(500, 6000));
                          }});
    };
    add("refuse", Fault::Refusing);
    add("down", Fault::Resetting);
    add("silent", Fault::Unresponsive);
    add("slow", Fault::Slow);
    add("lost", Fault::AnswersLost);
    series.push_back(
            {"store-silent-to-publishers", 4s, [this] { return silenceStoreForPublishers(); }});
    series.push_back({"store-restore", 8s, [this] { return restoreStore(); }});
    series.push_back({"store-forget", 3s, [this]() -> asio::awaitable<void> {
                          m_store.discardHistory();
                          co_return;
                      }});
    series.push_back({"watch-cut", 1s, [this] { return cutWatches(); }});
    series.push_back({"store-reset", 3s, [this]() -> asio::awaitable<void> {
                          m_store.resetConnections();
                          co_return;
                      }});
    return series;
}

asio::awaitable<void> SoakFleet::failFor(
        SoakEndpoint &endpoint, SoakEndpoint::Fault fault, domain::Duration time)
{
    endpoint.isBusy = true;
    co_await endpoint.injectFault(fault, time);
    endpoint.isBusy = false;
}

std::vector<SoakFleet::Series> SoakFleet::endpointSeries()
{
    using Fault = SoakEndpoint::Fault;
    std::vector<Series> series;
    const auto add = [&](const std::string &name, domain::Duration pause, auto action) {
        series.push_back({"endpoint-" + name, pause,
                [this, action] { return runAtIdle(endpoints(), action); }});
    };
    add("drain", 2500ms, [this](SoakEndpoint &endpoint) {
        return endpoint.drainAndRestart(drawTime(500, 4000), drawTime(500, 2500));
    });
    add("remove", 2500ms, [this](SoakEndpoint &endpoint) {
        return endpoint.drainAndRestart(drawTime(500, 4000), drawTime(500, 2500), false);
    });
    add("limit", 2s, [this](SoakEndpoint &endpoint) {
        return endpoint.announceLimit(
                std::uniform_real_distribution<double>(0.5, 6)(m_random), drawTime(5000, 12000));
    });
    add("leave", 4s, [this](SoakEndpoint &endpoint) {
        return endpoint.announceLeavingAndRestart(drawTime(1500, 4000), drawTime(500, 2500));
    });
    add("quiet", 3s, [this](SoakEndpoint &endpoint) {
        return endpoint.requestBackoff(drawTime(1500, 4000));
    });
    add("crash", 3s, [this](SoakEndpoint &endpoint) {
        return endpoint.crashAndRestart(drawTime(200, 4000));
    });
    series.push_back({"engine-silence", 5s, [this] { return silenceEngines(); }});
    series.push_back({"link-disrupted", 8s, [this] { return delayLinks(true); }});
    series.push_back({"link-full", 3s, [this] { return delayLinks(false); }});
    series.push_back({"endpoint-poison", 3s, [this]() -> asio::awaitable<void> {
                          constexpr std::uint64_t MaxOneIn = 40;
                          const TimePoint until = TimePoint::clock::now() + drawTime(8000, 12000);
                          m_checks.poison().beginPart(3 + m_random() % MaxOneIn, until);
                          co_await sleepUntil(until);
                      }});
    series.push_back({"endpoint-fatal-request", 3s, [this]() -> asio::awaitable<void> {
                          constexpr std::uint64_t MaxOneIn = 60;
                          constexpr std::array Kinds{
                                  SoakKind::Read, SoakKind::Order, SoakKind::ResumableStream};
                          const TimePoint until = TimePoint::clock::now() + drawTime(8000, 12000);
                          const SoakKind kind = Kinds.at(m_random() % Kinds.size());
                          m_checks.poison().beginRequest(kind, 5 + m_random() % MaxOneIn, until);
                          co_await sleepUntil(until);
                      }});
    const auto addFault = [&](const std::string &name, Fault fault) {
        add(name, 2500ms, [this, fault](SoakEndpoint &endpoint) {
            return endpoint.injectFault(fault, drawTime(500, 4000));
        });
    };
    addFault("late", Fault::Late);
    addFault("cut", Fault::Cut);
    addFault("extra", Fault::Extra);
    addFault("endless", Fault::Endless);
    series.push_back(
            {"endpoint-failures", 2500ms, [this]() -> asio::awaitable<void> {
                 const domain::Duration time = drawTime(2000, 5000);
                 for (const std::unique_ptr<SoakEndpoint> &endpoint : m_endpoints) {
                     const Fault fault = m_random() % 2 == 0 ? Fault::Failure : Fault::Cut;
                     if (!endpoint->isBusy)
                         asio::co_spawn(m_context, failFor(*endpoint, fault, time), asio::detached);
                 }
                 co_await sleepFor(time);
             }});
    return series;
}

bool SoakFleet::usesSecondStoreAddress(const std::string &entry)
{
    return entry == "entry1" || entry == "entry2" || entry == "entry3" || entry == "entry4";
}

asio::awaitable<void> SoakFleet::silenceStoreForPublishers()
{
    std::vector<SoakProcess *> silenced = processesNamed("entry");
    std::erase_if(silenced,
            [](const SoakProcess *process) { return !usesSecondStoreAddress(process->name()); });
    for (const SoakProcess *process : silenced)
        m_journal.beginFault(process->name(), "gets no answer from the store");
    co_await m_store.silenceSecondAddress(drawTime(2000, 6000));
    for (const SoakProcess *process : silenced)
        m_journal.endFault(process->name());
}

asio::awaitable<void> SoakFleet::cutWatches()
{
    constexpr std::array Kinds{platform::names::ConfigKind, platform::names::ServersKind,
            platform::names::EvacuationsKind, platform::names::VersionsKind};
    co_await sleepFor(drawTime(0, 1500));
    std::set<std::string> cut;
    for (const std::string_view kind : Kinds) {
        if (m_random() % 2 == 0)
            cut.emplace(kind);
    }
    m_store.cutWatches(cut);
}

asio::awaitable<void> SoakFleet::restoreStore()
{
    constexpr int MinAgeMs = 3000;
    constexpr int MaxAgeMs = 12000;
    // No copy is older than the first second, in which the fleet is set up.
    const TimePoint oldest = m_until - m_options.time + SetUpTime;
    co_await sleepUntil(oldest + std::chrono::milliseconds(MinAgeMs));
    const domain::Duration age = drawTime(MinAgeMs, MaxAgeMs);
    const domain::Duration awayTime = drawTime(300, 2000);
    // One fault at a time, as for the other faults of the store.
    if (m_store.isFailing())
        co_return;
    const std::uint64_t lostRevision = m_store.revision();
    co_await m_store.restoreOlderCopy(std::min(age, TimePoint::clock::now() - oldest), awayTime);
    const json::object *config = m_store.find("config", "main");
    const json::object *weights = m_store.find("versions", platform::StandInWeights().model);
    m_checks.onRestore(config == nullptr ? 0 : config->at("version").to_number<std::uint64_t>(),
            weights == nullptr ? 0 : weights->at("version").to_number<std::uint64_t>(),
            m_store.names("evacuations"));
    // An entry that takes a revision that is given out again for the one that it knows stays behind
    // until the next change of the kind.
    m_operatorPausedUntil = TimePoint::clock::now() + drawTime(5000, 9000);
    if (m_store.revision() < lostRevision) {
        // In half of the returns the last of them gets the newest revision that was lost.
        const std::uint64_t lost = lostRevision - m_store.revision();
        const std::uint64_t count = m_random() % 2 == 0 ? lost : m_random() % (lost + 1);
        for (std::uint64_t i = 0; i < count && m_store.isAccepting(); ++i) {
            writeConfig();
            co_await sleepFor(drawTime(10, 100));
        }
    }
    co_await rewriteLost();
}

asio::awaitable<void> SoakFleet::rewriteLost()
{
    co_await sleepFor(drawTime(500, 900));
    co_await waitForStore();
    const json::object *config = m_store.find("config", "main");
    if (config == nullptr || *config != m_config) {
        m_store.put("config", "main", m_config);
        m_checks.onConfig(m_configVersions.back());
    }
    co_await sleepFor(drawTime(0, 300));
    co_await waitForStore();
    const json::object *weights = m_store.find("versions", platform::StandInWeights().model);
    if (weights == nullptr || weights->at("version").to_number<std::uint64_t>() != m_weights)
        writeWeights();
    co_await sleepFor(drawTime(0, 300));
    co_await waitForStore();
    for (const std::string &zone : {zoneOf(0), zoneOf(1)}) {
        const bool isWithdrawn = m_withdrawnZones.count(zone) > 0;
        if (isWithdrawn != (m_store.find("evacuations", zone) != nullptr))
            writeEvacuation(zone, isWithdrawn);
    }
}

asio::awaitable<void> SoakFleet::growConfig()
{
    constexpr unsigned MinRoutes = 800;
    constexpr unsigned MaxRoutes = 1600;
    m_unusedRoutes = MinRoutes + static_cast<unsigned>(m_random()) % (MaxRoutes - MinRoutes);
    constexpr int Changes = 3;
    for (int i = 0; i < Changes; ++i) {
        co_await waitForOperator();
        writeConfig();
        co_await sleepFor(drawTime(100, 1600));
    }
    m_unusedRoutes = 0;
}

asio::awaitable<void> SoakFleet::stopOrKill(SoakProcess &process, domain::Duration pause)
{
    if (m_random() % 2 == 0)
        co_await process.stopAndRestart(pause);
    else
        co_await process.killAndRestart(pause);
    process.isBusy = false;
}

asio::awaitable<void> SoakFleet::nameWeightsTwice()
{
    // The bound of a version that is named earlier counts from when the store is stable.
    co_await sleepUntil(m_until - m_options.time + SoakJournal::ContactTime);
    co_await waitForOperator();
    std::vector<SoakProcess *> agents = processesNamed("agent");
    std::erase_if(agents, [](const SoakProcess *process) { return process->isBusy; });
    std::shuffle(agents.begin(), agents.end(), m_random);
    agents.resize((agents.size() + 1) / 2);
    for (SoakProcess *agent : agents) {
        agent->isBusy = true;
        asio::co_spawn(m_context, stopOrKill(*agent, drawTime(9000, 14000)), asio::detached);
    }
    m_origin.isDown = m_random() % 2 == 0;
    m_journal.log(m_origin.isDown ? "the origin is down" : "the origin stays up");
    ++m_weights;
    writeWeights();
    co_await sleepFor(2s);
    co_await waitForOperator();
    ++m_weights;
    writeWeights();
    // Ends between 0.5 s before and 2.5 s after the second bound.
    co_await sleepFor(drawTime(7500, 10500));
    m_origin.isDown = false;
    co_await sleepFor(4s);
}

asio::awaitable<void> SoakFleet::waitForStore()
{
    while (!m_store.isAccepting())
        co_await sleepFor(ClockInterval);
}

asio::awaitable<void> SoakFleet::waitForOperator()
{
    while (!m_store.isAccepting() || TimePoint::clock::now() < m_operatorPausedUntil)
        co_await sleepFor(ClockInterval);
}

std::vector<SoakFleet::Series> SoakFleet::operatorSeries()
{
    std::vector<Series> series;
    series.push_back({"configs", 2500ms, [this]() -> asio::awaitable<void> {
                          const std::uint64_t count = 1 + m_random() % 4;
                          for (std::uint64_t i = 0; i < count; ++i) {
                              co_await waitForOperator();
                              writeConfig();
                              co_await sleepFor(drawTime(10, 400));
                          }
                      }});
    series.push_back({"config-growth", 4s, [this] { return growConfig(); }});
    series.push_back({"weights", 2500ms, [this]() -> asio::awaitable<void> {
                          co_await waitForOperator();
                          ++m_weights;
                          writeWeights();
                          co_await sleepFor(drawTime(500, 12000));
                      }});
    series.push_back({"weights-pair", 1s, [this] { return nameWeightsTwice(); }});
    series.push_back({"withdrawal", 3s, [this]() -> asio::awaitable<void> {
                          const std::string zone = zoneOf(static_cast<unsigned>(m_random() % 2));
                          co_await waitForOperator();
                          writeEvacuation(zone, true);
                          co_await sleepFor(drawTime(3000, 10000));
                          co_await waitForOperator();
                          writeEvacuation(zone, false);
                      }});
    return series;
}

std::vector<SoakFleet::Series> SoakFleet::allSeries()
{
    std::vector<Series> all;
    for (auto part : {processSeries(), storeSeries(), endpointSeries(), operatorSeries()})
        all.insert(all.end(), part.begin(), part.end());
    return all;
}

std::vector<SoakFleet::Series> SoakFleet::chosenSeries()
{
    std::vector<Series> all = allSeries();
    // Other bounds are shorter than the delays of a full link and not excused by it. Further series
    // would change what earlier seeds draw.
    if (m_options.faults == "all" || m_options.faults == "seed") {
        static const std::set<std::string> onlyNamed
                = {"link-full", "watch-cut", "endpoint-remove"};
        std::erase_if(all, [](const Series &series) { return onlyNamed.count(series.name) > 0; });
    }
    if (m_options.faults == "all" || m_options.faults == "none") {
        if (m_options.faults == "none")
            all.clear();
        return all;
    }
    if (m_options.faults != "seed") {
        const std::string names = ',' + m_options.faults + ',';
        std::erase_if(all, [&names](const Series &series) {
            return names.find(',' + series.name + ',') == std::string::npos;
        });
        return all;
    }
    // Only some of the series run, so that a part can stay without a fault for long: most bounds
    // are checked only then.
    constexpr std::size_t MinSeries = 4;
    constexpr std::size_t Range = 8;
    std::shuffle(all.begin(), all.end(), m_random);
    all.resize(MinSeries + m_random() % Range);
    return all;
}

} // namespace oriolerill::standins
