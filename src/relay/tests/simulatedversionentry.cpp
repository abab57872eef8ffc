#include "relay/tests/simulatedversionentry.h"

#include <algorithm>
#include <cmath>
#include <sstream>
#include <utility>

namespace oriolerill::relay {

using namespace std::chrono_literals;
using domain::Duration;
using domain::TimePoint;
using routing::AttemptEnd;
using routing::RetryRefusal;

namespace {

/// Acknowledgement of the first naming.
constexpr TimePoint Naming{1h};
constexpr std::uint64_t OldestVersion = 1;
constexpr auto ArrivalInterval = 100ms;
/// An entry that has just started gets its first request.
constexpr auto StartTime = 500ms;
/// As RelayContext::withdrawOverdueAttempts. The phase is the latest one for a first naming that is
/// received at once.
constexpr auto WithdrawalInterval = 100ms;
constexpr auto WithdrawalPhase = 90ms;
/// As RelayContext::applyPause.
constexpr auto MinPause = 400ms;
constexpr auto ReportInterval = 100ms;
constexpr auto KnowledgeInterval = 500ms;
constexpr auto SuccessorSearchInterval = 200ms;
/// The answer to a waiting watch.
constexpr auto WatchTime = 10ms;
/// As FleetSubscriber's MaxProbeDelay: a read follows the return of the store by this time.
constexpr auto ProbeDelay = 300ms;
/// An engine's record in the store follows its weights.
constexpr auto ListingTime = 200ms;
constexpr auto FarTransit = 30ms;
constexpr auto NearTransit = 1ms;
/// The second far engine is updated to the first named version.
constexpr auto SecondEngineUpdate = 3000ms;
constexpr std::size_t Agents = 2;
/// How long after the acknowledgement each agent observes a naming: by its own watch, and by an
/// update of a publisher.
constexpr std::array<Duration, Agents> AgentObservation{20ms, 400ms};
/// Agents that found the namings at their start, where the entry itself has not just started.
constexpr auto AgentStart = 500ms;
constexpr auto AgentReadTime = 300ms;

long long ms(Duration time)
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(time).count();
}

routing::Route streamRoute()
{
    routing::Route route;
    route.name = "quotes";
    route.host = "h.example";
    route.pathPrefix = "/q/";
    route.kind = routing::RequestKind::Stream;
    route.isResumable = true;
    route.services = {{domain::ServiceId("models"), 1}};
    // Requests are not refused for the longest queue of the cases.
    route.objective = 7s;
    route.timeout = 6s;
    route.maxEndpoints = 2;
    return route;
}

routing::ServiceSpec engineService()
{
    routing::ServiceSpec service;
    service.id = domain::ServiceId("models");
    service.models = {SimulatedEngine::model()};
    service.engine = SimulatedEngine::speed();
    return service;
}

routing::DispatcherOptions optionsFor(TimePoint startedAt)
{
    routing::DispatcherOptions options;
    options.dataCentre = domain::DataCentreId("a");
    options.regions = {{domain::DataCentreId("a"), domain::RegionId("north")},
            {domain::DataCentreId("b"), domain::RegionId("south")}};
    options.assumedEntries = 8;
    options.weights.bound = SimulatedVersionEntry::Bound;
    options.weights.startedAt = startedAt;
    return options;
}

const char *toText(NamingSource source)
{
    constexpr const char *Names[] = {"watch", "update", "late read", "none"};
    return Names[static_cast<int>(source)];
}

const char *toText(AgentNamings agents)
{
    constexpr const char *Names[] = {"absent", "with time", "without time"};
    return Names[static_cast<int>(agents)];
}

} // namespace

