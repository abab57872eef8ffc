#pragma once

#include "caller.h"
#include "loadreport.h"
#include "orderbook.h"

#include "transport/httpclient.h"
#include "transport/httpserver.h"

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>

#include <cstdint>
#include <random>
#include <string>
#include <vector>

namespace oriolerill::standins {

/// Parses addresses separated by commas; malformed ones are skipped.
std::vector<domain::SocketAddress> parseAddresses(const std::string &text);

struct LoadOptions
{
    /// Entries, or in the direct mode the endpoints of the model service.
    std::vector<domain::SocketAddress> entries;
    /// Endpoints of the order service in the direct mode.
    std::vector<domain::SocketAddress> directOrders;
    bool isDirect = false;
    /// Order services whose executions are compared with the answers at the end.
    std::vector<domain::SocketAddress> audited;
    std::vector<std::string> tokens;
    std::string modelService = "chat";
    std::string orderService = "orders";
    /// Concurrent requests in the closed loop; maximum in flight in the open loop.
    std::uint32_t concurrency = 8;
    /// Requests per second in the open loop; 0 for the closed loop.
    double rate = 0;
    std::uint64_t maxRequests = 1000000;
    /// Maximum tries of a request before it counts as failed.
    std::size_t maxTries = 200;
    domain::Duration maxTime = std::chrono::seconds(10);
    domain::Duration deadline = std::chrono::seconds(10);
    std::uint32_t generations = 1;
    std::uint32_t lookups = 4;
    std::uint32_t orders = 1;
    std::uint32_t maxTokens = 20;
    /// Share of answered orders that are sent again through another entry.
    double repeatShare = 0.2;
    /// Share of refused orders that are not retried, so that the refusal can be verified.
    double giveUpShare = 0.2;
    std::uint64_t seed = 1;
    std::string sourceHost;
};

/// Sends a mix of requests and checks that each answer is complete, correct, of one version of the
/// weights and of its own request.
class LoadGenerator
{
public:
    LoadGenerator(boost::asio::any_io_executor executor, LoadOptions options);

    /// Runs the load, then compares the outcomes with the executions of the order services.
    boost::asio::awaitable<void> run();
    /// Controls: /standin/phase?name=, /standin/entries?list=, /standin/stop, /standin/counters.
    boost::asio::awaitable<void> handle(transport::HttpServerExchange &exchange);

    const LoadReport &report() const { return m_report; }
    /// False when an answer violated an invariant; no fault during a run excuses that.
    bool isClean() const;

private:
    boost::asio::awaitable<void> runClosedLoop();
    boost::asio::awaitable<void> runOpenLoop();
    boost::asio::awaitable<void> runWorker();
    boost::asio::awaitable<void> runOne(domain::TimePoint start);
    boost::asio::awaitable<bool> generate(domain::TimePoint deadline, std::uint64_t number);
    boost::asio::awaitable<bool> lookUp(domain::TimePoint deadline);
    boost::asio::awaitable<bool> placeOrder(domain::TimePoint deadline, std::uint64_t number);
    boost::asio::awaitable<CallerAnswer> sendOrder(
            std::string order, std::size_t entry, domain::TimePoint deadline);
    boost::asio::awaitable<bool> placeTwiceAtOnce(std::string order, domain::TimePoint deadline);
    boost::asio::awaitable<void> repeatOrder(std::string order, std::size_t entry,
            std::string firstAnswer, domain::TimePoint deadline);
    /// Sends an idempotent request until it is answered or the deadline has passed.
    boost::asio::awaitable<CallerAnswer> sendUntilAnswered(
            transport::HttpRequest request, domain::TimePoint deadline);
    boost::asio::awaitable<CallerAnswer> sendOnce(
            transport::HttpRequest request, std::size_t entry, domain::TimePoint deadline);
    boost::asio::awaitable<void> waitBeforeRetry(
            const CallerAnswer &answer, domain::TimePoint deadline);
    boost::asio::awaitable<void> collectExecutions();
    void countAnswer(const CallerAnswer &answer);
    bool checkGeneration(const CallerAnswer &answer, const std::string &prompt);
    /// The owner's number selects the account, so that a repeat uses the same account.
    transport::HttpRequest makeRequest(const std::string &service, const std::string &method,
            const std::string &path, std::string body, std::size_t owner);
    const std::vector<domain::SocketAddress> &peersOf(const transport::HttpRequest &request) const;
    bool isOver() const;
    double randomShare();
    std::size_t randomIndex(std::size_t size);

    boost::asio::any_io_executor m_executor;
    LoadOptions m_options;
    transport::HttpClient m_client;
    Caller m_caller;
    std::mt19937_64 m_random;
    LoadReport m_report;
    OrderBook m_orders;
    domain::TimePoint m_end;
    std::uint64_t m_started = 0;
    std::uint64_t m_inFlight = 0;
    bool m_isStopped = false;
};

} // namespace oriolerill::standins
