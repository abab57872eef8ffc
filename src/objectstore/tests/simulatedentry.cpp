#include "objectstore/tests/simulatedentry.h"

#include <algorithm>
#include <utility>

namespace oriolerill::objectstore {

using namespace std::chrono_literals;
using domain::ConfigVersion;
using domain::Duration;
using domain::TimePoint;
using internal::AwaitOtherPath;
using internal::FetchFromPeer;
using internal::ListStore;
using internal::Pause;
using internal::WatchStore;

namespace {

constexpr TimePoint Start{1h};
constexpr auto OutageBegin = 1000ms;
constexpr ConfigVersion FirstChange{1, 10};
/// Changes of other collections raise the store's revision at this interval.
constexpr auto RevisionInterval = 100ms;
constexpr auto ProbeAnswerTime = 20ms;
constexpr auto PeerFetchTime = 300ms;
/// Until a retry delay that was cancelled ends.
constexpr auto RetryCheckInterval = 100ms;
constexpr std::uint32_t Entries = 30;
constexpr std::uint32_t Publishers = 2;
/// Worst case of each random delay.
constexpr double LongestJitter = 1.0;

enum class Role { Probe, LargeCollection, SmallCollection };

/// As FleetSubscriber sets them.
StoreSubscriberOptions optionsFor(const SimulatedEntry::Bounds &bounds, Role role)
{
    StoreSubscriberOptions options;
    if (role == Role::LargeCollection) {
        options.freshnessBudget = bounds.apply - 500ms;
        options.maxBehindTime = std::chrono::duration_cast<Duration>(bounds.apply * 0.9);
        options.maxUnprovenTime = std::chrono::duration_cast<Duration>(bounds.contact * 0.9);
        options.answerTimeout = std::chrono::duration_cast<Duration>(bounds.apply * 0.25);
        options.listTimeout = std::chrono::duration_cast<Duration>(bounds.apply * 0.375);
        return options;
    }
    options.freshnessBudget = 1500ms;
    options.answerTimeout = 700ms;
    options.listTimeout = 1000ms;
    if (role == Role::Probe)
        options.maxRetryDelay = 300ms;
    return options;
}

long long ms(Duration time)
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(time).count();
}

} // namespace

std::ostream &operator<<(std::ostream &stream, const ReturnCase &value)
{
    static constexpr std::array<const char *, 2> Refusals{"silent", "reset"};
    static constexpr std::array<const char *, 4> States{
            "in touch", "out of touch", "killed after its announcement", "absent"};
    static constexpr std::array<const char *, 3> Changes{
            "during the outage", "just before the return", "just after the return"};
    stream << Refusals.at(static_cast<std::size_t>(value.refusal)) << " store for "
           << ms(value.outage) << " ms, rank " << value.rank << ", publisher "
           << States.at(static_cast<std::size_t>(value.publisher)) << ", change ";
    if (value.changeAfterLoss)
        stream << ms(*value.changeAfterLoss) << " ms after the publishers' loss";
    else
        stream << Changes.at(static_cast<std::size_t>(value.change));
    return stream << ", " << value.lostCalls << " lost calls"
                  << (value.isInterrupted ? ", one answer within" : "")
                  << (value.isWatchDeaf ? ", deaf watches" : "") << ", "
                  << (value.isLarge ? "large" : "small") << " collection answered in "
                  << ms(value.answerTime) << " ms, suspended for " << ms(value.suspension) << " ms";
}

SimulatedEntry::SimulatedEntry(const ReturnCase &test, const Bounds &bounds)
    : m_test(test)
    , m_bounds(bounds)
    , m_stagger(Publishers, std::chrono::duration_cast<Duration>(bounds.apply * 0.6))
    , m_probe(optionsFor(bounds, Role::Probe))
    , m_subject(optionsFor(bounds, test.isLarge ? Role::LargeCollection : Role::SmallCollection))
    , m_now(Start)
    , m_lostCallsLeft(test.lostCalls)
    , m_publisherChange(FirstChange)
    , m_publisherProvenAt(Start)
    , m_publishAt(Start)
{
    m_stagger.setRank(test.rank, Entries);
    m_subject.isSubject = true;
    m_subject.schedule.setProbe(m_probe.schedule);
    if (test.isLarge) {
        m_subject.copy.setReadStagger(m_stagger);
        m_subject.copy.keepCollectionCopy();
        m_subject.schedule.setHasPeers();
    }
    if (test.changeAfterLoss) {
        m_changeAt = Start + OutageBegin + *test.changeAfterLoss;
        return;
    }
    switch (test.change) {
    case ChangeTime::DuringOutage:
        m_changeAt = Start + OutageBegin + test.outage / 2;
        break;
    case ChangeTime::JustBeforeReturn:
        m_changeAt = returnAt() - 100ms;
        break;
    case ChangeTime::JustAfterReturn:
        m_changeAt = returnAt() + 200ms;
        break;
    }
}