std::ostream &operator<<(std::ostream &stream, const VersionCase &value)
{
    stream << "source " << toText(value.source) << " +" << ms(value.namingDelay) << ", agents "
           << toText(value.agents) << ", cut off " << value.isCutOff << ", bound restarted "
           << value.isBoundRestarted;
    if (value.startAt)
        stream << ", start " << ms(*value.startAt) << " first read +" << ms(value.firstRead);
    return stream << ", suspended " << ms(value.suspension) << " at " << ms(value.suspendedAt)
                  << " clock stopped " << value.isClockStopped << ", queue " << ms(value.queue)
                  << " growth " << ms(value.growth) << " before the bound "
                  << ms(value.growthBeforeBound) << " report lag " << ms(value.reportLag)
                  << ", near " << value.isNear << ", hold " << ms(value.hold)
                  << " before the bound " << ms(value.holdBeforeBound) << " lasting "
                  << value.isHoldLasting << ", close honoured " << value.isCloseHonoured
                  << ", versions " << value.versions << " each " << ms(value.namingInterval)
                  << ", idle " << value.hasIdle << ", newest " << value.hasNewest << ", phase "
                  << ms(value.phase);
}

SimulatedVersionEntry::SimulatedVersionEntry(const VersionCase &test, Duration contact)
    : m_test(test)
    , m_contact(contact)
    , m_route(streamRoute())
{
    /// A running entry is simulated from shortly before the naming on.
    constexpr auto Before = 300ms;
    m_startedAt = Naming + m_test.startAt.value_or(-Before) + m_test.phase;
    m_now = m_startedAt;
    m_nextArrival = m_startedAt + (m_test.startAt ? StartTime : 0ms);
    m_nextReport = m_startedAt;
    m_nextKnowledge = {m_startedAt + 300ms, m_startedAt + 350ms};
    addEngines();
    addReceipts();
}

TimePoint SimulatedVersionEntry::namedAt(std::uint64_t version) const
{
    return Naming + static_cast<int>(version - OldestVersion - 1) * m_test.namingInterval;
}

std::uint64_t SimulatedVersionEntry::newestVersionAt(TimePoint time) const
{
    std::uint64_t newest = OldestVersion;
    const auto last = OldestVersion + static_cast<std::uint64_t>(m_test.versions);
    while (newest < last && namedAt(newest + 1) <= time)
        ++newest;
    return newest;
}

TimePoint SimulatedVersionEntry::cutEnd() const
{
    return Naming + m_test.namingDelay - ProbeDelay;
}

TimePoint SimulatedVersionEntry::boundOf(std::uint64_t version) const
{
    const bool isRestarted = m_test.isCutOff && m_test.isBoundRestarted;
    return (isRestarted ? std::max(namedAt(version), cutEnd()) : namedAt(version)) + Bound;
}

bool SimulatedVersionEntry::isSuspended(TimePoint time) const
{
    const TimePoint from = Naming + m_test.suspendedAt;
    return time >= from && time < from + m_test.suspension;
}

bool SimulatedVersionEntry::isInTouch(TimePoint time) const
{
    const TimePoint suspendedFrom = Naming + m_test.suspendedAt;
    const bool isAfterSuspension = m_test.suspension > Duration::zero() && time >= suspendedFrom
            && time < suspendedFrom + m_test.suspension + m_contact;
    const bool isAfterStart = m_test.startAt && time < m_startedAt + m_contact;
    const bool isAfterCut = m_test.isCutOff && time < cutEnd() + m_contact;
    return !isAfterSuspension && !isAfterStart && !isAfterCut;
}

Duration SimulatedVersionEntry::stopped() const
{
    const TimePoint end = Naming + m_test.suspendedAt + m_test.suspension;
    const TimePoint from = std::max(Naming + m_test.suspendedAt, m_startedAt);
    return m_test.isClockStopped && m_now >= end && end > from ? end - from : Duration::zero();
}

