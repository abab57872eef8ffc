#include "objectstore/storesubscriber.h"

#include "objectstore/internal/readschedule.h"
#include "observability/log.h"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <algorithm>
#include <utility>

namespace oriolerill::objectstore {

namespace asio = boost::asio;
using domain::ConfigVersion;
using domain::ErrorKind;
using domain::TimePoint;
using observability::logEvent;
using observability::Severity;

namespace {

/// Logs the source, size and duration of each read of a collection.
void logRead(
        const std::string &collection, const char *source, const ObjectList &read, TimePoint sentAt)
{
    std::size_t bytes = 0;
    for (const StoredObject &object : read.objects)
        bytes += object.value.size();
    const auto time = std::chrono::duration_cast<std::chrono::milliseconds>(
            TimePoint::clock::now() - sentAt);
    logEvent(Severity::Info, "collection_read",
            {{"collection", collection}, {"source", source}, {"era", read.storeVersion.epoch},
                    {"revision", read.storeVersion.revision}, {"objects", read.objects.size()},
                    {"bytes", bytes}, {"ms", time.count()}});
}

} // namespace

StoreSubscriber::StoreSubscriber(asio::io_context &context, IObjectStore &store,
        std::string collection, CollectionSink sink, StoreSubscriberOptions options)
    : m_context(context)
    , m_store(store)
    , m_collection(std::move(collection))
    , m_sink(std::move(sink))
    , m_options(options)
    , m_state(std::make_unique<internal::CopyState>(options))
    , m_schedule(std::make_unique<internal::ReadSchedule>(options, *m_state))
{}

StoreSubscriber::~StoreSubscriber() = default;

ConfigVersion StoreSubscriber::appliedVersion() const
{
    return m_state->version();
}

ConfigVersion StoreSubscriber::lastChangeVersion() const
{
    return m_state->lastChangeVersion();
}

TimePoint StoreSubscriber::provenAt() const
{
    return m_state->provenAt();
}

bool StoreSubscriber::isBehind() const
{
    return m_state->isBehind();
}

void StoreSubscriber::setReadStagger(const ReadStagger &stagger)
{
    m_state->setReadStagger(stagger);
}

const ObjectList &StoreSubscriber::collectionCopy() const
{
    return m_state->collectionCopy();
}

void StoreSubscriber::keepCollectionCopy()
{
    m_state->keepCollectionCopy();
}

asio::awaitable<void> StoreSubscriber::run()
{
    /// Maximum time from the cancellation of a retry delay to its end.
    constexpr auto RetryCheckInterval = std::chrono::milliseconds(100);
    asio::steady_timer timer(m_context);
    for (;;) {
        m_hasCalled = true;
        const bool isDone = co_await step();
        // Without a list there are no changes to coalesce.
        const bool isSeriesLikely = m_hasCalled && m_state->hasList();
        domain::Duration delay
                = isSeriesLikely ? m_options.coalescingDelay : domain::Duration::zero();
        if (!isDone)
            delay = retryDelay();
        const TimePoint delayEnd = TimePoint::clock::now() + delay;
        m_isRetryDelayCancelled = false;
        while (TimePoint::clock::now() < delayEnd && !m_isRetryDelayCancelled) {
            timer.expires_at(std::min(delayEnd, TimePoint::clock::now() + RetryCheckInterval));
            co_await timer.async_wait(asio::as_tuple(asio::use_awaitable));
        }
    }
}

domain::Duration StoreSubscriber::retryDelay()
{
    std::uniform_real_distribution<double> jitter(0, 1);
    return m_schedule->retryDelay(TimePoint::clock::now(), jitter(m_random));
}

void StoreSubscriber::setPeerFetch(PeerFetch fetch)
{
    m_peerFetch = std::move(fetch);
    m_schedule->setHasPeers();
}

void StoreSubscriber::setProbe(StoreSubscriber &probe)
{
    m_probe = &probe;
    m_schedule->setProbe(*probe.m_schedule);
}

bool StoreSubscriber::isFailing() const
{
    return m_schedule->isFailing();
}

bool StoreSubscriber::isLarge() const
{
    return m_state->readStagger() != nullptr;
}

bool StoreSubscriber::isOverdue(TimePoint now) const
{
    return m_state->isOverdue(now);
}

asio::awaitable<void> StoreSubscriber::wait(domain::Duration duration)
{
    asio::steady_timer timer(m_context, duration);
    co_await timer.async_wait(asio::as_tuple(asio::use_awaitable));
}

/// Takes one step of the schedule. False if a call has failed.
struct StoreSubscriber::StepRunner
{
    StoreSubscriber &subscriber;