TimePoint SimulatedEntry::returnAt() const
{
    return Start + OutageBegin + m_test.outage;
}

TimePoint SimulatedEntry::publisherReturnAt() const
{
    constexpr auto LaterReturn = 1400ms;
    return m_test.changeAfterLoss ? TimePoint::max() : returnAt() + LaterReturn;
}

bool SimulatedEntry::isSuspended(TimePoint time) const
{
    return time >= returnAt() && time < returnAt() + m_test.suspension;
}

TimePoint SimulatedEntry::lossBegin() const
{
    return m_test.changeAfterLoss ? m_changeAt : returnAt();
}

TimePoint SimulatedEntry::boundAt() const
{
    const TimePoint appliedBy = m_changeAt + m_bounds.apply;
    if (m_test.changeAfterLoss)
        return appliedBy;
    return std::max(appliedBy, returnAt() + m_test.suspension + m_bounds.contact);
}

bool SimulatedEntry::isAway(TimePoint time) const
{
    constexpr auto AnsweringTime = 100ms;
    const TimePoint middle = Start + OutageBegin + m_test.outage / 2;
    const bool isAnswering
            = m_test.isInterrupted && time >= middle && time < middle + AnsweringTime;
    return time >= Start + OutageBegin && time < returnAt() && !isAnswering;
}

ConfigVersion SimulatedEntry::versionAt(TimePoint time) const
{
    const auto steps
            = static_cast<std::uint64_t>(std::max<Duration>(time - Start, {}) / RevisionInterval);
    // The change is the first one of its interval.
    return {FirstChange.epoch, FirstChange.revision + steps + (time >= m_changeAt ? 1 : 0)};
}

ConfigVersion SimulatedEntry::changeAt(TimePoint time) const
{
    return time < m_changeAt ? FirstChange : versionAt(m_changeAt);
}

ObjectList SimulatedEntry::changesAt(TimePoint time, ConfigVersion after) const
{
    ObjectList changes{{}, versionAt(time)};
    if (changeAt(time) > after)
        changes.objects.push_back({"configuration/main", "{}", changeAt(time), false});
    return changes;
}

bool SimulatedEntry::hasChange() const
{
    return m_now >= m_changeAt && m_subject.copy.lastChangeVersion() >= versionAt(m_changeAt);
}

SimulatedEntry::Call SimulatedEntry::send(Subscriber &subscriber, CallKind kind, Duration wait)
{
    const Duration timeout = kind == CallKind::List ? subscriber.options.listTimeout
                                                    : subscriber.options.answerTimeout;
    const Duration answerTime = subscriber.isSubject ? m_test.answerTime : ProbeAnswerTime;
    Call call{kind, m_now, wait, subscriber.copy.generation(), subscriber.copy.version(), {}, true};
    const bool isLost = m_now >= lossBegin() && wait == Duration::zero() && m_lostCallsLeft > 0;
    if (isLost)
        --m_lostCallsLeft;
    if (isAway(m_now) || isLost) {
        call.isAnswered = false;
        call.endsAt = m_test.refusal == Refusal::Reset && !isLost ? m_now + Tick
                                                                  : m_now + wait + timeout;
        return call;
    }
    call.endsAt = m_now + answerTime;
    const bool hasChanges = subscriber.isSubject && changeAt(m_now) > subscriber.copy.version();
    if (kind == CallKind::Watch && !hasChanges) {
        const bool endsWithChange = subscriber.isSubject && !m_test.isWatchDeaf
                && m_changeAt > m_now && m_changeAt < m_now + wait;
        call.endsAt = endsWithChange ? m_changeAt + answerTime : m_now + wait;
    }
    // The outage ends or loses the calls that are waiting.
    const TimePoint outageAt = Start + OutageBegin;
    if (!m_test.changeAfterLoss && m_now < outageAt && call.endsAt >= outageAt) {
        call.isAnswered = false;
        call.endsAt = m_test.refusal == Refusal::Reset ? outageAt + Tick : m_now + wait + timeout;
    }
    return call;
}

