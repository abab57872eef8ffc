#pragma once

#include "relay/internal/unstartedattempts.h"
#include "relay/tests/simulatedengine.h"
#include "routing/attemptpolicy.h"
#include "routing/dispatcher.h"

#include <array>
#include <deque>
#include <optional>
#include <ostream>
#include <set>
#include <string>
#include <vector>

namespace oriolerill::relay {

/// How the entry itself receives the namings.
enum class NamingSource {
    /// Its watch is answered at once.
    Watch,
    /// An update of a publisher arrives after namingDelay.
    Update,
    /// A read of the store is answered namingDelay after the first naming; a watch from then on.
    LateRead,
    /// It has not read the store since before the first naming.
    None,
};

/// What the agents beside the engines publish.
enum class AgentNamings {
    Absent,
    WithTime,
    /// They found the namings at their start.
    WithoutTime,
};

/// Namings of weights versions, one entry, and what happens beside them. Times are relative to the
/// acknowledgement of the first naming unless stated otherwise.
struct VersionCase
{
    NamingSource source = NamingSource::Watch;
    domain::Duration namingDelay = {};
    AgentNamings agents = AgentNamings::Absent;
    /// The entry is cut off from the store until shortly before its late read, and so out of touch;
    /// otherwise it counts as being in touch all the while.
    bool isCutOff = false;
    /// The bounds count from the end of that cut at the earliest.
    bool isBoundRestarted = false;
    /// Start of the entry; without it, it has been running for a minute.
    std::optional<domain::Duration> startAt = std::nullopt;
    /// From the start to the answer to the first read of the store.
    domain::Duration firstRead = std::chrono::milliseconds(200);
    domain::Duration suspendedAt = {};
    domain::Duration suspension = {};
    /// The steady clock does not count the suspension.
    bool isClockStopped = true;
    /// The engines with the oldest version are in the data centre of the entry, on a link that
    /// holds nothing.
    bool isNear = false;
    /// Queue of the far engines; it grows this long before the first bound.
    domain::Duration queue = {};
    domain::Duration growth = {};
    domain::Duration growthBeforeBound = {};
    domain::Duration reportLag = std::chrono::milliseconds(100);
    /// The link to the far engines begins to hold bytes this long before the first bound.
    domain::Duration holdBeforeBound = {};
    domain::Duration hold = {};
    bool isHoldLasting = false;
    /// The far engines remove the request of a closed connection from their queues.
    bool isCloseHonoured = true;
    int versions = 1;
    domain::Duration namingInterval = {};
    /// An idle engine near by that serves the oldest version, and one that serves each version
    /// NewestSwitchTime after its naming.
    bool hasIdle = false;
    bool hasNewest = false;
    /// From the naming, or a multiple of 100 ms before it, to the entry's arrivals and timers.
    domain::Duration phase = {};
};

std::ostream &operator<<(std::ostream &stream, const VersionCase &value);

/// An entry with its decisions about requests for a model, engines, and the sources of namings, in
/// simulated time. Without I/O and clock.
///
/// Two engines in another data centre serve the oldest version; with several namings the second of
/// them is updated to the first named version. Their queues, their link and whether they honour a
/// closed connection are those of the case.
class SimulatedVersionEntry
{
public:
    static constexpr domain::Duration Bound = std::chrono::milliseconds(8000);
    static constexpr domain::Duration NewestSwitchTime = std::chrono::milliseconds(1000);
    /// Until this long before the bound an idle engine near by must be used.
    static constexpr domain::Duration UsableBeforeBound = std::chrono::milliseconds(2500);

    /// What the entry could know of a holding link when it sent a request.
    enum class HoldEvidence {
        /// The link does not hold, or the start of an earlier request is overdue by EvidenceTime.
        Available,
        /// The link holds, and no earlier request's start is overdue by EvidenceTime.
        Missing,
        /// The link did not hold yet; it began to while the request was on it.
        OnLink,
    };
    static constexpr domain::Duration EvidenceTime = std::chrono::milliseconds(200);

    /// A request that began on an older version after the bound.
    struct Breach
    {
        std::string text;
        /// From the bound to the begin.
        domain::Duration lateness = {};
        /// From the sending to the bound.
        domain::Duration sentBeforeBound = {};
        HoldEvidence evidence = HoldEvidence::Available;
    };
    struct Result
    {
        std::vector<Breach> breaches;
        /// Requests that were refused though a usable engine was there; the first one.
        std::optional<std::string> refusedBesideIdle;
        std::optional<std::string> refusedBesideNewest;
        std::size_t arrived = 0;
        /// Attempts sent to engines.
        std::size_t sent = 0;
    };

    /// A machine is in touch from contact after its start or the end of its last impairment on.
    SimulatedVersionEntry(const VersionCase &test, domain::Duration contact);

    Result run();

private:
    static constexpr domain::Duration Tick = std::chrono::milliseconds(10);

