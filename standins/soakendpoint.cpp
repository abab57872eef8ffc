#include "soakendpoint.h"

#include "platform/names.h"
#include "program.h"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/read.hpp>

#include <cstdlib>
#include <sstream>

namespace oriolerill::standins {

namespace asio = boost::asio;
namespace http = boost::beast::http;
namespace json = boost::json;
namespace names = platform::names;
using domain::TimePoint;
using namespace std::chrono_literals;

namespace {

constexpr auto UseTuple = asio::as_tuple(asio::use_awaitable);
constexpr auto PollInterval = 5ms;
/// heartbeat_ms of the operators' settings page; a registration expires after three intervals.
constexpr auto Heartbeat = 1200ms;
constexpr auto RegistrationLifetime = 3 * Heartbeat;
/// Time that a request with a deadly part runs before the crash.
constexpr auto CrashDelay = 20ms;
constexpr unsigned Misdirected = 421;
constexpr unsigned Unavailable = 503;
constexpr unsigned Ok = 200;
constexpr std::string_view HealthPath = "/healthz";

std::string fieldOf(const http::request<http::string_body> &request, std::string_view name)
{
    const auto value = request[boost::beast::string_view(name.data(), name.size())];
    return {value.data(), value.size()};
}

std::string chunkOf(const std::string &data)
{
    std::ostringstream size;
    size << std::hex << data.size();
    return size.str() + "\r\n" + data + "\r\n";
}

std::uint64_t wallMs()
{
    const auto now = std::chrono::system_clock::now().time_since_epoch();
    return static_cast<std::uint64_t>(
            std::chrono::duration_cast<std::chrono::milliseconds>(now).count());
}

} // namespace

/// Slot that a request occupies while it runs. A crash frees all slots at once.
class SoakEndpoint::Slot
{
public:
    Slot(SoakEndpoint &endpoint, SoakAttempt &attempt)
        : m_endpoint(endpoint)
        , m_attempt(attempt)
        , m_incarnation(endpoint.m_incarnation)
    {
        ++m_endpoint.m_engine.running;
        ++m_attempt.activeRuns;
    }
    ~Slot()
    {
        --m_attempt.activeRuns;
        m_attempt.runEndedAt = TimePoint::clock::now();
        if (m_incarnation == m_endpoint.m_incarnation)
            --m_endpoint.m_engine.running;
    }
    Slot(const Slot &) = delete;
    Slot &operator=(const Slot &) = delete;

private:
    SoakEndpoint &m_endpoint;
    SoakAttempt &m_attempt;
    std::uint64_t m_incarnation;
};

SoakEndpoint::SoakEndpoint(asio::io_context &context, SoakJournal &journal, SoakChecks &checks,
        SoakStore &store, SoakEndpointOptions options, std::uint64_t seed)
    : m_context(context)
    , m_journal(journal)
    , m_checks(checks)
    , m_store(store)
    , m_options(std::move(options))
    , m_random(seed)
    , m_engine(context, platform::StandInWeights(), 1)
{
    m_engine.loadTime = 300ms;
    m_ignoresCloses = m_random() % 2 == 0;
    if (m_ignoresCloses)
        m_journal.log(m_options.name + " runs queued requests whose connections were closed");
}

void SoakEndpoint::start()
{
    ++m_incarnation;
    m_instance = "i-" + m_options.name + '-' + std::to_string(m_incarnation);
    m_startedAtMs = wallMs();
    m_engine.startedAtMs = m_startedAtMs;
    m_engine.running = 0;
    m_engine.waiting = 0;
    m_queue.clear();
    m_isDraining = false;
    m_drainAckedAt.reset();
    m_fault = Fault::None;
    const asio::ip::tcp::endpoint endpoint(
            asio::ip::make_address(m_options.address.host), m_options.address.port);
    m_acceptor = std::make_unique<asio::ip::tcp::acceptor>(m_context, endpoint);
    m_isUp = true;
    m_journal.log("endpoint " + m_instance + " is up");
    asio::co_spawn(m_context, acceptAll(m_incarnation), asio::detached);
}

json::object SoakEndpoint::registration() const
{
    json::array models;
    if (m_options.isEngine && m_engine.version() > 0) {
        models.push_back(json::object{{"name", platform::StandInWeights().model},
                {"version", m_engine.version()}, {"adapters", json::array()}});
    }
    return {{"service", m_options.service}, {"address", m_options.address.toString()},
            {"zone", m_options.zone}, {"version", "1"}, {"slots", m_options.slots},
            {"state", m_isDraining ? "draining" : "ready"}, {"cold_left_ms", 0},
            {"born", m_startedAtMs}, {"models", std::move(models)}};
}

json::object SoakEndpoint::onRestore()
{
    const std::string kind(names::ServersKind);
    const TimePoint now = TimePoint::clock::now();
    for (const std::string &name : m_store.names(kind)) {
        const bool isEarlier = name != m_instance || !m_isUp;
        if (isEarlier && name.starts_with("i-" + m_options.name + '-'))
            m_expiring.try_emplace(name, now + RegistrationLifetime);
    }
    const json::object *found = m_store.find(kind, m_instance);
    if (m_drainAckedAt && (found == nullptr || found->at("state").as_string() != "draining")) {
        m_journal.log("draining lost " + m_instance);
        m_drainAckedAt.reset();
    }
    return found == nullptr ? json::object() : *found;
}

asio::awaitable<void> SoakEndpoint::keepRegistered()
{
    json::object written;
    std::string writtenName;
    std::uint64_t era = m_store.era();
    TimePoint mayWriteAt;
    for (;;) {
        const TimePoint now = TimePoint::clock::now();
        if (m_store.era() != era) {
            era = m_store.era();
            written = onRestore();
            writtenName = m_instance;
            // It takes an endpoint some time to notice that the store has lost its entry.
            mayWriteAt = now
                    + std::chrono::milliseconds(
                            std::uniform_int_distribution<int>(500, 1500)(m_random));
        }
        for (auto expiring = m_expiring.begin();
                m_store.isAccepting() && expiring != m_expiring.end();) {
            if (now < expiring->second) {
                ++expiring;
                continue;
            }
            m_store.remove("servers", expiring->first);
            expiring = m_expiring.erase(expiring);
        }
        if (m_options.isEngine)
            m_checks.onServedWeights(m_options.name, m_isUp ? m_engine.version() : 0);
        const bool isDrainInForce = m_isUp && m_wasStoreStable && m_drainAckedAt
                && !facts().isLinkDisrupted && now > *m_drainAckedAt + SoakChecks::DrainBound;
        if (isDrainInForce)
            m_checks.recordInForce("DRAIN");
        json::object current = registration();
        if (m_isUp && now >= mayWriteAt && m_store.isAccepting()
                && (current != written || writtenName != m_instance)) {
            if (m_isDraining && !m_isDrainAnnounced)
                m_store.remove("servers", m_instance);
            else
                m_store.put("servers", m_instance, current);
            if (m_isDraining && !m_drainAckedAt) {
                m_drainAckedAt = now;
                m_wasStoreStable
                        = m_journal.isFaultFree("store", now - SoakJournal::ContactTime, now);
                m_journal.log("draining acknowledged " + m_instance);
            }
            written = std::move(current);
            writtenName = m_instance;
        }
        co_await sleepFor(20ms);
    }
}

void SoakEndpoint::end()
{
    m_isUp = false;
    ++m_incarnation;
    m_acceptor.reset();
    for (const auto &socket : m_sockets)
        reset(*socket);
    m_sockets.clear();
    for (const auto &attempt : m_attempts)
        attempt->hasEndpointFailed = true;
    m_attempts.clear();
    m_hasCorruptWeights = false;
    m_engine.restart(wallMs());
}

void SoakEndpoint::reset(Socket &socket)
{
    boost::system::error_code code;
    socket.set_option(asio::socket_base::linger(true, 0), code);
    socket.close(code);
}

asio::awaitable<void> SoakEndpoint::drainAndRestart(
        domain::Duration extraTime, domain::Duration pause, bool isAnnounced)
{
    m_journal.beginFault(m_options.name, isAnnounced ? "drains" : "leaves unannounced");
    m_isDraining = true;
    m_isDrainAnnounced = isAnnounced;
    // A store that returns from an older copy may lose the acknowledgement.
    while (!m_drainAckedAt
            || TimePoint::clock::now() < *m_drainAckedAt + SoakChecks::DrainBound + extraTime)
        co_await sleepFor(PollInterval);
    // The endpoint leaves after its last request has ended.
    while (m_engine.running > 0)
        co_await sleepFor(PollInterval);
    m_journal.log("endpoint " + m_instance + " has left");
    m_expiring[m_instance] = TimePoint::clock::now();
    end();
    co_await sleepFor(pause);
    start();
    m_journal.endFault(m_options.name);
}

asio::awaitable<void> SoakEndpoint::crashAndRestart(domain::Duration pause)
{
    m_journal.beginFault(m_options.name, "crashes");
    m_expiring[m_instance] = TimePoint::clock::now() + RegistrationLifetime;
    end();
    co_await sleepFor(pause);
    start();
    m_journal.endFault(m_options.name);
}

asio::awaitable<void> SoakEndpoint::injectFault(Fault fault, domain::Duration time)
{
    static const std::map<Fault, std::string> descriptions = {{Fault::Late, "answers late"},
            {Fault::Cut, "resets in the middle of answers"}, {Fault::Extra, "sends answers twice"},
            {Fault::Endless, "sends bytes without end"}, {Fault::Failure, "answers with failures"}};
    m_journal.beginFault(m_options.name, descriptions.at(fault));
    m_fault = fault;
    co_await sleepFor(time);
    m_fault = Fault::None;
    m_journal.endFault(m_options.name);
}

void SoakEndpoint::corruptAfterNextCheck(std::function<void()> onCorrupted)
{
    m_engine.onStagedRead = [this, onCorrupted = std::move(onCorrupted)](std::uint32_t piece) {
        const std::uint32_t last = platform::StandInWeights().pieces - 1;
        if (piece != last)
            return;
        const auto handler = onCorrupted;
        m_engine.corruptStagedPiece(static_cast<std::uint32_t>(m_random() % last));
        m_journal.log("a checked piece at " + m_instance + " is corrupted");
        m_engine.onStagedRead = nullptr;
        handler();
    };
}

asio::awaitable<void> SoakEndpoint::acceptLate(
        transport::HttpRequest order, domain::Duration delay, std::uint64_t incarnation)
{
    co_await sleepFor(delay);
    if (incarnation != m_incarnation)
        co_return;
    // The agent cannot recall the order; it must keep requests from the engine after the load.
    const int staleLoads = m_engine.staleLoads();
    m_journal.log("engine " + m_instance
            + " accepts an order late: " + std::to_string(m_engine.handle(order).status));
    m_hasCorruptWeights = m_hasCorruptWeights || m_engine.staleLoads() > staleLoads;
}

transport::HttpResponse SoakEndpoint::control(const transport::HttpRequest &request)
{
    const int staleLoads = m_engine.staleLoads();
    const int orders = m_engine.orders();
    transport::HttpResponse response = m_engine.handle(request);
    if (request.target == names::Order)
        m_checks.recordInForce("WHOLE");
    if (m_engine.orders() > orders)
        m_hasCorruptWeights = false;
    if (m_engine.staleLoads() > staleLoads) {
        m_journal.violation("WHOLE",
                m_instance + " loads a missing piece, or one corrupted more than 3 s ago: "
                        + request.body);
    }
    return response;
}

asio::awaitable<void> SoakEndpoint::delayArrivals(
        domain::Duration delay, domain::Duration time, bool isDisrupted)
{
    const std::string what = "delays requests to " + m_options.name + " by "
            + std::to_string(std::chrono::duration<double>(delay).count()) + " s";
    if (isDisrupted) {
        m_journal.beginFault("links", what);
        m_linkDisruptedUntil = TimePoint::clock::now() + time;
    } else {
        m_journal.log("a full link " + what);
    }
    m_arrivalDelay = delay;
    co_await sleepFor(time);
    m_arrivalDelay = domain::Duration::zero();
    if (isDisrupted)
        m_journal.endFault("links");
}

TimePoint SoakEndpoint::arrivalTime()
{
    m_lastArrival = std::max(m_lastArrival, TimePoint::clock::now() + m_arrivalDelay);
    return m_lastArrival;
}

bool SoakEndpoint::hasCloseArrived(Socket &socket)
{
    char byte = 0;
    boost::system::error_code code;
    socket.receive(asio::buffer(&byte, 1), asio::socket_base::message_peek, code);
    if (code && code != asio::error::would_block && !socket.closeArrivesAt)
        socket.closeArrivesAt = arrivalTime();
    return socket.closeArrivesAt && TimePoint::clock::now() >= *socket.closeArrivesAt;
}

asio::awaitable<void> SoakEndpoint::waitForArrival(Socket &socket, const std::string &id)
{
    const TimePoint arrival = arrivalTime();
    const auto attempt = m_checks.find(id);
    if (attempt == nullptr || arrival <= TimePoint::clock::now())
        co_return;
    m_attempts.insert(attempt);
    while (TimePoint::clock::now() < arrival) {
        hasCloseArrived(socket);
        co_await sleepFor(PollInterval);
    }
    m_attempts.erase(attempt);
}

asio::awaitable<void> SoakEndpoint::announceLimit(double perSecond, domain::Duration time)
{
    const std::string instance = m_instance;
    m_journal.log("endpoint " + instance + " announces a limit of " + std::to_string(perSecond));
    m_limit = perSecond;
    m_checks.onLimit(instance, perSecond);
    co_await sleepFor(time);
    m_limit = 0;
    m_checks.onLimit(instance, 0);
}

asio::awaitable<void> SoakEndpoint::announceLeavingAndRestart(
        domain::Duration time, domain::Duration pause)
{
    m_journal.beginFault(m_options.name, "announces that it is leaving");
    m_isAnnouncingLeaving = true;
    co_await sleepFor(time);
    while (m_engine.running > 0)
        co_await sleepFor(PollInterval);
    m_expiring[m_instance] = TimePoint::clock::now() + RegistrationLifetime;
    end();
    co_await sleepFor(pause);
    m_isAnnouncingLeaving = false;
    start();
    m_journal.endFault(m_options.name);
}

asio::awaitable<void> SoakEndpoint::requestBackoff(domain::Duration time)
{
    m_journal.log("endpoint " + m_instance + " requests a backoff");
    m_backoffUntil = TimePoint::clock::now() + time;
    co_await sleepUntil(*m_backoffUntil);
    m_backoffUntil.reset();
}

std::string SoakEndpoint::noticeFields(const SoakAttempt &attempt)
{
    std::string fields;
    if (m_limit > 0) {
        m_checks.onLimitAnnounced(attempt, m_instance);
        fields += std::string(names::Limit) + ": " + std::to_string(m_limit) + "\r\n";
    }
    if (m_isAnnouncingLeaving) {
        m_checks.onNotice("LEAVING", attempt, m_instance, TimePoint::max());
        fields += std::string(names::Leaving) + ": 1\r\n";
    }
    return fields;
}

SoakEndpoint::Fault SoakEndpoint::drawFault()
{
    constexpr unsigned OneIn = 3;
    return m_fault != Fault::None && m_random() % OneIn == 0 ? m_fault : Fault::None;
}

SoakEndpointFacts SoakEndpoint::facts() const
{
    SoakEndpointFacts facts;
    facts.instance = m_instance;
    facts.zone = m_options.zone;
    facts.isEngine = m_options.isEngine;
    facts.weights = m_engine.version();
    facts.isLinkDisrupted
            = TimePoint::clock::now() < m_linkDisruptedUntil + SoakJournal::ContactTime;
    if (m_wasStoreStable)
        facts.drainingSince = m_drainAckedAt;
    return facts;
}

asio::awaitable<void> SoakEndpoint::acceptAll(std::uint64_t incarnation)
{
    while (incarnation == m_incarnation) {
        auto socket = std::make_shared<Socket>(m_context);
        auto [code] = co_await m_acceptor->async_accept(*socket, UseTuple);
        if (incarnation != m_incarnation)
            co_return;
        if (code)
            continue;
        boost::system::error_code option;
        socket->set_option(asio::ip::tcp::no_delay(true), option);
        socket->non_blocking(true, option);
        m_sockets.insert(socket);
        asio::co_spawn(m_context, serve(socket, incarnation), asio::detached);
    }
}

asio::awaitable<void> SoakEndpoint::serve(std::shared_ptr<Socket> socket, std::uint64_t incarnation)
{
    boost::beast::flat_buffer buffer;
    bool isKeptOpen = true;
    while (isKeptOpen && incarnation == m_incarnation) {
        http::request_parser<http::string_body> parser;
        constexpr std::uint64_t MaxBodySize = 4U << 20U;
        parser.body_limit(MaxBodySize);
        auto [code, size] = co_await http::async_read(*socket, buffer, parser, UseTuple);
        if (code || incarnation != m_incarnation)
            break;
        isKeptOpen = co_await answer(*socket, parser.release(), incarnation);
    }
    if (incarnation == m_incarnation)
        m_sockets.erase(socket);
    boost::system::error_code code;
    socket->close(code);
}

asio::awaitable<bool> SoakEndpoint::send(Socket &socket, std::string bytes)
{
    auto [code, size] = co_await asio::async_write(socket, asio::buffer(bytes), UseTuple);
    co_return !code;
}

asio::awaitable<void> SoakEndpoint::waitForEndOfSilence()
{
    while (TimePoint::clock::now() < m_silentUntil)
        co_await sleepUntil(m_silentUntil);
}

asio::awaitable<bool> SoakEndpoint::refuse(
        Socket &socket, const Request &request, unsigned status, std::string notices)
{
    std::string text = "HTTP/1.1 " + std::to_string(status)
            + " Refused\r\nContent-Length: 0\r\nNot-Executed: 1\r\nAttempt-Id: "
            + fieldOf(request, names::AttemptId) + "\r\n" + notices + "\r\n";
    co_return co_await send(socket, std::move(text));
}

asio::awaitable<bool> SoakEndpoint::answer(
        Socket &socket, Request request, std::uint64_t incarnation)
{
    const std::string target(request.target().data(), request.target().size());
    if (target.starts_with("/-/") || target == HealthPath) {
        transport::HttpRequest call;
        call.method = std::string(request.method_string());
        call.target = target;
        call.body = request.body();
        if (target == names::Order && m_lateOrderDelay) {
            m_engine.corruptStagedPiece(
                    static_cast<std::uint32_t>(m_random() % platform::StandInWeights().pieces));
            asio::co_spawn(m_context, acceptLate(std::move(call), *m_lateOrderDelay, incarnation),
                    asio::detached);
            m_lateOrderDelay.reset();
            co_return false;
        }
        transport::HttpResponse response;
        if (target != HealthPath)
            response = control(call);
        else if (m_isDraining)
            response.status = Unavailable;
        std::string text = "HTTP/1.1 " + std::to_string(response.status)
                + " Control\r\nInstance-Id: " + m_instance + "\r\nContent-Length: "
                + std::to_string(response.body.size()) + "\r\n\r\n" + response.body;
        co_return co_await send(socket, std::move(text));
    }
    co_await waitForArrival(socket, fieldOf(request, names::AttemptId));
    if (incarnation != m_incarnation)
        co_return false;
    const std::string expected = fieldOf(request, names::ExpectedEndpoint);
    if (!expected.empty() && expected != m_instance)
        co_return co_await refuse(socket, request, Misdirected);
    const std::string version = fieldOf(request, names::ExpectedVersion);
    if (!version.empty() && version != std::to_string(m_engine.version()))
        co_return co_await refuse(socket, request, Misdirected);
    const std::string method(request.method_string().data(), request.method_string().size());
    auto attempt = m_checks.onArrival(
            fieldOf(request, names::AttemptId), method, target, request.body(), facts());
    if (attempt == nullptr)
        co_return co_await refuse(socket, request, Unavailable);
    if (m_backoffUntil) {
        m_checks.onNotice("QUIET", *attempt, m_instance, *m_backoffUntil);
        const std::chrono::duration<double> left = *m_backoffUntil - TimePoint::clock::now();
        std::string notices
                = std::string(names::RetryAfter) + ": " + std::to_string(left.count()) + "\r\n";
        co_return co_await refuse(socket, request, Unavailable, std::move(notices));
    }
    if (m_engine.waiting >= m_options.maxWaiting)
        co_return co_await refuse(socket, request, Unavailable, noticeFields(*attempt));
    const std::string account = fieldOf(request, names::Account);
    if (!fieldOf(request, names::Key).empty() || account != (attempt->isStream() ? "shop" : "")) {
        m_journal.violation("UNASKED",
                attempt->id + " carries a key or the account '" + account + "' at " + m_instance);
    }
    m_attempts.insert(attempt);
    const bool isKeptOpen = co_await admit(socket, request, attempt, incarnation);
    m_attempts.erase(attempt);
    co_return isKeptOpen;
}

asio::awaitable<bool> SoakEndpoint::admit(Socket &socket, const Request &request,
        std::shared_ptr<SoakAttempt> attempt, std::uint64_t incarnation)
{
    const std::string version = fieldOf(request, names::ExpectedVersion);
    const TimePoint last = TimePoint::clock::now()
            + std::chrono::milliseconds(
                    std::strtoull(fieldOf(request, names::DeadlineMs).c_str(), nullptr, 10));
    const std::uint64_t ticket = ++m_lastTicket;
    m_queue.insert(ticket);
    ++m_engine.waiting;
    bool hasSlot = false;
    bool isClosed = hasCloseArrived(socket);
    while (incarnation == m_incarnation && !hasSlot && (!isClosed || m_ignoresCloses)
            && TimePoint::clock::now() < last) {
        hasSlot = ticket == *m_queue.begin() && m_engine.running < m_options.slots
                && !m_engine.isLoading() && (!m_options.isEngine || m_engine.version() > 0);
        if (!hasSlot)
            co_await sleepFor(PollInterval);
        isClosed = hasCloseArrived(socket);
    }
    if (incarnation != m_incarnation)
        co_return false;
    --m_engine.waiting;
    m_queue.erase(ticket);
    if (isClosed && !m_ignoresCloses)
        co_return false;
    if (isClosed && hasSlot)
        m_journal.log(attempt->id + " begins after its connection was closed at " + m_instance);
    if (!hasSlot)
        co_return co_await refuse(socket, request, Unavailable, noticeFields(*attempt));
    // Checked again at the start: the weights may have changed while the request waited.
    if (!version.empty() && version != std::to_string(m_engine.version()))
        co_return co_await refuse(socket, request, Misdirected);
    co_return co_await run(socket, request, std::move(attempt));
}

asio::awaitable<bool> SoakEndpoint::run(
        Socket &socket, const Request &request, std::shared_ptr<SoakAttempt> attempt)
{
    const bool isDeadly = !attempt->deadlyCause.empty();
    // A crash would interfere with another fault series.
    if (isDeadly && isBusy)
        co_return co_await refuse(socket, request, Unavailable);
    const Slot slot(*this, *attempt);
    const std::uint64_t incarnation = m_incarnation;
    const std::string instance = m_instance;
    m_checks.onRun(*attempt, facts());
    if (m_hasCorruptWeights) {
        m_journal.violation(
                "WHOLE", attempt->id + " runs on weights with a corrupted piece at " + m_instance);
    }
    if (isDeadly) {
        attempt->hasEndpointFailed = true;
        co_await sleepFor(CrashDelay);
        if (incarnation == m_incarnation && !isBusy)
            crashOn(*attempt);
        co_return false;
    }
    const Fault fault = drawFault();
    if (fault != Fault::None)
        attempt->hasEndpointFailed = true;
    if (fault == Fault::Late) {
        const std::chrono::milliseconds delay(
                std::uniform_int_distribution<int>(500, 3000)(m_random));
        co_await sleepFor(delay);
    }
    const std::string status = fault == Fault::Failure ? "500 Failure" : "200 OK";
    std::string head = "HTTP/1.1 " + status + "\r\nAttempt-Id: " + attempt->id
            + "\r\nServer-Signature: " + attempt->id + '.' + instance + "\r\nServer-Load: "
            + std::to_string(m_engine.running) + ',' + std::to_string(m_engine.waiting) + ','
            + std::to_string(m_options.slots) + "\r\n" + noticeFields(*attempt);
    bool isKeptOpen = false;
    if (fault == Fault::Failure) {
        const std::string body = soakFailure(attempt->id, instance);
        head += "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n";
        isKeptOpen = co_await sendPlain(socket, head, body, fault);
    } else if (attempt->isStream()) {
        head += "Weight-Versions: " + std::to_string(m_engine.version()) + "\r\n";
        isKeptOpen
                = co_await stream(socket, request, *attempt, std::move(head), fault == Fault::Cut);
        if (isKeptOpen && fault != Fault::Cut)
            isKeptOpen = co_await sendPlain(socket, "", "", fault);
    } else {
        const std::chrono::milliseconds work(std::uniform_int_distribution<int>(2, 40)(m_random));
        co_await sleepFor(work);
        const std::string body = soakAnswer(attempt->id, instance);
        head += "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n";
        isKeptOpen = co_await sendPlain(socket, head, body, fault);
    }
    co_return isKeptOpen &&incarnation == m_incarnation;
}

void SoakEndpoint::crashOn(const SoakAttempt &attempt)
{
    constexpr int MinPauseMs = 500;
    constexpr int MaxPauseMs = 2500;
    m_checks.poison().onCrash(attempt, m_instance);
    const std::chrono::milliseconds pause(
            std::uniform_int_distribution<int>(MinPauseMs, MaxPauseMs)(m_random));
    isBusy = true;
    const auto crash = [this, pause]() -> asio::awaitable<void> {
        co_await crashAndRestart(pause);
        isBusy = false;
    };
    asio::co_spawn(m_context, crash, asio::detached);
}

asio::awaitable<bool> SoakEndpoint::sendPlain(
        Socket &socket, const std::string &head, const std::string &body, Fault fault)
{
    if (fault == Fault::Cut) {
        co_await send(socket, head + body.substr(0, body.size() / 2));
        reset(socket);
        co_return false;
    }
    if (!head.empty()) {
        const bool isSent = co_await send(socket, head + body);
        if (!isSent)
            co_return false;
    }
    // Sent late, so that the connection may already carry the next request.
    if (fault == Fault::Extra && !m_lastAnswer.empty()) {
        co_await sleepFor(PollInterval);
        co_return co_await send(socket, m_lastAnswer);
    }
    if (!head.empty())
        m_lastAnswer = head + body;
    constexpr int EndlessPieces = 200;
    for (int i = 0; fault == Fault::Endless && i < EndlessPieces; ++i) {
        std::string piece(16384, 'x');
        const bool isSent = co_await send(socket, std::move(piece));
        if (!isSent)
            co_return false;
    }
    co_return true;
}

asio::awaitable<bool> SoakEndpoint::stream(Socket &socket, const Request &request,
        const SoakAttempt &attempt, std::string head, bool isCut)
{
    head += "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n";
    const std::string last = fieldOf(request, names::LastEventId);
    const std::uint64_t first = last.empty() ? 1 : std::strtoull(last.c_str(), nullptr, 10) + 1;
    const std::uint64_t incarnation = m_incarnation;
    co_await waitForEndOfSilence();
    bool isKeptOpen = co_await send(socket, std::move(head));
    std::uint64_t cutEvent = 0;
    if (isCut) {
        // Half of the cuts are within the first event: nothing of the stream can be passed on.
        const bool isInFirst = m_random() % 2 == 0;
        cutEvent = first + (isInFirst ? 0 : m_random() % (soakEvents(attempt.id) - first + 1));
    }
    for (std::uint64_t i = first; isKeptOpen && i <= soakEvents(attempt.id); ++i) {
        co_await sleepFor(soakEventInterval(attempt.id));
        co_await waitForEndOfSilence();
        if (incarnation != m_incarnation)
            co_return false;
        const std::string event = soakEvent(attempt.id, i);
        if (i == cutEvent) {
            // Cut in the middle of an event, as by a crash of the server.
            co_await send(socket, chunkOf(event.substr(0, event.size() / 2)));
            reset(socket);
            co_return false;
        }
        isKeptOpen = co_await send(socket, chunkOf(event));
    }
    if (isKeptOpen)
        isKeptOpen = co_await send(socket, "0\r\n\r\n");
    co_return isKeptOpen;
}

} // namespace oriolerill::standins