void SimulatedVersionEntry::addEngines()
{
    const TimePoint bound = Naming + Bound;
    SimulatedEngine::Options far;
    far.dataCentre = m_test.isNear ? "a" : "b";
    far.link.transit = m_test.isNear ? NearTransit : FarTransit;
    if (m_test.hold > Duration::zero()) {
        // Shortly after a request was sent, which is then on the link.
        far.link.holdsFrom = bound - m_test.holdBeforeBound + FarTransit / 3;
        far.link.holdTime = m_test.hold;
        far.link.isLasting = m_test.isHoldLasting;
    }
    far.versions[TimePoint()] = OldestVersion;
    far.queue = m_test.queue;
    far.growth = m_test.growth;
    far.growsAt = bound - m_test.growthBeforeBound;
    far.reportLag = m_test.reportLag;
    far.isCloseHonoured = m_test.isCloseHonoured;
    m_engines.emplace_back(far);
    if (m_test.versions > 1)
        far.versions[Naming + SecondEngineUpdate] = OldestVersion + 1;
    far.number = 1;
    m_engines.emplace_back(far);
    SimulatedEngine::Options near;
    near.dataCentre = "a";
    near.versions[TimePoint()] = OldestVersion;
    near.growsAt = TimePoint::max();
    near.reportLag = m_test.reportLag;
    if (m_test.hasIdle) {
        near.number = static_cast<int>(m_engines.size());
        m_engines.emplace_back(near);
    }
    if (m_test.hasNewest) {
        for (int i = 1; i <= m_test.versions; ++i) {
            const std::uint64_t version = OldestVersion + static_cast<std::uint64_t>(i);
            near.versions[namedAt(version) + NewestSwitchTime] = version;
        }
        near.number = static_cast<int>(m_engines.size());
        m_engines.emplace_back(near);
    }
}

/// The store has the newest version only; a watch receives each one.
void SimulatedVersionEntry::addReceipts()
{
    if (!m_test.startAt)
        m_receipts.push_back({m_startedAt, OldestVersion, true, true});
    if (m_test.source == NamingSource::None)
        return;
    TimePoint readAt = TimePoint::min();
    if (m_test.startAt)
        readAt = m_startedAt + m_test.firstRead;
    if (m_test.source == NamingSource::LateRead)
        readAt = std::max(readAt, Naming + m_test.namingDelay);
    if (readAt != TimePoint::min())
        m_receipts.push_back({readAt, newestVersionAt(readAt), true, m_test.startAt.has_value()});
    const Duration delay = m_test.source == NamingSource::Update ? m_test.namingDelay : WatchTime;
    for (int i = 1; i <= m_test.versions; ++i) {
        const std::uint64_t version = OldestVersion + static_cast<std::uint64_t>(i);
        if (namedAt(version) > readAt)
            m_receipts.push_back({namedAt(version) + delay, version, false, false});
    }
    std::stable_sort(m_receipts.begin(), m_receipts.end(),
            [](const Receipt &one, const Receipt &other) { return one.at < other.at; });
}

SimulatedVersionEntry::Result SimulatedVersionEntry::run()
{
    constexpr auto AfterBound = 2000ms;
    TimePoint end = namedAt(newestVersionAt(TimePoint::max())) + Bound + AfterBound;
    end = std::max(end, m_startedAt + m_contact + AfterBound);
    if (m_test.source == NamingSource::LateRead)
        end = std::max(end, Naming + m_test.namingDelay + Bound + AfterBound);
    if (m_test.suspension > Duration::zero())
        end = std::max(
                end, Naming + m_test.suspendedAt + m_test.suspension + m_contact + AfterBound);
    start();
    while (m_now < end) {
        for (SimulatedEngine &engine : m_engines) {
            for (const SimulatedEngine::Event &event : engine.advance(m_now)) {
                check(event);
                m_answers.push_back({event.at + engine.options().link.transit, event});
            }
        }
        if (!isSuspended(m_now))
            tick();
        m_now += Tick;
    }
    return m_result;
}

void SimulatedVersionEntry::check(const SimulatedEngine::Event &event)
{
    if (event.kind != SimulatedEngine::EventKind::Begun)
        return;
    const Attempt &attempt = m_attempts[event.request];
    const std::uint64_t newest = newestVersionAt(event.at);
    for (std::uint64_t version = event.version + 1; version <= newest; ++version) {
        const bool isBroken = event.at > boundOf(version) && isInTouch(attempt.sentAtTrueTime);
        if (!isBroken)
            continue;
        const TimePoint bound = boundOf(version);
        m_result.breaches.push_back({describe(attempt, event, bound), event.at - bound,
                bound - attempt.sentAtTrueTime, evidenceFor(attempt)});
        return;
    }
}

