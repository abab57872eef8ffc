#pragma once

#include "soakclient.h"
#include "soakendpoint.h"

#include "transport/httpclient.h"

#include <memory>
#include <set>
#include <string>
#include <vector>

namespace oriolerill::standins {

struct SoakOptions
{
    std::uint64_t seed = 1;
    domain::Duration time = std::chrono::seconds(15);
    unsigned entries = 2;
    unsigned engines = 4;
    unsigned services = 3;
    unsigned clients = 16;
    /// Second octet of all loopback addresses.
    unsigned net = 221;
    /// Directory of the programs under test.
    std::string programs;
    /// Root of the repository.
    std::string repository;
    /// Directory for settings and logs.
    std::string output;
    /// Names of fault series separated by commas, "all", "none", or "seed" for a random subset.
    std::string faults = "seed";
};

/// One soak run: stand-ins and clients in this process, the programs under test as children.
class SoakFleet
{
public:
    SoakFleet(boost::asio::io_context &context, SoakOptions options);

    /// Starts the stand-ins, programs, clients and fault series; clients stop after the run time.
    void start();
    /// Kills the programs and prints the result; false when a rule was violated.
    bool finish();

private:
    using Task = std::function<boost::asio::awaitable<void>()>;
    struct Series
    {
        std::string name;
        /// Maximum pause between two faults.
        domain::Duration pause;
        Task task;
    };

    std::string host(unsigned group, unsigned number) const;
    std::string settingsFile(const std::string &name, const std::string &role, unsigned number,
            const std::string &address, const std::string &engine) const;
    std::string zoneOf(unsigned number) const;
    void addEndpoint(const std::string &service, unsigned group, unsigned number, bool isEngine);
    void addProcess(const std::string &name, std::vector<std::string> command);
    void writeConfig();
    /// Entries whose calls go to the second address of the store: the publishers of both zones.
    static bool usesSecondStoreAddress(const std::string &entry);
    boost::asio::awaitable<void> silenceStoreForPublishers();
    /// The store returns from an older copy. The operator writes some new configurations, then what
    /// the store has lost, and then nothing for some seconds.
    boost::asio::awaitable<void> restoreStore();
    /// Ends the waiting watches of some collections of the store.
    boost::asio::awaitable<void> cutWatches();
    /// Acknowledged again: a lost configuration, a lost naming, and lost changes of withdrawals.
    boost::asio::awaitable<void> rewriteLost();
    void writeWeights();
    /// Objects of another writer, whose names need encoding in a target.
    void writeOddObjects();
    void writeEvacuation(const std::string &zone, bool isWithdrawn);
    /// Names two versions shortly after each other and keeps some engines on older weights beyond
    /// the bounds: their agents are away, in half of the rounds the origin is down too.
    boost::asio::awaitable<void> nameWeightsTwice();
    boost::asio::awaitable<void> stopOrKill(SoakProcess &process, domain::Duration pause);
    /// Delays what entries send to half of the engines.
    boost::asio::awaitable<void> delayLinks(bool areDisrupted);
    /// Adds many routes at once, followed by small changes.
    boost::asio::awaitable<void> growConfig();
    boost::asio::awaitable<void> stopAfter(SoakProcess &process, domain::Duration delay);
    /// Stops two entries at the same moment, or one shortly after the other.
    boost::asio::awaitable<void> stopPair();
    /// All engines send nothing for a time that is shorter than the patience of clients.
    boost::asio::awaitable<void> silenceEngines();
    boost::json::object config() const;
    SoakEntry *chooseEntry();
    std::vector<Series> allSeries();
    std::vector<Series> chosenSeries();
    std::vector<Series> processSeries();
    std::vector<Series> storeSeries();
    std::vector<Series> endpointSeries();
    std::vector<Series> operatorSeries();

    boost::asio::awaitable<void> repeat(Series series, std::uint64_t seed);
    boost::asio::awaitable<void> pollReadiness(SoakEntry &entry);
    boost::asio::awaitable<void> checkProcesses();
    boost::asio::awaitable<void> detectStalls();
    boost::asio::awaitable<void> waitForStore();
    /// Waits until the store accepts writes and the pause after its return is over.
    boost::asio::awaitable<void> waitForOperator();
    /// Runs the action on a randomly chosen part that is not busy, if there is one.
    template<class Part, class Action>
    boost::asio::awaitable<void> runAtIdle(std::vector<Part *> parts, Action action);
    std::vector<SoakProcess *> processesNamed(const std::string &prefix);
    std::vector<SoakEndpoint *> endpoints();
    /// The endpoint must exist.
    SoakEndpoint &endpointNamed(const std::string &name);
    /// Corrupts a piece at an engine once its agent has checked all, and freezes that agent.
    void freezeAfterCheck(unsigned engine);
    /// Injects the fault while no other series acts on the endpoint.
    static boost::asio::awaitable<void> failFor(
            SoakEndpoint &endpoint, SoakEndpoint::Fault fault, domain::Duration time);
    domain::Duration drawTime(int fromMs, int toMs);

    boost::asio::io_context &m_context;
    SoakOptions m_options;
    std::mt19937_64 m_random;
    SoakJournal m_journal;
    SoakChecks m_checks;
    SoakStore m_store;
    platform::StandInOrigin m_origin;
    transport::HttpClient m_client;
    std::vector<std::unique_ptr<SoakEndpoint>> m_endpoints;
    std::vector<std::unique_ptr<SoakProcess>> m_processes;
    std::vector<std::unique_ptr<SoakEntry>> m_entries;
    std::vector<std::unique_ptr<SoakClient>> m_clients;
    std::vector<std::uint64_t> m_configVersions;
    /// Routes beside those of the versions, which nobody calls.
    unsigned m_unusedRoutes = 0;
    /// The configuration as last written.
    boost::json::object m_config;
    std::set<std::string> m_withdrawnZones;
    domain::TimePoint m_operatorPausedUntil;
    std::uint64_t m_weights = 1;
    domain::TimePoint m_until;
    std::size_t m_stalls = 0;
};

} // namespace oriolerill::standins
