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

Duration interpolate(Duration time, double from, double to, double part)
{
    return std::chrono::duration_cast<Duration>(time * (from + (to - from) * part));
}

} // namespace

ReadSchedule::ReadSchedule(const StoreSubscriberOptions &options, CopyState &copy)
    : m_options(options)
    , m_copy(copy)
{}

ReadStep ReadSchedule::next(TimePoint now, bool isOtherPathUsed, bool isProcessSuspended)
{
    m_copy.checkGap(now);
    const bool isReadAllowed = now >= m_copy.readAllowedAt();
    // A publisher that the store turns away has no delay by rank, but the others may have the
    // change.
    const bool arePeersAsked
            = m_copy.isReadDue() && m_hasPeers && (!isReadAllowed || isStoreFailing());
    if (arePeersAsked && now >= m_peerRetryAt) {
        const TimePoint deadline = now + m_options.listTimeout;
        return FetchFromPeer{
                isStoreFailing() ? deadline : std::min(deadline, m_copy.readAllowedAt())};
    }
    if (arePeersAsked && isLarge() && !isReadAllowed)
        return Pause{m_peerRetryAt - now};
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
    // A watch would transfer each superseded state of a large object, and cannot start in an older
    // era.
    if ((isLarge() && m_copy.isReadDue()) || m_copy.isEraOutdated())
        return ListStore{};
    // The missing changes are already in the store: do not wait for further ones. A waiting watch
    // proves the copy only when it ends, later than the delays of the other ranks.
    const bool isProofExpired
            = m_copy.isSubscriber() && m_copy.readStagger()->delay() > Duration::zero();
    const bool isWaiting = !m_copy.hasGap() && !isProofExpired;
    return WatchStore{isWaiting ? watchTimeout(now) : Duration::zero(), isProofExpired};
}

void ReadSchedule::onPeerMissed(TimePoint now)
{
    m_peerRetryAt = now + PeerRetryDelay;
}

Duration ReadSchedule::watchTimeout(TimePoint now) const
{
    const Duration time = m_copy.isPeerBacked(now) ? m_options.peerBackedWatchTimeout
                                                   : m_options.watchTimeout;
    return m_copy.isSubscriber() ? std::min(time, m_options.subscriberWatchTimeout) : time;
}

Duration ReadSchedule::retryDelay(TimePoint now, double jitter) const
{
    constexpr std::uint32_t MaxDoublings = 4;
    const auto doubled = m_options.minRetryDelay
            * (1U << std::min(std::max(m_failures, 1U) - 1, MaxDoublings));
    // A large collection uses the delay of its rank instead.
    const bool isStoreLossPublished = !isLarge() && m_copy.isPublisherLossRecent(now);
    const Duration delay = isStoreLossPublished
            ? m_options.publisherLossRetryDelay
            : std::min<Duration>(doubled, m_options.maxRetryDelay);
    // Jitter: processes that lost the store at the same moment must not retry at the same moment.
    const Duration wanted = interpolate(delay, 0.75, 1.25, jitter);
    const Duration left = m_copy.limitWait(wanted, now);
    if (left == wanted)
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

void ReadSchedule::onFailure(TimePoint sentAt)
{
    ++m_failures;
    m_copy.onUnanswered(sentAt);
    for (ReadSchedule *dependant : m_dependants)
        dependant->m_copy.onUnanswered(sentAt);
    // A waiting watch that was sent in an outage may never be answered, even after the outage. A
    // watch that does not wait has a short deadline, so the return of the store is detected early.
    // Complete lists for all processes at that moment would fill the links between regions.
    m_copy.setGap();
}

std::uint32_t ReadSchedule::onAnswered(TimePoint now)
{
    const std::uint32_t failures = std::exchange(m_failures, 0);
    if (failures == 0)
        return failures;
    // Their read delays start with the return, not with the last failed call.
    for (ReadSchedule *dependant : m_dependants) {
        if (dependant->m_copy.isPossiblyStale())
            dependant->m_copy.onUnanswered(now);
    }
    return failures;
}

bool ReadSchedule::isRefreshDue(TimePoint now) const
{
    return m_copy.isPossiblyStale() && now >= m_copy.readAllowedAt() && m_copy.hasList();
}

bool ReadSchedule::isSuspended(TimePoint now, bool isProcessSuspended) const
{
    const bool isProbed = isProbeFailing();
    if (isProbed && m_probe->isAwaitingAnswer(now))
        return true;
    if (isProbed || isProcessSuspended)
        return now < m_copy.readDeadline();
    return isLarge() && m_copy.isPossiblyStale() && now < m_copy.readAllowedAt();
}

bool ReadSchedule::isAwaitingAnswer(TimePoint now) const
{
    return m_sentAt && now - *m_sentAt < m_options.answerTimeout;
}

} // namespace oriolerill::objectstore::internal