SimulatedVersionEntry::HoldEvidence SimulatedVersionEntry::evidenceFor(const Attempt &attempt) const
{
    const SimulatedEngine::Link &link = m_engines[attempt.engine].options().link;
    if (!link.holdsFrom || attempt.sentAtTrueTime + link.transit < *link.holdsFrom)
        return HoldEvidence::Available;
    if (attempt.sentAtTrueTime < *link.holdsFrom)
        return HoldEvidence::OnLink;
    return attempt.sentAtTrueTime < m_holdEvidenceAt ? HoldEvidence::Missing
                                                     : HoldEvidence::Available;
}

std::string SimulatedVersionEntry::describe(
        const Attempt &attempt, const SimulatedEngine::Event &event, TimePoint bound) const
{
    std::ostringstream text;
    text << "begun on " << event.version << " at " << attempt.dispatch.endpoint << ' '
         << ms(event.at - bound) << " ms after the bound, sent "
         << ms(bound - attempt.sentAtTrueTime) << " ms before it, start expected after "
         << std::llround(attempt.dispatch.expectedStartMs) << " ms, ";
    if (attempt.closedAtTrueTime)
        text << "closed " << ms(bound - *attempt.closedAtTrueTime) << " ms before the bound";
    else
        text << "not closed";
    if (const auto &from = m_engines[attempt.engine].options().link.holdsFrom)
        text << ", sent " << ms(attempt.sentAtTrueTime - *from)
             << " ms after the link's hold began";
    return text.str();
}

/// Configuration and endpoints come from a publisher.
void SimulatedVersionEntry::start()
{
    /// A running entry has started so long ago.
    constexpr auto RunningTime = 60s;
    m_nextWithdrawal = now() + WithdrawalPhase;
    m_ranAt = now();
    m_dispatcher.emplace(optionsFor(m_test.startAt ? now() : now() - RunningTime));
    m_dispatcher->setConfig(std::make_shared<routing::ServingConfig>(
            1, std::vector{m_route}, std::vector{engineService()}, routing::CallerLimits()));
    std::vector<routing::ListedEndpoint> listed;
    for (const SimulatedEngine &engine : m_engines) {
        listed.push_back(engine.listedAt(m_now));
        m_listedVersions.push_back(engine.versionAt(m_now));
    }
    m_dispatcher->endpoints().replaceAll(listed, now());
}

/// Data that arrived during a suspension is processed after the first request, which applies the
/// suspension: the later of the two orders that the process may take.
void SimulatedVersionEntry::tick()
{
    for (; m_nextArrival <= m_now; m_nextArrival += ArrivalInterval)
        onArrival();
    receiveNamings();
    receiveKnowledge();
    receiveReports();
    receiveAnswers();
    for (Request &request : m_requests) {
        if (!request.isOver)
            onSilence(request);
    }
    withdrawOverdue();
}

void SimulatedVersionEntry::applySuspension()
{
    const TimePoint ranBefore = std::exchange(m_ranAt, now());
    if (now() - ranBefore > MinPause)
        m_dispatcher->onPaused(ranBefore, now());
    const Duration suspended = stopped() - m_appliedStop;
    if (suspended == Duration::zero())
        return;
    m_appliedStop = stopped();
    m_dispatcher->onSuspended(suspended);
    m_dispatcher->weights().onPaused(now() - suspended, now());
}

void SimulatedVersionEntry::receiveNamings()
{
    for (; m_nextReceipt < m_receipts.size() && m_receipts[m_nextReceipt].at <= m_now;
            ++m_nextReceipt) {
        const Receipt &receipt = m_receipts[m_nextReceipt];
        routing::WeightsRequirement &weights = m_dispatcher->weights();
        weights.onNamed(SimulatedEngine::model(), receipt.version, receipt.isAtStart, now());
        if (receipt.isFullList)
            weights.onStoreRead();
        weights.onCopyProven(now());
        m_appliedVersion = {1, receipt.version};
    }
}