    /// Namings that the entry reads from the store or from a publisher.
    struct Receipt
    {
        domain::TimePoint at;
        std::uint64_t version;
        bool isFullList;
        bool isAtStart;
    };
    struct Attempt
    {
        std::size_t request;
        std::size_t engine;
        routing::Dispatch dispatch;
        /// By the entry's clock, and by the simulation's.
        domain::TimePoint sentAt;
        domain::TimePoint sentAtTrueTime;
        domain::TimePoint beginDeadline;
        domain::TimePoint expectedAt;
        std::optional<std::uint64_t> unstartedId = std::nullopt;
        std::optional<domain::TimePoint> closedAtTrueTime = std::nullopt;
        bool hasBegun = false;
        bool isSilent = false;
        bool isFinished = false;
    };
    struct Request
    {
        domain::TimePoint arrivedAt;
        domain::Duration stoppedBefore;
        routing::CallerRequest caller;
        routing::AttemptPolicy policy;
        std::set<domain::EndpointId> excluded = {};
        std::optional<std::uint64_t> current = std::nullopt;
        std::vector<std::uint64_t> successors = {};
        domain::TimePoint silenceDeadline = domain::TimePoint::max();
        /// How the current attempt ended; its successors are awaited.
        std::optional<routing::AttemptEnd> currentEnd = std::nullopt;
        bool isOver = false;
    };
    struct Answer
    {
        domain::TimePoint receivedAt;
        SimulatedEngine::Event event;
    };

    // The case in true time.
    domain::TimePoint namedAt(std::uint64_t version) const;
    std::uint64_t newestVersionAt(domain::TimePoint time) const;
    domain::TimePoint boundOf(std::uint64_t version) const;
    domain::TimePoint cutEnd() const;
    bool isInTouch(domain::TimePoint time) const;
    bool isSuspended(domain::TimePoint time) const;
    void addEngines();
    void addReceipts();
    void check(const SimulatedEngine::Event &event);
    HoldEvidence evidenceFor(const Attempt &attempt) const;
    std::string describe(const Attempt &attempt, const SimulatedEngine::Event &event,
            domain::TimePoint bound) const;

    // The entry's clock, and its calls of the decision classes in the order of the shell.
    domain::TimePoint now() const { return m_now - stopped(); }
    domain::Duration stopped() const;
    void start();
    void tick();
    void applySuspension();
    void receiveNamings();
    void receiveKnowledge();
    void receiveReports();
    void receiveAnswers();
    void withdrawOverdue();
    routing::DispatchDecision choose(Request &request);
    static domain::Duration timeGiven(
            const routing::Dispatch &dispatch, const Request &request, domain::TimePoint now);
    void onSent(Attempt &attempt);
    void onAnswerBegun(Attempt &attempt);
    void onEnded(Attempt &attempt);
    void markStarted(Attempt &attempt);

    // One request, as RequestRun and EndpointAttempt run it.
    void onArrival();
    void serve(Request &request);
    void checkUsable(const routing::DispatchDecision &decision);
    std::uint64_t startAttempt(std::size_t request, const routing::Dispatch &dispatch);
    void onBegun(std::uint64_t number);
    void onSilence(Request &request);
    std::optional<routing::RetryRefusal> startSuccessor(Request &request);
    void cancelSuccessors(Request &request);
    void cancel(std::uint64_t number, routing::AttemptEnd as);
    void finish(Attempt &attempt, routing::AttemptEnd end);
    void onAttemptEnded(std::uint64_t number, routing::AttemptEnd end);
    void retryAfter(Request &request, routing::AttemptEnd end);
    bool isPastDeadline(Request &request);
    domain::TimePoint abandonAt(const Request &request) const;

    VersionCase m_test;
    domain::Duration m_contact;
    routing::Route m_route;
    std::vector<SimulatedEngine> m_engines;
    std::vector<Receipt> m_receipts;
    std::size_t m_nextReceipt = 0;
    std::array<domain::TimePoint, 2> m_nextKnowledge;
    std::optional<routing::Dispatcher> m_dispatcher;
    internal::UnstartedAttempts m_unstarted;
    std::deque<Request> m_requests;
    std::deque<Attempt> m_attempts;
    std::vector<Answer> m_answers;
    /// True time.
    domain::TimePoint m_now;
    domain::TimePoint m_startedAt;
    domain::TimePoint m_nextArrival;
    domain::TimePoint m_nextReport;
    domain::TimePoint m_nextWithdrawal;
    std::optional<domain::TimePoint> m_reportedAt;
    std::vector<std::uint64_t> m_listedVersions;
    domain::Duration m_appliedStop = {};
    /// When the entry last checked that it runs, by its clock.
    domain::TimePoint m_ranAt;
    domain::ConfigVersion m_appliedVersion;
    /// When the start of the first request that the link holds is overdue by EvidenceTime.
    domain::TimePoint m_holdEvidenceAt = domain::TimePoint::max();
    std::uint64_t m_reportSequence = 0;
    Result m_result;
};

} // namespace oriolerill::relay
