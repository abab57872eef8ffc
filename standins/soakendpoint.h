#pragma once

#include "platform/tests/standinfleet.h"
#include "soakchecks.h"
#include "soakstore.h"

#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/http/message.hpp>
#include <boost/beast/http/string_body.hpp>

#include <memory>
#include <random>
#include <set>
#include <string>

namespace oriolerill::standins {

struct SoakEndpointOptions
{
    std::string name;
    std::string service;
    std::string zone;
    domain::SocketAddress address;
    bool isEngine = false;
    unsigned slots = 8;
    unsigned maxWaiting = 16;
};

/// A model engine or plain service, on plain sockets so that it can violate the protocol. It keeps
/// its registration in the store up to date.
class SoakEndpoint
{
public:
    /// Fault that is injected into a share of the answers.
    enum class Fault { None, Late, Cut, Extra, Endless, Failure };

    SoakEndpoint(boost::asio::io_context &context, SoakJournal &journal, SoakChecks &checks,
            SoakStore &store, SoakEndpointOptions options, std::uint64_t seed);

    const std::string &name() const { return m_options.name; }
    const SoakEndpointOptions &options() const { return m_options; }
    void start();
    boost::asio::awaitable<void> keepRegistered();
    /// Leaves as planned, serves on for the drain bound and the extra time, and restarts after the
    /// pause. Unannounced, its registration is removed at once.
    boost::asio::awaitable<void> drainAndRestart(
            domain::Duration extraTime, domain::Duration pause, bool isAnnounced = true);
    boost::asio::awaitable<void> crashAndRestart(domain::Duration pause);
    boost::asio::awaitable<void> injectFault(Fault fault, domain::Duration time);
    /// Sends a limit in each answer during the time.
    boost::asio::awaitable<void> announceLimit(double perSecond, domain::Duration time);
    /// Announces in each answer during the time that it is leaving, then restarts. The
    /// registration in the store does not change.
    boost::asio::awaitable<void> announceLeavingAndRestart(
            domain::Duration time, domain::Duration pause);
    /// Refuses all requests during the time, with the rest of it in Retry-After.
    boost::asio::awaitable<void> requestBackoff(domain::Duration time);
    /// The next time that all staged pieces have been read back, corrupts one of them and calls the
    /// handler.
    void corruptAfterNextCheck(std::function<void()> onCorrupted);
    /// Leaves the next order without an answer, corrupts a staged piece then, and accepts the order
    /// after the delay.
    void acceptNextOrderLate(domain::Duration delay) { m_lateOrderDelay = delay; }
    /// Sends nothing of any stream until the time, then goes on. This is no fault of the endpoint.
    void silenceStreamsUntil(domain::TimePoint time) { m_silentUntil = time; }
    /// During the time, requests of entries and closes of their connections arrive with the delay,
    /// in order. A disrupted link excuses late requests, a full one does not.
    boost::asio::awaitable<void> delayArrivals(
            domain::Duration delay, domain::Duration time, bool isDisrupted);
    /// A fault series acts on this endpoint; other series skip it.
    bool isBusy = false;

private:
    struct Socket : boost::asio::ip::tcp::socket
    {
        using boost::asio::ip::tcp::socket::socket;
        /// Time at which the close by the entry arrives, once the entry has closed.
        std::optional<domain::TimePoint> closeArrivesAt;
    };
    using Request = boost::beast::http::request<boost::beast::http::string_body>;
    class Slot;