/// As FleetSubscriber::onPeerKnowledge.
void SimulatedVersionEntry::receiveKnowledge()
{
    if (m_test.agents == AgentNamings::Absent)
        return;
    routing::WeightsRequirement &weights = m_dispatcher->weights();
    for (std::size_t agent = 0; agent < Agents; ++agent) {
        for (TimePoint &sentAt = m_nextKnowledge[agent]; sentAt <= m_now;
                sentAt += KnowledgeInterval) {
            const bool hasTimes = m_test.agents == AgentNamings::WithTime;
            const TimePoint startedAt
                    = hasTimes ? TimePoint::min() : std::max(m_startedAt, Naming + AgentStart);
            const TimePoint readAt = hasTimes ? TimePoint::min() : startedAt + AgentReadTime;
            const std::uint64_t newest = newestVersionAt(sentAt - AgentObservation[agent]);
            const std::uint64_t foundAtStart = hasTimes ? OldestVersion : newestVersionAt(readAt);
            if (sentAt < readAt)
                continue;
            const domain::ConfigVersion changedAt{1, std::max(newest, foundAtStart)};
            weights.onCovered(m_appliedVersion);
            const bool isNewer = changedAt > m_appliedVersion
                    && m_dispatcher->isEndpointAt(m_engines[agent].address());
            for (std::uint64_t version = changedAt.revision;
                    version >= foundAtStart && version > OldestVersion; --version) {
                routing::NamedVersion named{SimulatedEngine::model(), version, std::nullopt};
                const bool isObserved = hasTimes || namedAt(version) > readAt;
                if (isObserved) {
                    const Duration age = sentAt - namedAt(version) - AgentObservation[agent];
                    named.namedAt = now() - age;
                    weights.onNamingTime(named.model, named.version, *named.namedAt);
                }
                if (isNewer)
                    weights.onPublished(named, changedAt, m_engines[agent].address(), now());
            }
        }
    }
}

void SimulatedVersionEntry::receiveReports()
{
    if (m_now < m_nextReport)
        return;
    for (; m_nextReport <= m_now; m_nextReport += ReportInterval) {
    }
    m_reportedAt = m_now;
    for (std::size_t i = 0; i < m_engines.size(); ++i) {
        const SimulatedEngine &engine = m_engines[i];
        routing::EngineReport report = engine.reportAt(m_now);
        report.sequence = ++m_reportSequence;
        m_dispatcher->onReport(engine.address(), 0, report, now());
        const std::uint64_t listed = engine.versionAt(m_now - ListingTime);
        if (m_test.source != NamingSource::None && listed != m_listedVersions[i]) {
            m_listedVersions[i] = listed;
            m_dispatcher->endpoints().apply(
                    {{engine.id(), engine.listedAt(m_now - ListingTime)}}, now());
        }
    }
}

void SimulatedVersionEntry::receiveAnswers()
{
    std::vector<Answer> received;
    std::erase_if(m_answers, [&](const Answer &answer) {
        if (answer.receivedAt <= m_now)
            received.push_back(answer);
        return answer.receivedAt <= m_now;
    });
    for (const auto &[receivedAt, event] : received) {
        Attempt &attempt = m_attempts[event.request];
        // The connection was closed.
        if (attempt.isFinished)
            continue;
        switch (event.kind) {
        case SimulatedEngine::EventKind::Begun:
            onBegun(event.request);
            break;
        case SimulatedEngine::EventKind::Refused:
            onAttemptEnded(event.request, AttemptEnd::NotRun);
            break;
        case SimulatedEngine::EventKind::Completed:
            onAttemptEnded(event.request, AttemptEnd::Delivered);
            break;
        }
    }
}

void SimulatedVersionEntry::withdrawOverdue()
{
    if (now() < m_nextWithdrawal)
        return;
    m_nextWithdrawal = now() + WithdrawalInterval;
    applySuspension();
    m_unstarted.withdrawOverdue(m_dispatcher->weights(), now());
}

routing::DispatchDecision SimulatedVersionEntry::choose(Request &request)
{
    routing::DispatchQuery query;
    query.route = &m_route;
    query.request = &request.caller;
    query.service = m_route.services.front().service;
    query.excluded = request.excluded;
    return m_dispatcher->choose(query, now());
}

