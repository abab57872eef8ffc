#include "loadgenerator.h"

#include "generationtext.h"
#include "program.h"
#include "target.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/experimental/awaitable_operators.hpp>
#include <boost/json/parse.hpp>
#include <boost/json/serialize.hpp>
#include <boost/json/value.hpp>

#include <algorithm>
#include <sstream>
#include <utility>

namespace oriolerill::standins {

namespace asio = boost::asio;
namespace json = boost::json;
using domain::TimePoint;
using transport::HttpRequest;
using Kind = CallerAnswer::Kind;
using namespace std::chrono_literals;

namespace {

constexpr unsigned StatusOk = 200;

const char *nameOf(Kind kind)
{
    switch (kind) {
    case Kind::Complete:
        return "whole";
    case Kind::NotRun:
        return "not_run";
    case Kind::Unknown:
        return "unknown";
    case Kind::NoAnswer:
        return "no_answer";
    case Kind::Cut:
        return "cut";
    case Kind::Timeout:
        return "timeout";
    case Kind::Unnamed:
        return "unnamed_outcome";
    }
    return "other";
}

bool isSuccess(const CallerAnswer &answer)
{
    return answer.kind == Kind::Complete && answer.status == StatusOk;
}

/// The order services number the executions of an order, so an answer must report the first.
bool isFirstExecution(const std::string &body, const std::string &order)
{
    json::error_code code;
    const json::value answer = json::parse(body, code);
    if (code || !answer.is_object())
        return false;
    const json::value *id = answer.get_object().if_contains("order");
    const json::value *execution = answer.get_object().if_contains("execution");
    return id != nullptr && id->is_string() && id->get_string() == order && execution != nullptr
            && *execution == json::value(1);
}

} // namespace

std::vector<domain::SocketAddress> parseAddresses(const std::string &text)
{
    std::vector<domain::SocketAddress> addresses;
    std::istringstream stream(text);
    for (std::string item; std::getline(stream, item, ',');) {
        if (const auto address = domain::SocketAddress::parse(item))
            addresses.push_back(*address);
    }
    return addresses;
}

LoadGenerator::LoadGenerator(asio::any_io_executor executor, LoadOptions options)
    : m_executor(std::move(executor))
    , m_options(std::move(options))
    , m_client(m_executor, transport::HttpClientOptions{m_options.sourceHost, 256})
    , m_caller(m_client, m_options.isDirect)
    , m_random(m_options.seed)
{
    // The result line always contains these keys, since scripts read them.
    for (const char *name : {"requests", "answered", "failed", "mixed", "wrong", "truncated", "cut",
                 "no_answer", "timeout", "not_run", "unknown", "given_up", "duplicate_orders",
                 "lost_orders", "false_not_run", "repeats", "wrong_repeats", "no_retry_after"})
        m_report.count(name, 0);
}

asio::awaitable<void> LoadGenerator::run()
{
    m_end = TimePoint::clock::now() + m_options.maxTime;
    if (m_options.rate > 0)
        co_await runOpenLoop();
    else
        co_await runClosedLoop();
    co_await collectExecutions();
    const OrderBook::Audit audit = m_orders.audit();
    m_report.count("duplicate_orders", audit.duplicates);
    m_report.count("lost_orders", audit.lost);
    m_report.count("false_not_run", audit.falseNotRun);
    m_report.count("executions", m_orders.executions());
}

asio::awaitable<void> LoadGenerator::runClosedLoop()
{
    for (std::uint32_t worker = 0; worker < m_options.concurrency; ++worker) {
        ++m_inFlight;
        asio::co_spawn(m_executor, runWorker(), asio::detached);
    }
    while (m_inFlight > 0)
        co_await sleepFor(5ms);
}

asio::awaitable<void> LoadGenerator::runWorker()
{
    while (!isOver())
        co_await runOne(TimePoint::clock::now());
    --m_inFlight;
}

asio::awaitable<void> LoadGenerator::runOpenLoop()
{
    const auto interval = std::chrono::duration_cast<domain::Duration>(
            std::chrono::duration<double>(1 / m_options.rate));
    TimePoint next = TimePoint::clock::now();
    while (!isOver()) {
        co_await sleepUntil(next);
        if (m_inFlight < m_options.concurrency) {
            ++m_inFlight;
            const auto finish = [this](const std::exception_ptr &) { --m_inFlight; };
            asio::co_spawn(m_executor, runOne(next), finish);
        } else {
            m_report.count("skipped");
        }
        next += interval;
    }
    while (m_inFlight > 0)
        co_await sleepFor(5ms);
}

asio::awaitable<void> LoadGenerator::runOne(TimePoint start)
{
    const std::uint64_t number = ++m_started;
    m_report.count("requests");
    const TimePoint deadline = start + m_options.deadline;
    const std::size_t pick
            = randomIndex(m_options.generations + m_options.lookups + m_options.orders);
    bool isAnswered = false;
    std::string kind = "order";
    if (pick < m_options.generations) {
        kind = "generation";
        isAnswered = co_await generate(deadline, number);
    } else if (pick < m_options.generations + m_options.lookups) {
        kind = "lookup";
        isAnswered = co_await lookUp(deadline);
    } else {
        isAnswered = co_await placeOrder(deadline, number);
    }
    if (!isAnswered)
        co_return;
    m_report.count("answered");
    m_report.recordLatency(kind, TimePoint::clock::now() - start);
}

asio::awaitable<bool> LoadGenerator::generate(TimePoint deadline, std::uint64_t number)
{
    constexpr std::size_t PromptFamilies = 16;
    // Prompts share prefixes, so that the engines' prefix caches have an effect.
    const std::string family = std::to_string(randomIndex(PromptFamilies));
    const std::string prompt = "family " + family + std::string(64, '.') + std::to_string(number);
    json::object body;
    body["prompt"] = prompt;
    body["max_tokens"] = m_options.maxTokens;
    HttpRequest request = makeRequest(
            m_options.modelService, "POST", "/v1/generate", json::serialize(body), number);
    const CallerAnswer answer = co_await sendUntilAnswered(std::move(request), deadline);
    co_return isSuccess(answer) && checkGeneration(answer, prompt);
}

bool LoadGenerator::checkGeneration(const CallerAnswer &answer, const std::string &prompt)
{
    const std::string expected = generationText(answer.digest, prompt, m_options.maxTokens);
    if (answer.body == expected)
        return true;
    const bool isMixed
            = isMixedText(answer.body) || !answer.body.starts_with(answer.digest.substr(0, 8));
    if (isMixed)
        m_report.count("mixed");
    else if (expected.starts_with(answer.body))
        m_report.count("truncated");
    else
        m_report.count("wrong");
    m_report.count("failed");
    return false;
}

asio::awaitable<bool> LoadGenerator::lookUp(TimePoint deadline)
{
    constexpr std::size_t Items = 10000;
    const std::string item = "item" + std::to_string(randomIndex(Items));
    HttpRequest request
            = makeRequest(m_options.orderService, "GET", "/stock/" + item, {}, m_started);
    const CallerAnswer answer = co_await sendUntilAnswered(std::move(request), deadline);
    if (!isSuccess(answer))
        co_return false;
    json::object expected;
    expected["item"] = item;
    expected["stock"] = stockOf(item);
    const bool isCorrect = answer.body == json::serialize(expected);
    if (!isCorrect) {
        m_report.count("wrong");
        m_report.count("failed");
    }
    co_return isCorrect;
}

asio::awaitable<bool> LoadGenerator::placeOrder(TimePoint deadline, std::uint64_t number)
{
    const std::string order = "o-" + std::to_string(m_options.seed) + '-' + std::to_string(number);
    if (!m_options.isDirect && randomShare() < m_options.repeatShare / 2)
        co_return co_await placeTwiceAtOnce(order, deadline);

    std::size_t entry = randomIndex(m_options.entries.size());
    for (std::size_t tries = 0; tries < m_options.maxTries; ++tries) {
        const CallerAnswer answer = co_await sendOrder(order, entry++, deadline);
        if (isSuccess(answer)) {
            if (!isFirstExecution(answer.body, order))
                m_report.count("wrong");
            if (!m_options.isDirect && randomShare() < m_options.repeatShare)
                co_await repeatOrder(order, entry, answer.body, deadline);
            co_return true;
        }
        const bool isOutOfTime = TimePoint::clock::now() >= deadline;
        if (answer.kind == Kind::NotRun && randomShare() < m_options.giveUpShare) {
            m_report.count("given_up");
            co_return false;
        }
        // A repeat of an order is safe: an unknown outcome stays unknown or is replaced by the
        // answer.
        const bool isLastTry = tries + 1 == m_options.maxTries;
        if (isOutOfTime || isLastTry || m_options.isDirect)
            break;
        co_await waitBeforeRetry(answer, deadline);
    }
    m_report.count("failed");
    m_report.count("failed_orders");
    co_return false;
}

asio::awaitable<CallerAnswer> LoadGenerator::sendOrder(
        std::string order, std::size_t entry, TimePoint deadline)
{
    json::object body;
    body["order"] = order;
    HttpRequest request = makeRequest(m_options.orderService, "POST", "/orders",
            json::serialize(body), std::hash<std::string>{}(order));
    request.fields.add("Idempotency-Key", order);
    CallerAnswer answer = co_await sendOnce(std::move(request), entry, deadline);
    if (isSuccess(answer))
        m_orders.recordAnswered(order);
    else if (answer.kind == Kind::NotRun)
        m_orders.recordNotRun(order);
    else
        m_orders.recordUncertain(order);
    co_return answer;
}

asio::awaitable<bool> LoadGenerator::placeTwiceAtOnce(std::string order, TimePoint deadline)
{
    using namespace asio::experimental::awaitable_operators;
    m_report.count("repeats");
    const std::size_t entry = randomIndex(m_options.entries.size());
    const auto [first, second]
            = co_await (sendOrder(order, entry, deadline) && sendOrder(order, entry + 1, deadline));
    if (isSuccess(first) && isSuccess(second) && first.body != second.body)
        m_report.count("wrong_repeats");
    if (isSuccess(first) || isSuccess(second))
        co_return true;
    for (std::size_t tries = 0; tries < m_options.maxTries && TimePoint::clock::now() < deadline;
            ++tries) {
        co_await waitBeforeRetry(first, deadline);
        const CallerAnswer answer = co_await sendOrder(order, entry + tries, deadline);
        if (isSuccess(answer))
            co_return true;
    }
    m_report.count("failed");
    m_report.count("failed_orders");
    co_return false;
}

asio::awaitable<void> LoadGenerator::repeatOrder(
        std::string order, std::size_t entry, std::string firstAnswer, TimePoint deadline)
{
    m_report.count("repeats");
    const CallerAnswer answer = co_await sendOrder(order, entry, deadline);
    if (isSuccess(answer) && answer.body != firstAnswer)
        m_report.count("wrong_repeats");
    if (!isSuccess(answer))
        m_report.count("unanswered_repeats");
}

asio::awaitable<CallerAnswer> LoadGenerator::sendUntilAnswered(
        HttpRequest request, TimePoint deadline)
{
    std::size_t entry = randomIndex(peersOf(request).size());
    CallerAnswer answer;
    for (std::size_t tries = 0; tries < m_options.maxTries; ++tries) {
        HttpRequest copy = request;
        answer = co_await sendOnce(std::move(copy), entry++, deadline);
        if (isSuccess(answer))
            co_return answer;
        if (TimePoint::clock::now() >= deadline || tries + 1 == m_options.maxTries)
            break;
        co_await waitBeforeRetry(answer, deadline);
    }
    m_report.count("failed");
    co_return answer;
}

asio::awaitable<CallerAnswer> LoadGenerator::sendOnce(
        HttpRequest request, std::size_t entry, TimePoint deadline)
{
    const auto &peers = peersOf(request);
    const domain::SocketAddress peer = peers[entry % peers.size()];
    m_report.count("tries");
    CallerAnswer answer = co_await m_caller.call(peer, std::move(request), deadline);
    countAnswer(answer);
    co_return answer;
}

void LoadGenerator::countAnswer(const CallerAnswer &answer)
{
    if (isSuccess(answer))
        return;
    if (answer.kind == Kind::Complete)
        m_report.count("status_" + std::to_string(answer.status));
    else
        m_report.count(nameOf(answer.kind));
    if (answer.kind == Kind::NotRun && !answer.hasRetryAfter && !m_options.isDirect)
        m_report.count("no_retry_after");
}

asio::awaitable<void> LoadGenerator::waitBeforeRetry(const CallerAnswer &answer, TimePoint deadline)
{
    constexpr domain::Duration MinRetryDelay = 20ms;
    constexpr domain::Duration MaxRetryDelay = 1s;
    const TimePoint next = TimePoint::clock::now()
            + std::clamp<domain::Duration>(answer.retryAfter, MinRetryDelay, MaxRetryDelay);
    co_await sleepUntil(std::min(next, deadline));
}

asio::awaitable<void> LoadGenerator::collectExecutions()
{
    for (const domain::SocketAddress &service : m_options.audited) {
        HttpRequest request;
        request.target = "/standin/executions";
        const TimePoint deadline = TimePoint::clock::now() + 5s;
        const auto response = co_await m_client.send(service, std::move(request), deadline);
        if (response)
            m_orders.addExecutions(response->body);
        else
            m_report.count("audit_errors");
    }
}

HttpRequest LoadGenerator::makeRequest(const std::string &service, const std::string &method,
        const std::string &path, std::string body, std::size_t owner)
{
    HttpRequest request;
    request.method = method;
    request.target = m_options.isDirect ? path : "/v1/services/" + service + path;
    request.body = std::move(body);
    if (!m_options.tokens.empty()) {
        const std::string &token = m_options.tokens[owner % m_options.tokens.size()];
        request.fields.add("Authorization", "Bearer " + token);
    }
    return request;
}

const std::vector<domain::SocketAddress> &LoadGenerator::peersOf(const HttpRequest &request) const
{
    const bool isOrderService = m_options.isDirect && !request.target.starts_with("/v1/");
    return isOrderService && !m_options.directOrders.empty() ? m_options.directOrders
                                                             : m_options.entries;
}

asio::awaitable<void> LoadGenerator::handle(transport::HttpServerExchange &exchange)
{
    const Target target(exchange.request().target);
    transport::HttpResponse response = textResponse("ok=1\n");
    if (target.path() == "/standin/phase")
        m_report.setPhase(target.text("name", "idle"));
    else if (target.path() == "/standin/entries")
        m_options.entries = parseAddresses(target.text("list"));
    else if (target.path() == "/standin/stop")
        m_isStopped = true;
    else
        response = textResponse(m_report.line() + '\n');
    co_await exchange.respond(std::move(response));
}

bool LoadGenerator::isClean() const
{
    for (const char *name : {"mixed", "wrong", "truncated", "duplicate_orders", "lost_orders",
                 "false_not_run", "wrong_repeats", "audit_errors"}) {
        if (m_report.counted(name) > 0)
            return false;
    }
    return true;
}

bool LoadGenerator::isOver() const
{
    return m_isStopped || m_started >= m_options.maxRequests || TimePoint::clock::now() >= m_end;
}

double LoadGenerator::randomShare()
{
    return std::uniform_real_distribution<double>(0, 1)(m_random);
}

std::size_t LoadGenerator::randomIndex(std::size_t size)
{
    return std::uniform_int_distribution<std::size_t>(0, std::max<std::size_t>(size, 1) - 1)(
            m_random);
}

} // namespace oriolerill::standins