std::optional<std::string> SimulatedEntry::run(Duration afterReturn)
{
    for (Subscriber *subscriber : {&m_probe, &m_subject}) {
        subscriber->copy.applyList(changesAt(m_now, {}));
        subscriber->copy.onStoreProof(versionAt(m_now), m_now);
        subscriber->copy.onConfirmed();
    }
    while (m_now < lossBegin() + afterReturn) {
        if (!isSuspended(m_now))
            tick();
        if (auto found = breach())
            return found;
        m_now += Tick;
    }
    return std::nullopt;
}

void SimulatedEntry::tick()
{
    for (Subscriber *subscriber : {&m_probe, &m_subject})
        endCalls(*subscriber);
    endPeerFetch();
    runPublisher();
    for (Subscriber *subscriber : {&m_probe, &m_subject})
        startCalls(*subscriber);
}

void SimulatedEntry::endCalls(Subscriber &subscriber)
{
    for (std::optional<Call> *slot : {&subscriber.main, &subscriber.beside}) {
        if (!*slot || (*slot)->endsAt > m_now)
            continue;
        const Call call = **slot;
        slot->reset();
        if (call.wait == Duration::zero())
            subscriber.schedule.onCallEnded();
        if (call.isAnswered)
            onAnswer(subscriber, call);
        else
            onFailure(subscriber, call);
    }
}

void SimulatedEntry::onFailure(Subscriber &subscriber, const Call &call)
{
    const bool isBeside = subscriber.main.has_value();
    const bool isDiscarded
            = call.kind == CallKind::Watch && call.generation != subscriber.copy.generation();
    if (isDiscarded)
        return;
    if (call.wait > Duration::zero() && m_test.refusal == Refusal::Reset) {
        subscriber.schedule.onWatchCut(m_now);
        subscriber.pausedUntil = m_now + subscriber.schedule.retryDelay(m_now, LongestJitter);
        return;
    }
    if (call.wait > Duration::zero()) {
        if (!subscriber.schedule.onWatchFailure(call.sentAt, m_now))
            return;
    } else {
        subscriber.schedule.onFailure(call.sentAt);
    }
    if (subscriber.isSubject && !m_probe.schedule.isFailing())
        m_probe.isProofWanted = true;
    // A call beside the waiting watch is repeated by nobody else.
    if (!subscriber.isSubject && isBeside)
        subscriber.isProofWanted = true;
    const TimePoint retryAt = m_now + subscriber.schedule.retryDelay(m_now, LongestJitter);
    (isBeside ? subscriber.refreshPausedUntil : subscriber.pausedUntil) = retryAt;
}

void SimulatedEntry::onAnswer(Subscriber &subscriber, const Call &call)
{
    const TimePoint computedAt = call.kind == CallKind::Watch
            ? std::max(call.endsAt - ProbeAnswerTime, call.sentAt)
            : call.sentAt;
    const ConfigVersion version = versionAt(computedAt);
    const bool isNewer = version > subscriber.copy.version();
    if (call.kind == CallKind::List && isNewer)
        subscriber.copy.applyList(changesAt(computedAt, {}));
    const bool isDiscarded = !isNewer && call.generation != subscriber.copy.generation();
    if (isDiscarded) {
        subscriber.schedule.onStoreAnswered(m_now);
        subscriber.schedule.onAnswered();
        return;
    }
    if (call.kind != CallKind::List) {
        ObjectList changes = changesAt(computedAt, call.after);
        if (!subscriber.isSubject)
            changes.objects.clear();
        subscriber.copy.applyWatchedChanges(changes);
    }
    onStoreSuccess(subscriber, call, version);
}