Duration SimulatedVersionEntry::timeGiven(
        const routing::Dispatch &dispatch, const Request &request, TimePoint now)
{
    const TimePoint stopAt = dispatch.stopAt.value_or(TimePoint::max());
    return std::max<Duration>(std::min(request.policy.deadline(), stopAt) - now, 1ms);
}

void SimulatedVersionEntry::onSent(Attempt &attempt)
{
    m_dispatcher->onSent(attempt.dispatch, attempt.sentAt);
}

void SimulatedVersionEntry::onAnswerBegun(Attempt &attempt)
{
    m_dispatcher->onAnswerBegun(attempt.dispatch, attempt.sentAt, now());
}

void SimulatedVersionEntry::onEnded(Attempt &attempt)
{
    m_dispatcher->onEnded(attempt.dispatch, attempt.sentAt, now());
}

void SimulatedVersionEntry::markStarted(Attempt &attempt)
{
    if (attempt.unstartedId)
        m_unstarted.remove(*attempt.unstartedId);
    attempt.unstartedId.reset();
}

void SimulatedVersionEntry::onArrival()
{
    ++m_result.arrived;
    applySuspension();
    routing::CallerRequest caller;
    caller.model = SimulatedEngine::model();
    caller.promptTokens = 900;
    m_requests.push_back(
            {now(), stopped(), caller, routing::AttemptPolicy(m_route, now() + m_route.timeout)});
    m_dispatcher->onRequest(m_route.services.front().service, now());
    serve(m_requests.back());
}

bool SimulatedVersionEntry::isPastDeadline(Request &request)
{
    applySuspension();
    return now() + (stopped() - request.stoppedBefore) >= request.policy.deadline();
}

void SimulatedVersionEntry::serve(Request &request)
{
    request.isOver = true;
    if (isPastDeadline(request))
        return;
    const routing::DispatchDecision decision = choose(request);
    if (request.policy.attempts() == 0)
        checkUsable(decision);
    const auto *dispatch = std::get_if<routing::Dispatch>(&decision);
    if (dispatch == nullptr)
        return;
    request.isOver = false;
    const auto position = std::find_if(m_requests.begin(), m_requests.end(),
            [&](const Request &other) { return &other == &request; });
    request.current
            = startAttempt(static_cast<std::size_t>(position - m_requests.begin()), *dispatch);
    request.silenceDeadline = request.policy.firstByteDeadline(dispatch->expectedStartMs, now());
}

void SimulatedVersionEntry::checkUsable(const routing::DispatchDecision &decision)
{
    const auto *refusal = std::get_if<routing::Refusal>(&decision);
    if (refusal == nullptr)
        return;
    std::ostringstream text;
    const TimePoint firstBound = Naming + Bound;
    text << "refused " << ms(firstBound - m_now) << " ms before the first bound, required "
         << refusal->requiredWeights << ", outdated " << refusal->outdated << " of "
         << refusal->listed << ", too late " << refusal->tooLate;
    const bool mayBeginOnOldest = m_now < firstBound - UsableBeforeBound;
    if (m_test.hasIdle && mayBeginOnOldest && !m_result.refusedBesideIdle)
        m_result.refusedBesideIdle = text.str();
    const TimePoint suspendedFrom = Naming + m_test.suspendedAt;
    const bool isReportCurrent = m_reportedAt
            && (m_now < suspendedFrom || *m_reportedAt >= suspendedFrom + m_test.suspension);
    const bool isReported = m_test.hasNewest && isReportCurrent
            && m_engines.back().reportAt(*m_reportedAt).weightsVersion >= newestVersionAt(m_now);
    if (isReported && !m_result.refusedBesideNewest)
        m_result.refusedBesideNewest = text.str();
}