    boost::asio::awaitable<void> acceptAll(std::uint64_t incarnation);
    boost::asio::awaitable<void> serve(std::shared_ptr<Socket> socket, std::uint64_t incarnation);
    boost::asio::awaitable<bool> answer(Socket &socket, Request request, std::uint64_t incarnation);
    /// Time at which what an entry sends now arrives.
    domain::TimePoint arrivalTime();
    bool hasCloseArrived(Socket &socket);
    /// Waits until a request that was sent now arrives.
    boost::asio::awaitable<void> waitForArrival(Socket &socket, const std::string &id);
    boost::asio::awaitable<bool> admit(Socket &socket, const Request &request,
            std::shared_ptr<SoakAttempt> attempt, std::uint64_t incarnation);
    boost::asio::awaitable<bool> run(
            Socket &socket, const Request &request, std::shared_ptr<SoakAttempt> attempt);
    /// Ends as if the request had crashed the engine, and starts again.
    void crashOn(const SoakAttempt &attempt);
    boost::asio::awaitable<bool> stream(Socket &socket, const Request &request,
            const SoakAttempt &attempt, std::string head, bool isCut);
    boost::asio::awaitable<bool> refuse(
            Socket &socket, const Request &request, unsigned status, std::string notices = {});
    /// Sends a plain answer, altered by the fault.
    boost::asio::awaitable<bool> sendPlain(
            Socket &socket, const std::string &head, const std::string &body, Fault fault);
    boost::asio::awaitable<bool> send(Socket &socket, std::string bytes);
    boost::asio::awaitable<void> waitForEndOfSilence();
    /// Header fields with the limit and the leaving notice for an answer to the attempt.
    std::string noticeFields(const SoakAttempt &attempt);
    void end();
    static void reset(Socket &socket);
    SoakEndpointFacts facts() const;
    boost::json::object registration() const;
    /// The store has returned from an older copy: drops an acknowledgement that it has lost, and
    /// lets earlier instances expire again. Returns the registration in the copy.
    boost::json::object onRestore();
    boost::asio::awaitable<void> acceptLate(
            transport::HttpRequest order, domain::Duration delay, std::uint64_t incarnation);
    /// Passes a control request to the engine and checks the load that it begins.
    transport::HttpResponse control(const transport::HttpRequest &request);
    /// Draws the fault of one answer while a fault is active.
    Fault drawFault();

    boost::asio::io_context &m_context;
    SoakJournal &m_journal;
    SoakChecks &m_checks;
    SoakStore &m_store;
    SoakEndpointOptions m_options;
    std::mt19937_64 m_random;
    platform::StandInEngine m_engine;
    std::unique_ptr<boost::asio::ip::tcp::acceptor> m_acceptor;
    std::set<std::shared_ptr<Socket>> m_sockets;
    /// Requests that wait or run.
    std::set<std::shared_ptr<SoakAttempt>> m_attempts;
    std::uint64_t m_incarnation = 0;
    std::string m_instance;
    std::uint64_t m_startedAtMs = 0;
    bool m_isUp = false;
    bool m_isDraining = false;
    /// Whether the registration states that it drains; otherwise it is removed at once.
    bool m_isDrainAnnounced = true;
    std::optional<domain::TimePoint> m_drainAckedAt;
    /// Requests per second; zero without a limit.
    double m_limit = 0;
    bool m_isAnnouncingLeaving = false;
    std::optional<domain::TimePoint> m_backoffUntil;
    domain::TimePoint m_silentUntil;
    /// Goes on with queued requests whose connections were closed.
    bool m_ignoresCloses = false;
    /// Requests that wait for a slot, in the order of their arrival.
    std::set<std::uint64_t> m_queue;
    std::uint64_t m_lastTicket = 0;
    domain::Duration m_arrivalDelay = domain::Duration::zero();
    domain::TimePoint m_lastArrival;
    domain::TimePoint m_linkDisruptedUntil;
    bool m_wasStoreStable = false;
    Fault m_fault = Fault::None;
    /// Times at which the registrations of earlier instances are removed: at once after a drain,
    /// otherwise when they expire for lack of heartbeats.
    std::map<std::string, domain::TimePoint> m_expiring;
    std::string m_lastAnswer;
    std::optional<domain::Duration> m_lateOrderDelay;
    /// An order accepted late has loaded a piece that was corrupted long before.
    bool m_hasCorruptWeights = false;
};

} // namespace oriolerill::standins