void SimulatedEntry::onStoreSuccess(Subscriber &subscriber, const Call &call, ConfigVersion version)
{
    const bool hasWaited = call.kind == CallKind::Watch && call.endsAt >= call.sentAt + call.wait;
    const TimePoint provenAt = hasWaited ? call.sentAt + call.wait : call.sentAt;
    subscriber.copy.onStoreProof(version, provenAt);
    subscriber.copy.onConfirmed();
    subscriber.isProofWanted = false;
    subscriber.schedule.onStoreAnswered(m_now);
    const bool isBack = subscriber.schedule.onAnswered() > 0;
    for (Subscriber *other : {&m_probe, &m_subject}) {
        other->copy.onStoreVersion(version, provenAt);
        if (other->schedule.isRetryUseful(provenAt))
            other->pausedUntil = std::min(other->pausedUntil, m_now + RetryCheckInterval);
    }
    // FleetSubscriber refreshes all collections when the probe is answered again.
    if (isBack && !subscriber.isSubject && m_subject.copy.readStagger() != nullptr)
        m_subject.copy.onPossiblyStale(m_now);
    else if (isBack && !subscriber.isSubject && !m_subject.isRefreshing)
        m_subject.isRefreshing = true;
}

void SimulatedEntry::startCalls(Subscriber &subscriber)
{
    const bool isFetchDue = subscriber.isSubject && m_test.isLarge && !subscriber.peerEndsAt
            && subscriber.copy.isMissing();
    if (isFetchDue && subscriber.schedule.peerFetch(m_now))
        subscriber.peerEndsAt = isPublisherHeard() ? m_now + PeerFetchTime : m_now;
    startProof(subscriber);
    startRefresh(subscriber);
    startStep(subscriber);
}

void SimulatedEntry::startStep(Subscriber &subscriber)
{
    if (subscriber.main || subscriber.isRefreshing || m_now < subscriber.pausedUntil)
        return;
    const internal::ReadStep step = subscriber.schedule.next(m_now, false, false);
    if (std::holds_alternative<ListStore>(step)) {
        subscriber.main = send(subscriber, CallKind::List, {});
    } else if (const auto *watch = std::get_if<WatchStore>(&step)) {
        const bool isWaiting = watch->wait > Duration::zero();
        if (watch->isProofExpired)
            subscriber.copy.onProofRead(m_now);
        subscriber.main
                = send(subscriber, isWaiting ? CallKind::Watch : CallKind::CatchUp, watch->wait);
    } else if (const auto *pause = std::get_if<Pause>(&step)) {
        subscriber.pausedUntil = m_now + std::max(pause->time, Tick);
    }
    if (subscriber.main && subscriber.main->wait == Duration::zero())
        subscriber.schedule.onCallSent(m_now);
}

/// A read beside the waiting watch, repeated until it is answered.
void SimulatedEntry::startRefresh(Subscriber &subscriber)
{
    const bool isWatchWaiting = subscriber.main && subscriber.main->wait > Duration::zero();
    if (!subscriber.isRefreshing && isWatchWaiting && subscriber.schedule.isRefreshDue(m_now)) {
        subscriber.isRefreshing = true;
        subscriber.refreshPausedUntil = m_now;
    }
    if (!subscriber.isRefreshing || subscriber.beside || m_now < subscriber.refreshPausedUntil)
        return;
    if (!subscriber.copy.isPossiblyStale()) {
        subscriber.isRefreshing = false;
        return;
    }
    const bool isListed = !subscriber.copy.keepsCollectionCopy() || subscriber.copy.isBehind()
            || subscriber.schedule.isFailing();
    subscriber.beside = send(subscriber, isListed ? CallKind::List : CallKind::CatchUp, {});
    subscriber.schedule.onCallSent(m_now);
}

void SimulatedEntry::startProof(Subscriber &subscriber)
{
    const bool isWatchWaiting = subscriber.main && subscriber.main->wait > Duration::zero();
    if (!isWatchWaiting || subscriber.isRefreshing || subscriber.beside)
        return;
    // A probe is repeated until it is answered.
    if (subscriber.isProofWanted && m_now >= subscriber.refreshPausedUntil) {
        subscriber.proofRequestedAt = m_now;
        subscriber.beside = send(subscriber, CallKind::CatchUp, {});
    }
    if (subscriber.isProofWanted)
        return;
    if (subscriber.schedule.isProbeFailing() || (!subscriber.isSubject && !m_stagger.isPublisher()))
        return;
    const Duration publisherAge = subscriber.isSubject
            ? std::chrono::duration_cast<Duration>(m_bounds.apply * 0.4)
            : 2000ms;
    const Duration age = m_stagger.isPublisher() ? publisherAge : m_stagger.delay();
    const Duration interval = subscriber.schedule.isFailing() ? 800ms : age;
    if (m_now - std::max(subscriber.copy.provenAt(), subscriber.proofRequestedAt) < interval)
        return;
    subscriber.proofRequestedAt = m_now;
    subscriber.copy.onProofRead(m_now);
    subscriber.beside = send(subscriber, CallKind::CatchUp, {});
}

