#include "soakchecks.h"

#include "soakprocess.h"

#include <algorithm>

namespace oriolerill::standins {

using domain::TimePoint;

namespace {

bool isNotRunStatus(unsigned status)
{
    return status == 408 || status == 421 || status == 429 || status == 503;
}

std::string secondsSince(TimePoint time)
{
    const std::chrono::duration<double> elapsed = TimePoint::clock::now() - time;
    return std::to_string(elapsed.count()) + " s";
}

} // namespace

SoakChecks::SoakChecks(SoakJournal &journal)
    : m_journal(journal)
    , m_poison(journal)
{}

void SoakChecks::acknowledge(Acknowledgements &versions, std::uint64_t version)
{
    versions[version].reset();
    for (auto &[earlier, time] : versions) {
        if (earlier <= version && !time)
            time = TimePoint::clock::now();
    }
}

void SoakChecks::onRestore(
        std::uint64_t config, std::uint64_t weights, const std::vector<std::string> &withdrawnZones)
{
    for (auto version = m_configs.upper_bound(config); version != m_configs.end(); ++version)
        version->second.reset();
    for (auto version = m_weights.upper_bound(weights); version != m_weights.end(); ++version)
        version->second.reset();
    for (auto &[zone, time] : m_evacuations) {
        if (std::find(withdrawnZones.begin(), withdrawnZones.end(), zone) == withdrawnZones.end())
            time.reset();
    }
}

void SoakChecks::onConfig(std::uint64_t version)
{
    acknowledge(m_configs, version);
    m_journal.log("configuration " + std::to_string(version));
}

void SoakChecks::onWeights(std::uint64_t version)
{
    acknowledge(m_weights, version);
    m_journal.log("weights " + std::to_string(version));
}

void SoakChecks::onEvacuation(const std::string &zone, bool isWithdrawn)
{
    if (isWithdrawn)
        m_evacuations[zone] = TimePoint::clock::now();
    else
        m_evacuations.erase(zone);
    m_journal.log((isWithdrawn ? "withdrawal of " : "return of ") + zone);
}

std::string SoakChecks::text(const SoakAttempt &attempt)
{
    return attempt.id + ' ' + attempt.method + ' ' + attempt.target + " at " + attempt.entry
            + " life " + std::to_string(attempt.incarnation) + ", endpoint "
            + (attempt.endpoint.empty() ? "none" : attempt.endpoint) + ", sent "
            + secondsSince(attempt.sent) + " ago";
}

void SoakChecks::onLimit(const std::string &instance, double perSecond)
{
    if (perSecond > 0)
        m_limits[instance] = {perSecond, TimePoint::clock::now(), {}, {}};
    else
        m_limits.erase(instance);
}

void SoakChecks::onLimitAnnounced(const SoakAttempt &attempt, const std::string &instance)
{
    const auto limit = m_limits.find(instance);
    if (limit != m_limits.end())
        limit->second.announced.try_emplace(attempt.entry, TimePoint::clock::now());
}

/// Rule LIMIT. An entry under a fault is exempt.
void SoakChecks::checkLimit(const SoakAttempt &attempt, const SoakEndpointFacts &endpoint)
{
    const auto found = m_limits.find(endpoint.instance);
    if (found == m_limits.end())
        return;
    Limit &limit = found->second;
    const TimePoint now = TimePoint::clock::now();
    const auto announced = limit.announced.find(attempt.entry);
    const bool isLimitInForce = announced != limit.announced.end()
            && now >= announced->second + LimitNoticeTime
            && now >= limit.since + SoakJournal::ContactTime
            && m_journal.isFaultFree(attempt.entry, now - SoakJournal::ContactTime, now);
    if (!isLimitInForce)
        return;
    recordInForce("LIMIT");
    std::deque<TimePoint> &arrivals = limit.arrivals;
    arrivals.push_back(now);
    while (arrivals.front() + LimitWindow <= now)
        arrivals.pop_front();
    const std::chrono::duration<double> window = LimitWindow;
    const double allowed = limit.perSecond * LimitOverage * window.count() + LimitSlack;
    if (static_cast<double>(arrivals.size()) > allowed) {
        m_journal.violation("LIMIT",
                std::to_string(arrivals.size()) + " requests in 4 s at a limit of "
                        + std::to_string(limit.perSecond) + ": " + text(attempt));
    }
}

void SoakChecks::onNotice(const std::string &rule, const SoakAttempt &attempt,
        const std::string &instance, TimePoint until)
{
    const Notice notice{attempt.incarnation, TimePoint::clock::now(), until};
    Notice &recorded = m_notices.try_emplace({rule, instance, attempt.entry}, notice).first->second;
    if (recorded.incarnation != attempt.incarnation || recorded.until <= notice.since)
        recorded = notice;
}

bool SoakChecks::isInForce(const Notice &notice, const SoakAttempt &attempt) const
{
    const TimePoint now = TimePoint::clock::now();
    return notice.incarnation == attempt.incarnation && now > notice.since + NoticeBound
            && now < notice.until
            && m_journal.isFaultFree(attempt.entry, notice.since - SoakJournal::ContactTime, now);
}

/// Rules LEAVING and QUIET. An entry under a fault or after a restart is exempt.
void SoakChecks::checkNotice(const SoakAttempt &attempt, const SoakEndpointFacts &endpoint)
{
    for (const char *rule : {"LEAVING", "QUIET"}) {
        const auto found = m_notices.find({rule, endpoint.instance, attempt.entry});
        if (found != m_notices.end() && isInForce(found->second, attempt)) {
            m_journal.violation(rule,
                    secondsSince(found->second.since)
                            + " after the entry received the notice: " + text(attempt));
        }
    }
}

bool SoakChecks::isSettled(const SoakAttempt &attempt, TimePoint now) const
{
    return m_journal.isSettled(attempt.entry, attempt.sent)
            && m_journal.isSettled(attempt.entry, now);
}

bool SoakChecks::hasBoundPassed(const SoakAttempt &attempt, std::optional<TimePoint> since,
        domain::Duration bound, TimePoint at) const
{
    if (!since || at <= *since + bound)
        return false;
    const TimePoint now = TimePoint::clock::now();
    if (isSettled(attempt, now))
        return true;
    return at > *since + bound + MaxSkew
            && m_journal.isFaultFree(attempt.entry, attempt.sent - SoakJournal::ContactTime, now)
            && m_journal.isFaultFree("store-answers", *since, now);
}

std::shared_ptr<SoakAttempt> SoakChecks::begin(SoakAttempt attempt)
{
    auto result = std::make_shared<SoakAttempt>(std::move(attempt));
    if (m_poison.isChecked(*result))
        recordInForce("BUDGET");
    m_attempts[result->id] = result;
    return result;
}

std::shared_ptr<SoakAttempt> SoakChecks::find(const std::string &id) const
{
    const auto found = m_attempts.find(id);
    return found == m_attempts.end() ? nullptr : found->second;
}

std::shared_ptr<SoakAttempt> SoakChecks::onArrival(const std::string &id, const std::string &method,
        const std::string &target, const std::string &body, const SoakEndpointFacts &endpoint)
{
    const auto found = m_attempts.find(id);
    if (found == m_attempts.end()) {
        m_journal.violation("UNASKED", endpoint.instance + " got the unknown request " + id);
        return nullptr;
    }
    recordInForce("UNASKED");
    SoakAttempt &attempt = *found->second;
    attempt.endpoint = endpoint.instance;
    if (!attempt.deadlyCause.empty())
        m_poison.onArrival(attempt);
    if (method != attempt.method || target != attempt.target || body != attempt.body)
        m_journal.violation("UNASKED", "changed on the way: " + text(attempt));
    checkLimit(attempt, endpoint);
    // A request is not late at an endpoint when its link was disrupted.
    if (!endpoint.isLinkDisrupted) {
        checkDrainAndEvacuation(attempt, endpoint);
        checkNotice(attempt, endpoint);
    }
    return found->second;
}

void SoakChecks::checkDrainAndEvacuation(
        const SoakAttempt &attempt, const SoakEndpointFacts &endpoint)
{
    const TimePoint now = TimePoint::clock::now();
    if (endpoint.drainingSince && now > *endpoint.drainingSince + DrainBound
            && isSettled(attempt, now)) {
        m_journal.violation("DRAIN",
                "draining for " + secondsSince(*endpoint.drainingSince) + ": " + text(attempt));
    }
    for (const auto &[zone, since] : m_evacuations) {
        if (hasBoundPassed(attempt, since, EvacuationBound, now))
            recordInForce("EVAC");
    }
    const auto withdrawn = m_evacuations.find(endpoint.zone);
    if (withdrawn != m_evacuations.end()
            && hasBoundPassed(attempt, withdrawn->second, EvacuationBound, now)) {
        m_journal.violation("EVAC",
                endpoint.zone + " withdrawn for " + secondsSince(*withdrawn->second) + ": "
                        + text(attempt));
    }
}

void SoakChecks::onRun(SoakAttempt &attempt, const SoakEndpointFacts &endpoint)
{
    ++attempt.runs;
    if (!attempt.isIdempotent()) {
        recordInForce("TWICE");
        recordInForce("REFUSED");
    }
    if (attempt.runs > 1 && !attempt.isIdempotent())
        m_journal.violation("TWICE", std::to_string(attempt.runs) + " runs: " + text(attempt));
    if (attempt.refusal && !attempt.isIdempotent()) {
        m_journal.violation("REFUSED",
                "runs after the answer " + std::to_string(*attempt.refusal) + ": " + text(attempt));
    }
    if (endpoint.isEngine)
        checkWeights(attempt, endpoint);
}

/// The bound counts in one stretch in which the store was stable, that is, without faults for the
/// contact time, and no link was disrupted.
std::uint64_t SoakChecks::requiredWeights() const
{
    const TimePoint stable = std::max(
            m_journal.lastFault("store") + SoakJournal::ContactTime, m_journal.lastFault("links"));
    std::uint64_t required = 0;
    for (const auto &[version, namedAt] : m_weights) {
        if (namedAt && TimePoint::clock::now() > std::max(*namedAt, stable) + WeightsBound)
            required = version;
    }
    return required;
}

/// Rule VERSION.
void SoakChecks::checkWeights(const SoakAttempt &attempt, const SoakEndpointFacts &endpoint)
{
    const std::uint64_t required = requiredWeights();
    if (endpoint.weights >= required || !isSettled(attempt, TimePoint::clock::now()))
        return;
    m_journal.violation("VERSION",
            "begins on " + std::to_string(endpoint.weights) + ", " + std::to_string(required)
                    + " named " + secondsSince(*m_weights.at(required)) + " ago: " + text(attempt));
}

void SoakChecks::onAnswer(SoakAttempt &attempt, unsigned status, const std::string &id,
        const std::string &signature, const std::string &body)
{
    constexpr unsigned Ok = 200;
    constexpr unsigned Unauthorized = 401;
    constexpr unsigned Forbidden = 403;
    constexpr unsigned NotFound = 404;
    constexpr unsigned Failure = 500;
    ++m_outcomes[std::to_string(status)];
    recordInForce("DENIED");
    if (attempt.deadlyCause.empty() && body.find("crash engines") != std::string::npos)
        m_journal.violation("DENIED", "refused for a trait that is sound: " + text(attempt));
    // A notice that the entry must obey puts its rule in force, whichever endpoint got the request.
    for (const auto &[key, notice] : m_notices) {
        if (std::get<2>(key) == attempt.entry && isInForce(notice, attempt))
            recordInForce(std::get<0>(key));
    }
    // VERSION is in force while some engine serves weights on which no request may begin.
    const std::uint64_t required = requiredWeights();
    const bool isOlderServed = std::any_of(
            m_servedWeights.begin(), m_servedWeights.end(), [required](const auto &served) {
                return served.second > 0 && served.second < required;
            });
    if (attempt.isStream() && isOlderServed && isSettled(attempt, TimePoint::clock::now()))
        recordInForce("VERSION");
    const std::size_t dot = signature.rfind('.');
    const std::string instance = dot == std::string::npos ? "" : signature.substr(dot + 1);
    if (status == Failure && (id != attempt.id || body != soakFailure(id, instance))) {
        m_journal.violation("MIXED",
                "failure of " + id + ", signature " + signature + ", body of "
                        + std::to_string(body.size()) + " bytes: " + text(attempt));
    }
    if (status == Ok) {
        recordInForce(attempt.isStream() ? "ORDER" : "MIXED");
        ++m_served[attempt.kind];
        std::string expected;
        if (attempt.isStream()) {
            for (std::uint64_t i = 1; i <= soakEvents(attempt.id); ++i)
                expected += soakEvent(attempt.id, i);
        } else {
            expected = soakAnswer(attempt.id, instance);
        }
        if (id != attempt.id || !signature.starts_with(attempt.id + '.')) {
            m_journal.violation(
                    "MIXED", "answer of " + id + ", signature " + signature + ": " + text(attempt));
        } else if (body != expected) {
            m_journal.violation(attempt.isStream() ? "ORDER" : "MIXED",
                    "body of " + std::to_string(body.size()) + " bytes instead of "
                            + std::to_string(expected.size()) + ": " + text(attempt));
        }
        if (attempt.configVersion > 0)
            checkConfig(attempt, true);
        return;
    }
    if (isNotRunStatus(status)) {
        attempt.refusal = status;
        if (attempt.runs > 0 && !attempt.isIdempotent())
            m_journal.violation(
                    "REFUSED", std::to_string(status) + " after it ran: " + text(attempt));
    }
    if (status != Unauthorized && status != Forbidden && status != NotFound)
        return;
    if (status == NotFound && attempt.configVersion > 0)
        checkConfig(attempt, false);
    else
        m_journal.violation("DENIED", std::to_string(status) + ": " + text(attempt));
}

void SoakChecks::checkConfig(const SoakAttempt &attempt, bool isKnown)
{
    const TimePoint now = TimePoint::clock::now();
    const std::string version = std::to_string(attempt.configVersion);
    ConfigState &state = m_configStates[attempt.entry];
    if (state.incarnation != attempt.incarnation)
        state = {attempt.incarnation, 0, {}};
    const auto written = m_configs.find(attempt.configVersion);
    const bool isPastBound = written != m_configs.end()
            && hasBoundPassed(attempt, written->second, ConfigBound, attempt.sent);
    if (isPastBound)
        recordInForce("CONFIG");
    if (isKnown) {
        if (attempt.configVersion > state.version)
            state = {attempt.incarnation, attempt.configVersion, now};
        return;
    }
    if (attempt.configVersion <= state.version && attempt.sent > state.seenAt + RevertSlack) {
        m_journal.violation("CONFIG",
                "version " + version + " unknown after " + std::to_string(state.version)
                        + " was in force: " + text(attempt));
    }
    if (isPastBound) {
        m_journal.violation("CONFIG",
                "version " + version + ", written " + secondsSince(*written->second)
                        + " ago, unknown: " + text(attempt));
    }
}

/// Rule LOST at a planned stop. An entry with faults before the stop is exempt; the stop itself is
/// no fault here.
void SoakChecks::onBroken(
        const SoakAttempt &attempt, TimePoint stopRequestedAt, const std::string &error)
{
    ++m_outcomes["broken"];
    const TimePoint now = TimePoint::clock::now();
    constexpr auto MaxSendDelay = std::chrono::milliseconds(3000);
    const auto lastSixth = SoakProcess::GraceTime * 5 / 6;
    const bool isAccepted = attempt.runs > 0 || now > attempt.sent + AcceptanceSlack;
    if (stopRequestedAt == TimePoint())
        checkLostOutsideStop(attempt, error);
    if (stopRequestedAt == TimePoint() || !isAccepted || attempt.hasEndpointFailed
            || now >= attempt.sent + attempt.timeLimit())
        return;
    // A request whose run ended before the last sixth of the grace time is not excused.
    const bool isStillRunning = attempt.isAtWorkSince(stopRequestedAt + lastSixth)
            && now >= stopRequestedAt + lastSixth && attempt.sent <= stopRequestedAt + MaxSendDelay;
    const TimePoint before = std::min(attempt.sent, stopRequestedAt) - SoakJournal::ContactTime;
    const TimePoint justBefore = stopRequestedAt - std::chrono::nanoseconds(1);
    if (isStillRunning || !m_journal.isFaultFree(attempt.entry, before, justBefore))
        return;
    m_journal.violation("LOST",
            "cut " + secondsSince(stopRequestedAt) + " after SIGTERM (" + error
                    + "): " + text(attempt));
}

/// Rule LOST outside a planned stop. Only requests with an API key need a store without faults.
void SoakChecks::checkLostOutsideStop(const SoakAttempt &attempt, const std::string &error)
{
    const TimePoint now = TimePoint::clock::now();
    const TimePoint from = attempt.sent - SoakJournal::ContactTime;
    if (attempt.runs == 0 || attempt.hasEndpointFailed || now >= attempt.sent + attempt.timeLimit()
            || !m_journal.isFaultFree(attempt.entry, from, now)
            || (attempt.isStream() && !m_journal.isFaultFree("store", from, now)))
        return;
    ++m_lost;
    m_journal.log("left without an answer (" + error + "): " + text(attempt));
    if (m_lost > MaxLost)
        m_journal.violation(
                "LOST", std::to_string(m_lost) + " at entries without faults: " + text(attempt));
}

void SoakChecks::recordInForce(const std::string &rule)
{
    const auto now = TimePoint::clock::now().time_since_epoch();
    m_inForce[rule].insert(std::chrono::duration_cast<std::chrono::seconds>(now).count());
}

std::string SoakChecks::inForce() const
{
    std::string seconds = "seconds in force:";
    std::string unchecked;
    for (const char *rule :
            {"BUDGET", "CONFIG", "DENIED", "DRAIN", "EVAC", "LEAVING", "LIMIT", "LOST", "MIXED",
                    "ORDER", "QUIET", "REFUSED", "TWICE", "UNASKED", "VERSION", "WHOLE"}) {
        const auto found = m_inForce.find(rule);
        if (found == m_inForce.end())
            unchecked += std::string(" ") + rule;
        else
            seconds += std::string(" ") + rule + '=' + std::to_string(found->second.size());
    }
    return seconds + (unchecked.empty() ? "" : "; not checked:" + unchecked);
}

std::string SoakChecks::summary() const
{
    std::string line = "requests=" + std::to_string(m_attempts.size());
    for (const auto &[outcome, count] : m_outcomes)
        line += ' ' + outcome + '=' + std::to_string(count);
    return line;
}

void SoakChecks::checkServed()
{
    for (const SoakKind kind : {SoakKind::Read, SoakKind::Order, SoakKind::Stream,
                 SoakKind::ResumableStream, SoakKind::ConfigProbe}) {
        if (m_served[kind] == 0) {
            m_journal.violation(
                    "SERVED", "no request of kind " + std::to_string(static_cast<int>(kind)));
        }
    }
}

} // namespace oriolerill::standins
