#include "objectstore/internal/readschedule.h"

#include <algorithm>
#include <utility>

namespace oriolerill::objectstore::internal {

using domain::Duration;
using domain::TimePoint;

namespace {

constexpr Duration CheckInterval = std::chrono::milliseconds(200);
constexpr Duration MinCheckInterval = std::chrono::milliseconds(20);
constexpr Duration PeerRetryDelay = std::chrono::milliseconds(100);
/// Calls in a row that get no answer after an outage before the store counts as silent.
constexpr std::uint32_t MaxLostCalls = 2;

Duration interpolate(Duration time, double from, double to, double part)
{
    return std::chrono::duration_cast<Duration>(time * (from + (to - from) * part));
}

} // namespace

ReadSchedule::ReadSchedule(const StoreSubscriberOptions &options, CopyState &copy)
    : m_options(options)
    , m_copy(copy)
{}

std::optional<FetchFromPeer> ReadSchedule::peerFetch(TimePoint now)
{
    m_copy.checkGap(now);
    if (!m_copy.isReadDue() || !m_hasPeers || now < m_peerRetryAt)
        return std::nullopt;
    const TimePoint deadline = now + m_options.listTimeout;
    // The store is not read beside the fetch of a small collection, so the fetch must end in time.
    if (isLarge() || isStoreFailing())
        return FetchFromPeer{deadline};
    if (now >= m_copy.readAllowedAt())
        return std::nullopt;
    return FetchFromPeer{std::min(deadline, m_copy.readAllowedAt())};
}

ReadStep ReadSchedule::next(TimePoint now, bool isOtherPathUsed, bool isProcessSuspended)
{
    if (const auto fetch = peerFetch(now); fetch && !isLarge())
        return *fetch;
    const bool maySuspend = isFailing() || (isLarge() && m_copy.hasList());
    if (maySuspend && isSuspended(now, isProcessSuspended)) {
        // The answer to a pending probe is awaited beyond the deadline.
        return Pause{std::max(m_copy.limitWait(CheckInterval, now), MinCheckInterval)};
    }
    if (!m_copy.hasList())
        return ListStore{};
    const Duration untilProofEnd
            = std::clamp<Duration>(m_copy.proofEnd() - now, MinCheckInterval, CheckInterval);
    if (m_copy.isUpdateRecent(now) && !m_copy.hasGap())
        return Pause{untilProofEnd};
    if (isOtherPathUsed)
        return AwaitOtherPath{CheckInterval};
    if (!m_copy.hasGap() && m_copy.isTakeoverAwaited(now))
        return Pause{untilProofEnd};
    // A watch would transfer each superseded state of a large object, of which there are many after
    // an outage, and cannot start in an older era.
    if ((isLarge() && (m_copy.isReadDue() || isFailing())) || m_copy.isEraOutdated())
        return ListStore{};
    // The missing changes are already in the store: do not wait for further ones. A waiting watch
    // proves the copy only when it ends, later than the delays of the other ranks and than a
    // possibly stale copy becomes overdue.
    const bool isProofExpired
            = m_copy.isSubscriber() && m_copy.readStagger()->delay() > Duration::zero();
    const bool isWaiting = !m_copy.hasGap() && !isProofExpired && !m_copy.isPossiblyStale();
    return WatchStore{isWaiting ? watchTimeout(now) : Duration::zero(), isProofExpired};
}

void ReadSchedule::onPeerMissed(TimePoint now)
{
    m_peerRetryAt = now + PeerRetryDelay;
}

Duration ReadSchedule::watchTimeout(TimePoint now) const
{
    const Duration time
            = m_copy.isPeerBacked(now) ? m_options.peerBackedWatchTimeout : m_options.watchTimeout;
    return m_copy.isSubscriber() ? std::min(time, m_options.subscriberWatchTimeout) : time;
}

Duration ReadSchedule::retryDelay(TimePoint now, double jitter) const
{
    constexpr std::uint32_t MaxDoublings = 4;
    // A read of a large collection usually fails because the link is full; more reads would fill it
    // further. After a cut watch only the changes since are read.
    const Duration shortest = isLarge() && isFailing() ? m_options.listTimeout / 4
                                                       : Duration(m_options.minRetryDelay);
    const std::uint32_t attempts = std::max({m_failures, m_cutWatches, 1U});
    const auto doubled = shortest * (1U << std::min(attempts - 1, MaxDoublings));
    // A large collection uses the delay of its rank instead. The store may answer this process
    // although it does not answer the publishers.
    const bool isStoreLossPublished = isFailing() && !isLarge() && m_copy.isPublisherLossRecent(now)
            && !m_copy.isReturned() && now < m_copy.readDeadline();
    Duration delay = std::min<Duration>(doubled, m_options.maxRetryDelay);
    if (isStoreLossPublished)
        delay = m_options.publisherLossRetryDelay;
    if (isProbablyReturned(now))
        delay = shortest;
    // Jitter: processes that lost the store at the same moment must not retry at the same moment.
    const Duration wanted = interpolate(delay, 0.75, 1.25, jitter);
    const Duration left = m_copy.limitWait(wanted, now);
    // Past the deadline, further calls follow at the usual pace.
    if (left == wanted || left == Duration::zero())
        return wanted;
    // The shortened delay ends before the deadline, at a different time in each process.
    return std::max(interpolate(left, 0.6, 0.95, jitter),
            std::min<Duration>(wanted, m_options.minRetryDelay));
}

void ReadSchedule::setProbe(ReadSchedule &probe)
{
    m_probe = &probe;
    probe.m_dependants.push_back(this);
}

bool ReadSchedule::isProbablyReturned(TimePoint now) const
{
    // Calls of a large collection are lost in full links too.
    const bool isLost = !isLarge() && m_lostCallsLeft > 0
            && now - m_failedCallSentAt >= m_options.answerTimeout;
    return hasFailedBeforeReturn() || isLost;
}

void ReadSchedule::onFailure(TimePoint sentAt)
{
    // A store that turned calls away and then leaves one unanswered has changed its state: it may
    // have returned, and the answer was lost.
    const bool hasPreviousTimedOut = sentAt - m_failedCallSentAt >= m_options.answerTimeout;
    if (!isFailing())
        m_lostCallsLeft = 0;
    else if (!hasPreviousTimedOut)
        m_lostCallsLeft = MaxLostCalls;
    else if (m_lostCallsLeft > 0)
        --m_lostCallsLeft;
    // Failures in the outage do not lengthen the delays after it.
    if (!isFailing() || sentAt >= m_returnedAt)
        ++m_failures;
    ++m_unansweredCalls;
    m_failedCallSentAt = sentAt;
    // While the probe is answered, the store is reachable: the calls of this collection fail for
    // another reason, such as a full link, and must not move its deadline.
    if (m_probe == nullptr || m_probe->isFailing())
        m_copy.onUnanswered(sentAt);
    else
        m_copy.onPossiblyStale(m_copy.staleSince(sentAt));
    // A single call may be lost although the store answers others.
    constexpr std::uint32_t UnansweredCallsOfOutage = 2;
    for (ReadSchedule *dependant : m_dependants) {
        if (m_unansweredCalls >= UnansweredCallsOfOutage)
            dependant->m_copy.onUnanswered(sentAt);
        else
            dependant->m_copy.onPossiblyStale(dependant->m_copy.staleSince(sentAt));
    }
    // A waiting watch that was sent in an outage may never be answered, even after the outage. A
    // watch that does not wait has a short deadline, so the return of the store is detected early.
    // Complete lists for all processes at that moment would fill the links between regions.
    m_copy.setGap();
}

std::uint32_t ReadSchedule::onAnswered()
{
    return std::exchange(m_failures, 0);
}

bool ReadSchedule::onWatchFailure(TimePoint sentAt, TimePoint now)
{
    m_copy.setGap();
    if (m_answeredAt > sentAt)
        return false;
    ++m_failures;
    m_failedCallSentAt = sentAt;
    // It may have been lost at any time, so it does not show that the store was unreachable at a
    // certain one; the copies are read anew from now on.
    m_copy.onPossiblyStale(now);
    for (ReadSchedule *dependant : m_dependants)
        dependant->m_copy.onPossiblyStale(now);
    return true;
}

void ReadSchedule::onWatchCut(TimePoint now)
{
    ++m_cutWatches;
    m_copy.setGap();
    m_copy.onPossiblyStale(now);
}

void ReadSchedule::onStoreAnswered(TimePoint now)
{
    m_answeredAt = now;
    m_unansweredCalls = 0;
    m_copy.onReturned();
    for (ReadSchedule *dependant : m_dependants) {
        const bool wasReturned = dependant->m_copy.isReturned();
        dependant->m_copy.onReturned();
        if (wasReturned || !dependant->m_copy.isReturned())
            continue;
        dependant->m_failures = std::min(dependant->m_failures, 1U);
        dependant->m_returnedAt = now;
    }
}

bool ReadSchedule::isRefreshDue(TimePoint now) const
{
    return m_copy.isPossiblyStale() && now >= m_copy.readAllowedAt() && m_copy.hasList();
}

bool ReadSchedule::isSuspended(TimePoint now, bool isProcessSuspended) const
{
    // After the first sign of the return only the delay by rank is left.
    const bool isPublisher = isLarge() && m_copy.readStagger()->isPublisher();
    const bool isProbed = isProbeFailing() && !m_copy.isReturned() && !isPublisher;
    if (isProbed && m_probe->isAwaitingAnswer(now))
        return true;
    if (isProbed || isProcessSuspended)
        return now < m_copy.readDeadline();
    if (!isLarge() || !m_copy.isPossiblyStale())
        return false;
    TimePoint allowedAt = m_copy.readAllowedAt();
    // A publisher that has announced a change is the better source.
    if (m_hasPeers && m_copy.isReadDue() && m_copy.isUpdateReceivedRecently(now))
        allowedAt = std::max(allowedAt, m_copy.missingReceivedAt() + m_options.listTimeout / 2);
    allowedAt = std::min(allowedAt, m_copy.readDeadline());
    // A read that failed while the store is reachable was probably lost in a full link, which the
    // reads of other ranks share. At the bound the copy is overdue. One that was sent before the
    // first sign of the return was lost in the outage.
    if (isFailing() && !hasFailedBeforeReturn()) {
        constexpr std::uint32_t MaxDoublings = 2;
        const auto factor = 1U << std::min(m_failures - 1, MaxDoublings);
        allowedAt
                = std::max(allowedAt, m_failedCallSentAt + m_copy.readStagger()->delay() * factor);
    }
    return now < allowedAt;
}

bool ReadSchedule::isAwaitingAnswer(TimePoint now) const
{
    return m_sentAt && now - *m_sentAt < m_options.answerTimeout;
}

} // namespace oriolerill::objectstore::internal