bool SimulatedEntry::isPublisherHeard() const
{
    constexpr auto PublisherLifetime = 1200ms;
    return m_updateReceivedAt != TimePoint() && m_now - m_updateReceivedAt <= PublisherLifetime;
}

bool SimulatedEntry::isPublisherKilled() const
{
    if (m_test.publisher != PublisherState::KilledAfterAnnouncement)
        return false;
    // Without an outage of the entry, it is killed before its announcement.
    return m_publisherChange > FirstChange
            || (m_test.changeAfterLoss && m_now >= Start + OutageBegin);
}

void SimulatedEntry::runPublisher()
{
    constexpr auto UpdateInterval = 400ms;
    constexpr auto AnnouncementDelay = 30ms;
    if (m_test.publisher == PublisherState::Absent || isPublisherKilled())
        return;
    const bool isOutOfTouch = m_test.publisher == PublisherState::OutOfTouch
            && m_now >= Start + OutageBegin && m_now < publisherReturnAt();
    if (!isOutOfTouch) {
        const auto proofInterval = std::chrono::duration_cast<Duration>(m_bounds.apply * 0.4);
        const TimePoint receivedAt = m_now - AnnouncementDelay;
        if (changeAt(receivedAt) > m_publisherChange) {
            m_publisherProvenAt = receivedAt;
            m_publisherChange = changeAt(receivedAt);
            publish(true);
        } else if (m_now - m_publisherProvenAt >= proofInterval) {
            m_publisherProvenAt = m_now;
            m_publisherChange = changeAt(m_now);
        }
    }
    if (isPublisherKilled() || m_now < m_publishAt)
        return;
    m_publishAt = m_now + UpdateInterval;
    if (!isOutOfTouch)
        publish(false);
    else if (m_now >= Start + OutageBegin + 1000ms)
        m_subject.copy.onPublisherStoreLoss(m_now);
}

void SimulatedEntry::publish(bool isAnnouncement)
{
    const bool isStoreLost = m_probe.schedule.isFailing() || m_subject.schedule.isFailing();
    // A publisher that reaches the store ignores the other publisher.
    if (m_stagger.isPublisher() && !isStoreLost)
        return;
    m_updateReceivedAt = m_now;
    // A change that is too large for a datagram is announced without its object.
    const ObjectList changes{{}, versionAt(m_publisherProvenAt)};
    const internal::UpdateEffect effect = m_subject.copy.onPublishedChanges(
            m_publisherChange, changes, m_now, isAnnouncement, m_publisherProvenAt);
    if (effect.isMissing || effect.isAccepted)
        m_subject.pausedUntil = std::min(m_subject.pausedUntil, m_now + RetryCheckInterval);
    if (effect.isConfirmed)
        m_subject.schedule.onAnswered();
    if (effect.isNewer)
        m_subject.copy.applyPublishedChanges(changes);
}

void SimulatedEntry::endPeerFetch()
{
    Subscriber &subscriber = m_subject;
    if (!subscriber.peerEndsAt || *subscriber.peerEndsAt > m_now)
        return;
    subscriber.peerEndsAt.reset();
    const ObjectList list{{{"configuration/main", "{}", m_publisherChange, false}},
            versionAt(m_publisherProvenAt)};
    if (!isPublisherHeard() || isPublisherKilled() || !subscriber.copy.isPeerListUseful(list)) {
        subscriber.schedule.onPeerMissed(m_now);
        return;
    }
    subscriber.copy.onPeerListApplied(m_now);
    subscriber.copy.applyList(list);
    subscriber.copy.onConfirmed();
    subscriber.schedule.onAnswered();
}

bool SimulatedEntry::isServing() const
{
    return !m_subject.copy.isOverdue(m_now);
}

std::optional<std::string> SimulatedEntry::breach() const
{
    const bool isBroken = m_now > boundAt() && !isSuspended(m_now) && isServing() && !hasChange();
    if (!isBroken)
        return std::nullopt;
    return "served without the change " + std::to_string(ms(m_now - lossBegin())) + " ms after the "
            + (m_test.changeAfterLoss ? "change" : "return");
}

bool SimulatedEntry::isServingCurrent() const
{
    return isServing() && hasChange();
}

} // namespace oriolerill::objectstore