std::uint64_t SimulatedVersionEntry::startAttempt(
        std::size_t request, const routing::Dispatch &dispatch)
{
    const auto number = static_cast<std::uint64_t>(m_attempts.size());
    const auto engine = std::find_if(m_engines.begin(), m_engines.end(),
            [&](const SimulatedEngine &other) { return other.id() == dispatch.endpoint; });
    Request &owner = m_requests[request];
    owner.policy.onAttempt();
    m_attempts.push_back({request, static_cast<std::size_t>(engine - m_engines.begin()), dispatch,
            now(), m_now, {}, {}});
    Attempt &attempt = m_attempts.back();
    onSent(attempt);
    ++m_result.sent;
    const SimulatedEngine::Link &link = engine->options().link;
    if (link.holdsFrom && m_now + link.transit >= *link.holdsFrom) {
        const auto expected = std::chrono::milliseconds(std::llround(dispatch.expectedStartMs));
        m_holdEvidenceAt
                = std::min(m_holdEvidenceAt, m_now + 2 * link.transit + expected + EvidenceTime);
    }
    engine->send(number, timeGiven(dispatch, owner, now()), dispatch.weightsVersion, m_now);
    owner.policy.onSent();
    attempt.beginDeadline = owner.policy.firstByteDeadline(dispatch.expectedStartMs, now());
    attempt.expectedAt = owner.policy.latestExpectedStart(dispatch.expectedStartMs, now());
    if (dispatch.servedWeights > 0) {
        attempt.unstartedId
                = m_unstarted.add({owner.caller.model, dispatch.servedWeights, [this, number] {
                                       m_attempts[number].unstartedId.reset();
                                       cancel(number, AttemptEnd::Withdrawn);
                                   }});
    }
    return number;
}

void SimulatedVersionEntry::onBegun(std::uint64_t number)
{
    Attempt &attempt = m_attempts[number];
    Request &request = m_requests[attempt.request];
    markStarted(attempt);
    onAnswerBegun(attempt);
    attempt.hasBegun = true;
    request.silenceDeadline = TimePoint::max();
    std::erase(request.successors, number);
    cancelSuccessors(request);
    const std::uint64_t before = std::exchange(*request.current, number);
    request.currentEnd.reset();
    if (before != number) {
        request.excluded.insert(m_attempts[before].dispatch.endpoint);
        cancel(before, AttemptEnd::Superseded);
    }
}

void SimulatedVersionEntry::onSilence(Request &request)
{
    const Attempt &current = m_attempts[*request.current];
    if (now() >= request.policy.lastAnswerAt() && !current.hasBegun) {
        cancelSuccessors(request);
        cancel(*request.current, AttemptEnd::TimedOut);
        request.isOver = true;
        return;
    }
    const bool isWaiting = !current.hasBegun && !current.isFinished;
    const TimePoint deadline = isWaiting ? std::max(request.silenceDeadline, current.beginDeadline)
                                         : request.silenceDeadline;
    if (now() < deadline || deadline >= request.policy.lastAnswerAt())
        return;
    const auto markSilent = [this](Attempt &attempt) {
        if (!attempt.isFinished && !std::exchange(attempt.isSilent, true))
            m_dispatcher->load(attempt.dispatch.endpoint).onFailure(now());
    };
    markSilent(m_attempts[*request.current]);
    for (const std::uint64_t successor : request.successors) {
        if (now() >= m_attempts[successor].beginDeadline)
            markSilent(m_attempts[successor]);
    }
    const TimePoint abandonedAt = abandonAt(request);
    if (now() >= abandonedAt) {
        cancelSuccessors(request);
        cancel(*request.current, AttemptEnd::TimedOut);
        request.isOver = true;
        return;
    }
    const std::optional<RetryRefusal> refusal = startSuccessor(request);
    const bool isTransient = refusal == RetryRefusal::Budget || refusal == RetryRefusal::NoEndpoint;
    if (!refusal)
        request.silenceDeadline = std::min(
                request.silenceDeadline, std::max(abandonedAt, now() + SuccessorSearchInterval));
    else
        request.silenceDeadline = isTransient
                ? std::min(abandonedAt, now() + SuccessorSearchInterval)
                : abandonedAt;
}

TimePoint SimulatedVersionEntry::abandonAt(const Request &request) const
{
    return request.policy.abandonAt(request.arrivedAt, m_attempts[*request.current].expectedAt);
}

