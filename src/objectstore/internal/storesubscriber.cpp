#include "objectstore/storesubscriber.h"

#include "observability/log.h"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <algorithm>

namespace oriolerill::objectstore {

namespace asio = boost::asio;
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
            {{"collection", collection}, {"source", source},
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
    , m_freshness(options.freshnessBudget)
{}

asio::awaitable<void> StoreSubscriber::run()
{
    /// A pause is ended so soon after others have told something.
    constexpr auto WakeInterval = std::chrono::milliseconds(100);
    asio::steady_timer timer(m_context);
    for (;;) {
        m_hasCalled = true;
        const bool isDone = co_await step();
        // Without a list there is no series of changes to wait for.
        const bool isSeriesLikely = m_hasCalled && m_hasList;
        domain::Duration pause
                = isSeriesLikely ? m_options.coalescingDelay : domain::Duration::zero();
        if (!isDone)
            pause = retryPause();
        const TimePoint pauseEnd = TimePoint::clock::now() + pause;
        m_isWoken = false;
        while (TimePoint::clock::now() < pauseEnd && !m_isWoken) {
            timer.expires_at(std::min(pauseEnd, TimePoint::clock::now() + WakeInterval));
            co_await timer.async_wait(asio::as_tuple(asio::use_awaitable));
        }
    }
}

domain::Duration StoreSubscriber::retryPause()
{
    constexpr std::uint32_t MostDoublings = 4;
    const auto doubled = m_options.minRetryDelay
            * (1U << std::min(std::max(m_failures, 1U) - 1, MostDoublings));
    // A large collection waits for its turn instead.
    const bool isLossShared = m_turns == nullptr && m_sharedLossAt != TimePoint()
            && TimePoint::clock::now() - m_sharedLossAt <= m_options.sharedLife;
    const domain::Duration pause = isLossShared
            ? m_options.sharedRetryPause
            : std::min<domain::Duration>(doubled, m_options.maxRetryDelay);
    // Spread, so that processes that lost the store together do not ask together.
    std::uniform_real_distribution<double> spread(0.75, 1.25);
    const auto wanted = std::chrono::duration_cast<domain::Duration>(pause * spread(m_random));
    const domain::Duration left = m_freshness.cut(wanted, TimePoint::clock::now());
    if (left == wanted)
        return wanted;
    // Ends before the deadline, and not for all processes together.
    std::uniform_real_distribution<double> cutSpread(0.6, 0.95);
    const auto cut = std::chrono::duration_cast<domain::Duration>(left * cutSpread(m_random));
    return std::max(cut, std::min(wanted, m_options.minRetryDelay));
}

void StoreSubscriber::setProbe(StoreSubscriber &probe)
{
    m_probe = &probe;
    probe.m_dependants.push_back(this);
}

bool StoreSubscriber::isHeldBack(TimePoint now) const
{
    const bool isProbed = m_probe != nullptr && m_probe->isFailing();
    if (isProbed && m_probe->isAwaitingAnswer(now))
        return true;
    if (isProbed || (m_isHeldBack && m_isHeldBack()))
        return now < m_freshness.askBy();
    return m_turns != nullptr && m_freshness.isInDoubt() && now < turnAt();
}

TimePoint StoreSubscriber::turnAt() const
{
    if (m_turns == nullptr || !m_freshness.isInDoubt())
        return m_freshness.askBy();
    return std::min(m_freshness.askBy(), m_freshness.doubtSince() + m_turns->delay());
}

bool StoreSubscriber::isTakeoverAwaited(TimePoint now) const
{
    const TimePoint since = std::max(m_sharedAt, m_sharedLossSince);
    return m_turns != nullptr && since != TimePoint() && now < since + m_turns->delay();
}

bool StoreSubscriber::isAwaitingAnswer(TimePoint now) const
{
    return m_sentAt && now - *m_sentAt < m_options.answerTime;
}

asio::awaitable<void> StoreSubscriber::wait(domain::Duration duration)
{
    asio::steady_timer timer(m_context, duration);
    co_await timer.async_wait(asio::as_tuple(asio::use_awaitable));
}

asio::awaitable<bool> StoreSubscriber::step()
{
    constexpr auto CheckInterval = std::chrono::milliseconds(200);
    if (m_isRefreshing) {
        co_await wait(CheckInterval);
        co_return true;
    }
    if (m_hasList && m_missingSince
            && TimePoint::clock::now() - *m_missingSince >= m_options.gapPatience)
        m_hasGap = true;
    const bool isPeerTimeLeft = TimePoint::clock::now() < turnAt();
    if (m_hasList && m_missingSince && m_hasGap && m_peerList && isPeerTimeLeft) {
        constexpr auto PeerRetryPause = std::chrono::milliseconds(100);
        const bool isListed = co_await listFromPeer();
        if (isListed)
            co_return true;
        if (m_turns != nullptr && TimePoint::clock::now() < turnAt()) {
            m_hasCalled = false;
            co_await wait(PeerRetryPause);
            co_return true;
        }
    }
    const bool mayBeHeldBack = m_failures > 0 || (m_turns != nullptr && m_hasList);
    if (mayBeHeldBack && isHeldBack(TimePoint::clock::now())) {
        m_hasCalled = false;
        // The answer of a probe that is on its way is awaited beyond the deadline.
        constexpr domain::Duration ShortestCheck = std::chrono::milliseconds(20);
        const domain::Duration left = m_freshness.cut(CheckInterval, TimePoint::clock::now());
        co_await wait(std::max(left, ShortestCheck));
        co_return true;
    }
    if (!m_hasList)
        co_return co_await listOnce();
    if (isShared(TimePoint::clock::now()) && !m_hasGap) {
        m_hasCalled = false;
        co_await wait(CheckInterval);
        co_return true;
    }
    if (m_isNeeded && !m_isNeeded()) {
        co_await wait(CheckInterval);
        // What changed meanwhile is not known.
        m_hasList = !m_isNeeded();
        co_return true;
    }
    if (!m_hasGap && isTakeoverAwaited(TimePoint::clock::now())) {
        m_hasCalled = false;
        co_await wait(CheckInterval);
        co_return true;
    }
    // A watch would bring each superseded state of a large object.
    if (m_turns != nullptr && m_hasGap && m_missingSince)
        co_return co_await listOnce();
    co_return co_await watchOnce();
}

asio::awaitable<bool> StoreSubscriber::listOnce()
{
    const TimePoint sentAt = TimePoint::clock::now();
    m_sentAt = sentAt;
    auto list = co_await m_store.list(m_collection, sentAt + m_options.listTime);
    m_sentAt.reset();
    if (!list) {
        onFailure(list.error(), sentAt);
        co_return false;
    }
    onOwnSuccess();
    logRead(m_collection, "store_list", *list, sentAt);
    takeList(*list);
    co_return true;
}

void StoreSubscriber::takeList(const ObjectList &list)
{
    ++m_generation;
    m_version = list.storeVersion;
    m_hasList = true;
    m_hasGap = false;
    m_missingSince.reset();
    m_missing = 0;
    m_objectRevisions.clear();
    note(list);
    if (m_keepsLastList)
        m_lastList = list;
    m_sink.onList(list);
}

asio::awaitable<bool> StoreSubscriber::listFromPeer()
{
    const std::uint64_t generation = m_generation;
    const TimePoint now = TimePoint::clock::now();
    auto list = co_await m_peerList(std::min(now + m_options.listTime, turnAt()));
    // Meanwhile the own watch or another list may have brought as much.
    if (generation != m_generation)
        co_return true;
    if (!list || list->storeVersion.revision < std::max(m_version.revision, m_missing)) {
        logEvent(Severity::Info, "peer_list_missing",
                {{"collection", m_collection}, {"missing", m_missing},
                        {"reason", list ? "it is older than what is known" : list.error().message},
                        {"remedy", "another peer or the store is read instead"}});
        co_return false;
    }
    if (m_turns != nullptr)
        m_sharedAt = TimePoint::clock::now();
    onSuccess();
    logRead(m_collection, "entry", *list, now);
    takeList(*list);
    co_return true;
}

void StoreSubscriber::keep(const ObjectList &changes)
{
    if (!m_keepsLastList)
        return;
    m_lastList.storeVersion = std::max(m_lastList.storeVersion, changes.storeVersion);
    for (const StoredObject &object : changes.objects) {
        std::erase_if(m_lastList.objects,
                [&object](const StoredObject &known) { return known.key == object.key; });
        if (!object.isDeleted)
            m_lastList.objects.push_back(object);
    }
}

asio::awaitable<bool> StoreSubscriber::watchOnce()
{
    const std::uint64_t generation = m_generation;
    // What is missing here has happened already, so the answer comes at once.
    const domain::Duration time = m_hasGap ? domain::Duration::zero() : watchTime();
    const TimePoint sentAt = TimePoint::clock::now();
    m_isWatchWaiting = time > domain::Duration::zero();
    if (!m_isWatchWaiting)
        m_sentAt = sentAt;
    auto changes
            = co_await m_store.watch(m_collection, m_version, sentAt + time + m_options.answerTime);
    m_isWatchWaiting = false;
    m_sentAt.reset();
    if (generation != m_generation)
        co_return true;
    if (!changes && changes.error().kind == ErrorKind::NotFound) {
        logEvent(Severity::Info, "store_history_gone",
                {{"collection", m_collection}, {"revision", m_version.revision}});
        // The store answers, whatever it has kept; the copy is confirmed by the list only.
        onAnswered();
        m_hasList = false;
        co_return true;
    }
    if (!changes) {
        // A watch that waits would have brought changes until it failed.
        const bool hasWaited = time > domain::Duration::zero();
        onFailure(changes.error(), hasWaited ? TimePoint::clock::now() : sentAt);
        co_return false;
    }
    onOwnSuccess();
    if (!changes->objects.empty())
        logRead(m_collection, "store_watch", *changes, sentAt);
    takeWatched(*changes);
    co_return true;
}

void StoreSubscriber::takeWatched(const ObjectList &changes)
{
    const std::uint64_t lastChange = m_changedAt;
    const std::uint64_t before = m_version.revision;
    m_hasGap = false;
    m_missingSince.reset();
    m_missing = 0;
    const ObjectList newer = newerThanKnown(changes);
    m_version = std::max(m_version, changes.storeVersion);
    note(newer);
    keep(newer);
    if (m_sink.onWatchedChanges && changes.storeVersion.revision > before)
        m_sink.onWatchedChanges(lastChange, changes);
    if (!newer.objects.empty())
        m_sink.onChanges(newer);
}

asio::awaitable<bool> StoreSubscriber::catchUpOnce()
{
    const TimePoint sentAt = TimePoint::clock::now();
    auto changes = co_await m_store.watch(m_collection, m_version, sentAt + m_options.answerTime);
    if (!changes && changes.error().kind == ErrorKind::NotFound) {
        logEvent(Severity::Info, "store_history_gone",
                {{"collection", m_collection}, {"revision", m_version.revision}});
        co_return co_await listOnce();
    }
    if (!changes) {
        onFailure(changes.error(), sentAt);
        co_return false;
    }
    onOwnSuccess();
    logRead(m_collection, "store_catch_up", *changes, sentAt);
    takeWatched(*changes);
    co_return true;
}

bool StoreSubscriber::isShared(TimePoint now) const
{
    return m_sharedAt != TimePoint() && now - m_sharedAt <= m_options.sharedLife;
}

bool StoreSubscriber::isSharedLately(TimePoint now) const
{
    const TimePoint heardAt = std::max(m_sharedAt, m_sharedLossAt);
    return heardAt != TimePoint() && now - heardAt <= m_options.sharedLife;
}

bool StoreSubscriber::isUnconfirmed(TimePoint now) const
{
    const bool isSubscriber = m_turns != nullptr && !m_turns->isPublisher();
    const domain::Duration longest
            = m_options.sharedLife + m_options.subscriberWatchTime + m_options.answerTime;
    return isSubscriber && m_hasList && now - m_answeredAt > longest;
}

std::optional<std::uint64_t> StoreSubscriber::confirmedRevision(TimePoint now) const
{
    // A copy in doubt must not confirm those of others.
    const bool isAnswered = m_hasList && m_failures == 0 && !m_freshness.isInDoubt()
            && !isShared(now) && now - m_ownAnsweredAt <= watchTime() + m_options.answerTime;
    if (!isAnswered)
        return std::nullopt;
    return m_version.revision;
}

ObjectList StoreSubscriber::newerThanKnown(const ObjectList &changes)
{
    ObjectList newer{{}, changes.storeVersion};
    for (const StoredObject &object : changes.objects) {
        const auto known = m_objectRevisions.find(object.key);
        const bool isOld = known != m_objectRevisions.end() && object.version.revision > 0
                && (object.isDeleted ? object.version.revision < known->second
                                     : object.version.revision <= known->second);
        if (!isOld)
            newer.objects.push_back(object);
    }
    return newer;
}

void StoreSubscriber::noteMissing(std::uint64_t revision, TimePoint now)
{
    if (!m_missingSince) {
        m_missingSince = now;
        // Whoever has published it reaches the store, so its turn counts from here.
        if (m_turns != nullptr)
            m_freshness.onUnanswered(now);
    }
    m_missing = std::max(m_missing, revision);
    m_freshness.onDoubt(now);
    watchDeadline();
    m_isWoken = m_isWoken || m_failures > 0;
}

void StoreSubscriber::onPublisherStoreLoss(TimePoint now)
{
    if (now - m_sharedLossAt > m_options.sharedLife)
        m_sharedLossSince = now;
    m_sharedLossAt = now;
    m_sharedAt = {};
}

void StoreSubscriber::onPublishedChanges(
        std::uint64_t after, const ObjectList &changes, TimePoint now, bool isOmitted)
{
    // A reader that does not know the last change may be cut off from the store.
    if (!m_hasList || changes.storeVersion.revision < m_changedAt)
        return;
    if (after > m_version.revision) {
        noteMissing(after, now);
        // The publishers are there, so this process does not take their place.
        if (m_turns != nullptr)
            m_sharedAt = now;
        m_hasGap = m_hasGap || isOmitted || now - *m_missingSince >= m_options.gapPatience;
        return;
    }
    m_sharedAt = now;
    m_isWoken = m_isWoken || m_failures > 0;
    // The other publisher may have reported a later change.
    const bool isBehind = m_missingSince && changes.storeVersion.revision < m_missing;
    if (!isBehind) {
        m_hasGap = false;
        onSuccess();
    }
    if (changes.storeVersion.revision <= m_version.revision)
        return;
    const ObjectList newer = newerThanKnown(changes);
    // What a watch that waits here brings is older.
    ++m_generation;
    m_version = changes.storeVersion;
    if (m_version.revision >= m_missing)
        m_missingSince.reset();
    note(newer);
    keep(newer);
    if (!newer.objects.empty())
        m_sink.onChanges(newer);
}

domain::Duration StoreSubscriber::watchTime() const
{
    const bool isBacked = m_hintedAt != TimePoint()
            && TimePoint::clock::now() - m_hintedAt <= m_options.hintLife;
    const domain::Duration time = isBacked ? m_options.backedWatchTime : m_options.watchTime;
    const bool isSubscriber = m_turns != nullptr && !m_turns->isPublisher();
    return isSubscriber ? std::min(time, m_options.subscriberWatchTime) : time;
}

void StoreSubscriber::note(const ObjectList &objects)
{
    for (const StoredObject &object : objects.objects) {
        // A removed object bears the revision of its last change, not that of its removal.
        const auto &version = object.isDeleted ? objects.storeVersion : object.version;
        m_changedAt = std::max(m_changedAt, version.revision);
        m_objectRevisions[object.key] = version.revision;
    }
}

void StoreSubscriber::refresh()
{
    const TimePoint now = TimePoint::clock::now();
    const bool isRecent
            = m_refreshedAt != TimePoint() && now - m_refreshedAt < m_options.refreshInterval;
    if (m_isRefreshing || !m_hasList || isRecent)
        return;
    if (m_turns != nullptr) {
        m_freshness.onDoubt(now);
        watchDeadline();
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

void StoreSubscriber::watchDeadline()
{
    if (m_isDeadlineWatched || !m_freshness.isInDoubt())
        return;
    m_isDeadlineWatched = true;
    asio::co_spawn(m_context, confirmAtDeadline(), asio::detached);
}

asio::awaitable<void> StoreSubscriber::confirmAtDeadline()
{
    TimePoint now = TimePoint::clock::now();
    while (m_freshness.isInDoubt() && now < turnAt()) {
        co_await wait(turnAt() - now);
        now = TimePoint::clock::now();
    }
    m_isDeadlineWatched = false;
    // Without a waiting watch, run() calls the store by itself.
    if (m_freshness.isInDoubt() && m_isWatchWaiting && !m_isRefreshing && m_hasList)
        beginRefresh(now);
}

asio::awaitable<void> StoreSubscriber::listUntilAnswered()
{
    // g++ 12 miscompiles an await within the condition of a loop.
    bool isListed = co_await refreshOnce();
    // A publisher may have confirmed a large collection meanwhile.
    while (!isListed && (m_turns == nullptr || m_freshness.isInDoubt())) {
        co_await wait(retryPause());
        isListed = co_await refreshOnce();
    }
    m_isRefreshing = false;
}

asio::awaitable<bool> StoreSubscriber::refreshOnce()
{
    // A large collection is not read again for what is known of it.
    if (m_keepsLastList && !isBehind())
        co_return co_await catchUpOnce();
    co_return co_await listOnce();
}

void StoreSubscriber::onPeerRevision(std::uint64_t lastChangeRevision, TimePoint now)
{
    m_hintedAt = now;
    if (lastChangeRevision <= m_version.revision) {
        m_behindSince.reset();
        return;
    }
    if (!m_behindSince)
        m_behindSince = now;
    if (now - *m_behindSince < m_options.hintPatience)
        return;
    logEvent(Severity::Info, "store_change_missed",
            {{"collection", m_collection}, {"known", m_version.revision},
                    {"changed", lastChangeRevision}});
    m_behindSince.reset();
    if (m_turns == nullptr) {
        refresh();
        return;
    }
    noteMissing(lastChangeRevision, now);
    m_hasGap = true;
}

void StoreSubscriber::onFailure(const domain::Error &error, TimePoint sentAt)
{
    ++m_failures;
    m_freshness.onUnanswered(sentAt);
    for (StoreSubscriber *dependant : m_dependants)
        dependant->m_freshness.onUnanswered(sentAt);
    // A watch begun in an outage may never be answered, even after it. One that waits for nothing
    // is, and its short deadline shows the return of the store early; whole lists for all processes
    // at that moment would fill the links between regions.
    m_hasGap = true;
    if (m_failures > 1) {
        logEvent(Severity::Info, "store_call_failed",
                {{"collection", m_collection}, {"failures", m_failures}, {"error", error.message},
                        {"remedy", error.remedy}});
        return;
    }
    logEvent(Severity::Warning, "store_lost",
            {{"collection", m_collection}, {"error", error.message}, {"remedy", error.remedy}});
    if (m_sink.onLost)
        m_sink.onLost();
}

void StoreSubscriber::onSuccess()
{
    m_freshness.onConfirmed();
    onAnswered();
}

void StoreSubscriber::onOwnSuccess()
{
    m_ownAnsweredAt = TimePoint::clock::now();
    onSuccess();
}

void StoreSubscriber::onAnswered()
{
    m_answeredAt = TimePoint::clock::now();
    if (m_failures == 0)
        return;
    logEvent(
            Severity::Info, "store_back", {{"collection", m_collection}, {"failures", m_failures}});
    m_failures = 0;
    // Their turns begin with the return, not with the last call that failed.
    for (StoreSubscriber *dependant : m_dependants) {
        if (dependant->m_freshness.isInDoubt())
            dependant->m_freshness.onUnanswered(m_answeredAt);
    }
    if (m_sink.onBack)
        m_sink.onBack();
}

} // namespace oriolerill::objectstore