    asio::awaitable<bool> operator()(internal::FetchFromPeer step) const
    {
        const bool isListed = co_await subscriber.listFromPeer(step.deadline);
        if (!isListed) {
            subscriber.m_hasCalled = false;
            subscriber.m_schedule->onPeerMissed(TimePoint::clock::now());
        }
        co_return true;
    }
    asio::awaitable<bool> operator()(internal::ListStore /*step*/) const
    {
        co_return co_await subscriber.listOnce();
    }
    asio::awaitable<bool> operator()(internal::WatchStore step) const
    {
        co_return co_await subscriber.watchOnce(step.wait, step.isProofExpired);
    }
    asio::awaitable<bool> operator()(internal::AwaitOtherPath step) const
    {
        co_await subscriber.wait(step.checkInterval);
        // Changes from the time without a watch are missing: list again.
        if (subscriber.m_isWatchNeeded())
            subscriber.m_state->requireList();
        co_return true;
    }
    asio::awaitable<bool> operator()(internal::Pause step) const
    {
        subscriber.m_hasCalled = false;
        co_await subscriber.wait(step.time);
        co_return true;
    }
};

asio::awaitable<bool> StoreSubscriber::step()
{
    if (m_isRefreshing) {
        constexpr auto CheckInterval = std::chrono::milliseconds(200);
        co_await wait(CheckInterval);
        co_return true;
    }
    const bool isOtherPathUsed = m_isWatchNeeded && !m_isWatchNeeded();
    const internal::ReadStep step = m_schedule->next(
            TimePoint::clock::now(), isOtherPathUsed, m_isSuspended && m_isSuspended());
    co_return co_await std::visit(StepRunner{*this}, step);
}

asio::awaitable<bool> StoreSubscriber::listOnce()
{
    const std::uint64_t generation = m_state->generation();
    const TimePoint sentAt = TimePoint::clock::now();
    m_schedule->onCallSent(sentAt);
    auto list = co_await m_store.list(m_collection, sentAt + m_options.listTimeout);
    m_schedule->onCallEnded();
    if (!list) {
        onFailure(list.error(), sentAt);
        co_return false;
    }
    onStoreAnswered();
    if (!m_state->isListApplicable(*list)) {
        logOutdatedAnswer(*list);
        co_return false;
    }
    // A publisher's list has brought the copy further in the meantime.
    if (generation != m_state->generation() && list->storeVersion < m_state->version())
        co_return true;
    logRead(m_collection, "store_list", *list, sentAt);
    applyList(*list, "store_list");
    onStoreSuccess(list->storeVersion, sentAt);
    // An answer from before the return of the store: list again after the retry delay.
    co_return !m_state->isEraOutdated();
}

void StoreSubscriber::applyList(const ObjectList &list, const char *source)
{
    m_changeOrigin = {m_state->provenAt(), source};
    const ConfigVersion before = m_state->version();
    if (m_state->applyList(list)) {
        logEvent(Severity::Info, "store_era_changed",
                {{"collection", m_collection}, {"era_before", before.epoch},
                        {"revision_before", before.revision}, {"era", list.storeVersion.epoch},
                        {"revision", list.storeVersion.revision}});
        if (m_sink.onEraChanged)
            m_sink.onEraChanged();
    }
    m_sink.onList(list);
}

asio::awaitable<bool> StoreSubscriber::listFromPeer(TimePoint deadline)
{
    const std::uint64_t generation = m_state->generation();
    const TimePoint now = TimePoint::clock::now();
    auto list = co_await m_peerFetch(deadline);
    const bool isUseful = list && m_state->isPeerListUseful(*list);
    // Another list or an update has been applied in the meantime.
    if (!isUseful && generation != m_state->generation())
        co_return true;
    if (!isUseful) {
        logEvent(Severity::Info, "peer_list_missing",
                {{"collection", m_collection}, {"missing_era", m_state->missingVersion().epoch},
                        {"missing", m_state->missingVersion().revision},
                        {"reason",
                                list ? "it is not newer than the local copy"
                                     : list.error().message},
                        {"remedy", "another peer or the store is read instead"}});
        co_return false;
    }
    m_state->onPeerListApplied(TimePoint::clock::now());
    logRead(m_collection, "entry", *list, now);
    applyList(*list, "entry");
    m_state->onConfirmed();
    onAnswered();
    co_return true;
}

asio::awaitable<bool> StoreSubscriber::watchOnce(domain::Duration time, bool isProofExpired)
{
    const std::uint64_t generation = m_state->generation();
    const TimePoint sentAt = TimePoint::clock::now();
    m_isWatchWaiting = time > domain::Duration::zero();
    if (!m_isWatchWaiting)
        m_schedule->onCallSent(sentAt);
    if (isProofExpired) {
        m_state->onProofRead(sentAt);
        logEvent(Severity::Info, "publishers_proof_expired",
                {{"collection", m_collection}, {"era", m_state->version().epoch},
                        {"revision", m_state->version().revision},
                        {"proof_age_ms",
                                std::chrono::duration_cast<std::chrono::milliseconds>(
                                        sentAt - m_state->provenAt())
                                        .count()}});
    }
    const ConfigVersion after = m_state->version();
    auto changes
            = co_await m_store.watch(m_collection, after, sentAt + time + m_options.answerTimeout);
    m_isWatchWaiting = false;
    m_schedule->onCallEnded();
    // A list or an update has brought the copy at least as far in the meantime.
    const bool isNewer
            = changes && m_state->isOfCopyEra(after) && changes->storeVersion > m_state->version();
    if (generation != m_state->generation() && !isNewer)
        co_return true;
    if (!changes && changes.error().kind == ErrorKind::NotFound) {
        onHistoryGone();
        co_return true;
    }
    const bool isWaiting = time > domain::Duration::zero();
    if (!changes && !isWaiting) {
        onFailure(changes.error(), sentAt);
        co_return false;
    }
    if (!changes && changes.error().kind != ErrorKind::Timeout) {
        onWatchCut(changes.error());
        co_return false;
    }
    if (!changes) {
        if (!m_schedule->onWatchFailure(sentAt, TimePoint::clock::now()))
            co_return true;
        reportFailure(changes.error());
        co_return false;
    }
    if (!m_state->isOfCopyEra(changes->storeVersion)) {
        onHistoryGone();
        co_return true;
    }
    onStoreAnswered();
    if (!changes->objects.empty())
        logRead(m_collection, "store_watch", *changes, sentAt);
    // A watch that ended without a change after its whole wait proves the copy until then.
    const bool hasWaited = changes->objects.empty() && TimePoint::clock::now() >= sentAt + time;
    const TimePoint provenAt = hasWaited ? sentAt + time : sentAt;
    applyWatchedChanges(*changes, "store_watch");
    onStoreSuccess(changes->storeVersion, provenAt);
    if (isWaiting)
        m_schedule->onWatchCompleted();
    co_return true;
}

/// The store may end a waiting watch at any time. That is no outage: the store was reachable until
/// then, and the changes since are read.
void StoreSubscriber::onWatchCut(const domain::Error &error)
{
    m_schedule->onWatchCut(TimePoint::clock::now());
    logEvent(Severity::Info, "store_watch_cut",
            {{"collection", m_collection}, {"error", error.message},
                    {"remedy", "the changes since are read"}});
}

void StoreSubscriber::onHistoryGone()
{
    logEvent(Severity::Info, "store_history_gone",
            {{"collection", m_collection}, {"era", m_state->version().epoch},
                    {"revision", m_state->version().revision}});
    // The store has answered, but only the list confirms the copy.
    onStoreAnswered();
    m_state->requireList();
}

void StoreSubscriber::logOutdatedAnswer(const ObjectList &answer) const
{
    logEvent(Severity::Info, "store_answer_outdated",
            {{"collection", m_collection}, {"era", m_state->version().epoch},
                    {"answer_era", answer.storeVersion.epoch},
                    {"answer_revision", answer.storeVersion.revision}});
}

void StoreSubscriber::applyWatchedChanges(const ObjectList &changes, const char *source)
{
    m_changeOrigin = {m_state->provenAt(), source};
    const ConfigVersion lastChange = m_state->lastChangeVersion();
    const ConfigVersion before = m_state->version();
    const ObjectList newer = m_state->applyWatchedChanges(changes);
    if (m_sink.onWatchedChanges && changes.storeVersion > before)
        m_sink.onWatchedChanges(lastChange, changes);
    if (!newer.objects.empty())
        m_sink.onChanges(newer);
}

asio::awaitable<bool> StoreSubscriber::catchUpOnce()
{
    if (m_state->isEraOutdated())
        co_return co_await listOnce();
    const TimePoint sentAt = TimePoint::clock::now();
    const ConfigVersion after = m_state->version();
    auto changes = co_await m_store.watch(m_collection, after, sentAt + m_options.answerTimeout);
    const bool isGone = !changes && changes.error().kind == ErrorKind::NotFound;
    const bool isOtherEra = changes && changes->storeVersion.epoch != after.epoch;
    if (isGone || isOtherEra) {
        logEvent(Severity::Info, "store_history_gone",
                {{"collection", m_collection}, {"era", after.epoch}, {"revision", after.revision}});
        co_return co_await listOnce();
    }
    if (!changes) {
        onFailure(changes.error(), sentAt);
        co_return false;
    }
    onStoreAnswered();
    // A list of a newer era may have been applied in the meantime.
    if (!m_state->isOfCopyEra(changes->storeVersion)) {
        logOutdatedAnswer(*changes);
        co_return false;
    }
    if (!changes->objects.empty())
        logRead(m_collection, "store_catch_up", *changes, sentAt);
    applyWatchedChanges(*changes, "store_catch_up");
    onStoreSuccess(changes->storeVersion, sentAt);
    co_return true;
}

bool StoreSubscriber::isPublisherActive(TimePoint now) const
{
    return m_state->isPublisherActive(now);
}

bool StoreSubscriber::isUnconfirmed(TimePoint now) const
{
    return m_state->isUnconfirmed(now);
}

std::optional<ProvenVersion> StoreSubscriber::confirmedVersion(TimePoint now) const
{
    if (isFailing())
        return std::nullopt;
    return m_state->confirmedVersion(now, m_schedule->watchTimeout(now) + m_options.answerTimeout);
}

void StoreSubscriber::onStoreVersion(ConfigVersion version, TimePoint provenAt)
{
    if (m_state->onStoreVersion(version, provenAt))
        onMissing();
    m_isRetryDelayCancelled = m_isRetryDelayCancelled || m_schedule->isRetryUseful(provenAt);
}

void StoreSubscriber::onMissing()
{
    scheduleConfirmation();
    m_isRetryDelayCancelled = m_isRetryDelayCancelled || isFailing();
    if (isLarge() && m_peerFetch && !std::exchange(m_isFetchingFromPeers, true))
        asio::co_spawn(m_context, fetchFromPeers(), asio::detached);
}

asio::awaitable<void> StoreSubscriber::fetchFromPeers()
{
    constexpr auto CheckInterval = std::chrono::milliseconds(50);
    while (m_state->isMissing()) {
        const auto step = m_schedule->peerFetch(TimePoint::clock::now());
        bool isListed = false;
        if (step)
            isListed = co_await listFromPeer(step->deadline);
        if (step && !isListed)
            m_schedule->onPeerMissed(TimePoint::clock::now());
        if (!isListed)
            co_await wait(CheckInterval);
    }
    m_isFetchingFromPeers = false;
}

void StoreSubscriber::onPublisherStoreLoss(TimePoint now)
{
    m_state->onPublisherStoreLoss(now);
}

void StoreSubscriber::onPublishedChanges(ConfigVersion after, const ObjectList &changes,
        TimePoint now, bool isOmitted, std::optional<TimePoint> provenAt)
{
    // The update's own proof is given after its changes.
    const ChangeOrigin origin{m_state->provenAt(), "publisher"};
    const internal::UpdateEffect effect
            = m_state->onPublishedChanges(after, changes, now, isOmitted, provenAt.value_or(now));
    if (effect.isMissing)
        onMissing();
    if (effect.isAccepted)
        m_isRetryDelayCancelled = m_isRetryDelayCancelled || isFailing();
    if (effect.isConfirmed)
        onAnswered();
    if (!effect.isNewer)
        return;
    m_changeOrigin = origin;
    const ObjectList newer = m_state->applyPublishedChanges(changes);
    if (!newer.objects.empty())
        m_sink.onChanges(newer);
}

void StoreSubscriber::refresh()
{
    const TimePoint now = TimePoint::clock::now();
    const bool isRecent
            = m_refreshedAt != TimePoint() && now - m_refreshedAt < m_options.minRefreshInterval;
    if (m_isRefreshing || !m_state->hasList() || isRecent)
        return;
    if (isLarge()) {
        m_state->onPossiblyStale(now);
        scheduleConfirmation();
        return;
    }
    beginRefresh(now);
}

void StoreSubscriber::beginRefresh(TimePoint now)
{
    m_isRefreshing = true;
    m_refreshedAt = now;
    asio::co_spawn(m_context, listUntilAnswered(), asio::detached);
}

void StoreSubscriber::scheduleConfirmation()
{
    if (m_isConfirmationScheduled || !m_state->isPossiblyStale())
        return;
    m_isConfirmationScheduled = true;
    asio::co_spawn(m_context, confirmAtDeadline(), asio::detached);
}

asio::awaitable<void> StoreSubscriber::confirmAtDeadline()
{
    TimePoint now = TimePoint::clock::now();
    while (m_state->isPossiblyStale() && now < m_state->readAllowedAt()) {
        co_await wait(m_state->readAllowedAt() - now);
        now = TimePoint::clock::now();
    }
    m_isConfirmationScheduled = false;
    // Without a waiting watch, run() calls the store itself.
    if (m_schedule->isRefreshDue(now) && m_isWatchWaiting && !m_isRefreshing)
        beginRefresh(now);
}

asio::awaitable<void> StoreSubscriber::listUntilAnswered()
{
    // g++ 12 miscompiles an await within the condition of a loop.
    bool isListed = co_await refreshOnce();
    // A publisher may have confirmed a large collection in the meantime.
    while (!isListed && (!isLarge() || m_state->isPossiblyStale())) {
        co_await wait(retryDelay());
        isListed = co_await refreshOnce();
    }
    m_isRefreshing = false;
}

void StoreSubscriber::proveIfOlderThan(domain::Duration age, TimePoint now)
{
    // While the probe is unanswered, its answer shows that the store is reachable again.
    const domain::Duration interval = isFailing() ? m_options.maxRetryDelay : age;
    const bool isDue = now - std::max(m_state->provenAt(), m_proofRequestedAt) >= interval;
    if (isDue && !m_schedule->isProbeFailing())
        startProof(now);
}

void StoreSubscriber::startProof(TimePoint now)
{
    if (!m_state->hasList() || m_isProving || m_isRefreshing || !m_isWatchWaiting)
        return;
    m_isProving = true;
    m_proofRequestedAt = now;
    m_state->onProofRead(now);
    asio::co_spawn(m_context, proveOnce(), asio::detached);
}

asio::awaitable<void> StoreSubscriber::proveOnce()
{
    // g++ 12 miscompiles an await within the condition of a loop.
    bool isAnswered = co_await catchUpOnce();
    // The waiting watch of a probe detects neither the outage nor its end.
    while (!isAnswered && m_schedule->isProbe() && m_isWatchWaiting) {
        co_await wait(retryDelay());
        isAnswered = co_await catchUpOnce();
    }
    m_isProving = false;
}

asio::awaitable<bool> StoreSubscriber::refreshOnce()
{
    // The unchanged part of a large collection is not transferred again, unless an outage may have
    // left many superseded states.
    if (m_state->keepsCollectionCopy() && !isBehind() && !isFailing())
        co_return co_await catchUpOnce();
    co_return co_await listOnce();
}

void StoreSubscriber::onPeerVersion(ConfigVersion version, TimePoint now)
{
    const std::optional<TimePoint> missedSince = m_state->onPeerVersion(version, now);
    if (!missedSince)
        return;
    const ConfigVersion applied = m_state->version();
    logEvent(Severity::Info, "store_change_missed",
            {{"collection", m_collection}, {"known_era", applied.epoch},
                    {"known", applied.revision}, {"changed_era", version.epoch},
                    {"changed", version.revision},
                    {"heard_ms",
                            std::chrono::duration_cast<std::chrono::milliseconds>(
                                    now - *missedSince)
                                    .count()}});
    if (!isLarge()) {
        refresh();
        return;
    }
    // The time in which it did not count as missed is part of the delay until the own read.
    m_state->onMissed(version, *missedSince);
    onMissing();
}

void StoreSubscriber::onFailure(const domain::Error &error, TimePoint sentAt)
{
    m_schedule->onFailure(sentAt);
    reportFailure(error);
    if (m_sink.onCallFailed)
        m_sink.onCallFailed(sentAt);
}

void StoreSubscriber::reportFailure(const domain::Error &error)
{
    if (m_probe != nullptr && !m_probe->isFailing())
        m_probe->startProof(TimePoint::clock::now());
    if (m_schedule->failures() > 1) {
        logEvent(Severity::Info, "store_call_failed",
                {{"collection", m_collection}, {"failures", m_schedule->failures()},
                        {"error", error.message}, {"remedy", error.remedy}});
        return;
    }
    logEvent(Severity::Warning, "store_lost",
            {{"collection", m_collection}, {"error", error.message}, {"remedy", error.remedy}});
    if (m_sink.onStoreLost)
        m_sink.onStoreLost();
}

void StoreSubscriber::onStoreSuccess(ConfigVersion version, TimePoint provenAt)
{
    m_state->onStoreProof(version, provenAt);
    m_state->onConfirmed();
    onStoreAnswered();
    if (m_sink.onStoreVersion)
        m_sink.onStoreVersion(version, provenAt);
}

void StoreSubscriber::onStoreAnswered()
{
    m_schedule->onStoreAnswered(TimePoint::clock::now());
    onAnswered();
}

void StoreSubscriber::onAnswered()
{
    const std::uint32_t failures = m_schedule->onAnswered();
    if (failures == 0)
        return;
    logEvent(Severity::Info, "store_back", {{"collection", m_collection}, {"failures", failures}});
    if (m_sink.onStoreBack)
        m_sink.onStoreBack();
}

} // namespace oriolerill::objectstore