std::optional<RetryRefusal> SimulatedVersionEntry::startSuccessor(Request &request)
{
    if (isPastDeadline(request))
        return RetryRefusal::Deadline;
    if (request.policy.beside(false) == routing::NextAttempt::None)
        return RetryRefusal::Attempts;
    const Attempt &current = m_attempts[*request.current];
    request.excluded.insert(current.dispatch.endpoint);
    const routing::DispatchDecision decision = choose(request);
    const auto *dispatch = std::get_if<routing::Dispatch>(&decision);
    if (dispatch == nullptr)
        return RetryRefusal::NoEndpoint;
    const auto expected = std::chrono::milliseconds(std::llround(dispatch->expectedStartMs));
    if (now() + expected >= abandonAt(request)) {
        m_dispatcher->onNotSent(*dispatch);
        return RetryRefusal::Patience;
    }
    if (!m_dispatcher->tryRetry(m_route.services.front().service, now())) {
        m_dispatcher->onNotSent(*dispatch);
        return RetryRefusal::Budget;
    }
    request.excluded.insert(dispatch->endpoint);
    request.successors.push_back(startAttempt(current.request, *dispatch));
    request.silenceDeadline = request.policy.firstByteDeadline(dispatch->expectedStartMs, now());
    return std::nullopt;
}

void SimulatedVersionEntry::cancelSuccessors(Request &request)
{
    const std::vector<std::uint64_t> successors = std::exchange(request.successors, {});
    for (const std::uint64_t successor : successors) {
        Attempt &attempt = m_attempts[successor];
        m_engines[attempt.engine].close(successor, m_now);
        attempt.closedAtTrueTime = m_now;
        request.policy.onEnd(AttemptEnd::Superseded);
        finish(attempt, AttemptEnd::Superseded);
    }
}

void SimulatedVersionEntry::cancel(std::uint64_t number, AttemptEnd as)
{
    Attempt &attempt = m_attempts[number];
    if (attempt.isFinished)
        return;
    m_engines[attempt.engine].close(number, m_now);
    attempt.closedAtTrueTime = m_now;
    onAttemptEnded(number, as);
}

void SimulatedVersionEntry::finish(Attempt &attempt, AttemptEnd end)
{
    if (std::exchange(attempt.isFinished, true))
        return;
    markStarted(attempt);
    onEnded(attempt);
    routing::EndpointLoad &load = m_dispatcher->load(attempt.dispatch.endpoint);
    if (end == AttemptEnd::Delivered)
        load.onSuccess();
    else if (end == AttemptEnd::NotRun)
        load.onRefused(now());
}

void SimulatedVersionEntry::onAttemptEnded(std::uint64_t number, AttemptEnd end)
{
    Attempt &attempt = m_attempts[number];
    if (attempt.isFinished)
        return;
    Request &request = m_requests[attempt.request];
    request.policy.onEnd(end);
    finish(attempt, end);
    if (request.isOver)
        return;
    if (number == *request.current) {
        request.currentEnd = end;
        if (end == AttemptEnd::Delivered || end == AttemptEnd::TimedOut) {
            request.isOver = true;
            cancelSuccessors(request);
        }
    } else if (std::erase(request.successors, number) > 0 && end == AttemptEnd::NotRun) {
        request.silenceDeadline = now();
    }
    if (!request.isOver && request.currentEnd && request.successors.empty())
        retryAfter(request, *request.currentEnd);
}

void SimulatedVersionEntry::retryAfter(Request &request, AttemptEnd end)
{
    request.currentEnd.reset();
    request.silenceDeadline = TimePoint::max();
    request.excluded.insert(m_attempts[*request.current].dispatch.endpoint);
    request.isOver = isPastDeadline(request);
    if (request.isOver)
        return;
    const routing::NextAttempt next = request.policy.next(end);
    request.isOver = next == routing::NextAttempt::None
            || (next == routing::NextAttempt::WithinBudget
                    && !m_dispatcher->tryRetry(m_route.services.front().service, now()));
    if (!request.isOver)
        serve(request);
}

} // namespace oriolerill::relay
