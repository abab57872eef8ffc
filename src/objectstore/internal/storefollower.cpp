#include "objectstore/storefollower.h"

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

StoreFollower::StoreFollower(asio::io_context &context, IObjectStore &store, std::string collection,
        CollectionSink sink, StoreFollowerOptions options)
    : m_context(context)
    , m_store(store)
    , m_collection(std::move(collection))
    , m_sink(std::move(sink))
    , m_options(options)
    , m_freshness(options.freshnessBudget)
{}

asio::awaitable<void> StoreFollower::run()
{
    /// A pause is ended so soon after others have told something.
    constexpr auto WakeInterval = std::chrono::milliseconds(100);
    asio::steady_timer timer(m_context);
    for (;;) {
        m_hasCalled = true;
        const bool isDone = co_await step();
        // Without a list there is no series of changes to wait for.
        const bool isSeriesLikely = m_hasCalled && m_hasList;
        domain::Duration pause = isSeriesLikely ? m_options.changePause : domain::Duration::zero();
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

domain::Duration StoreFollower::retryPause()
{
    constexpr std::uint32_t MostDoublings = 4;
    const auto doubled = m_options.firstRetryPause
            * (1U << std::min(std::max(m_failures, 1U) - 1, MostDoublings));
    const bool isLossShared = m_sharedLossAt != TimePoint()
            && TimePoint::clock::now() - m_sharedLossAt <= m_options.sharedLife;
    const domain::Duration pause = isLossShared
            ? m_options.sharedRetryPause
            : std::min<domain::Duration>(doubled, m_options.longestRetryPause);
    // Spread, so that processes that lost the store together do not ask together.
    std::uniform_real_distribution<double> spread(0.75, 1.25);
    const auto wanted = std::chrono::duration_cast<domain::Duration>(pause * spread(m_random));
    const domain::Duration left = m_freshness.cut(wanted, TimePoint::clock::now());
    if (left == wanted)
        return wanted;
    // Ends before the deadline, and not for all processes together.
    std::uniform_real_distribution<double> cutSpread(0.6, 0.95);
    const auto cut = std::chrono::duration_cast<domain::Duration>(left * cutSpread(m_random));
    return std::max(cut, std::min(wanted, m_options.firstRetryPause));
}

void StoreFollower::setProbe(StoreFollower &probe)
{
    m_probe = &probe;
    probe.m_dependants.push_back(this);
}

bool StoreFollower::isHeldBack(TimePoint now) const
{
    const bool isProbed = m_probe != nullptr && m_probe->isFailing();
    if (isProbed && m_probe->isAwaitingAnswer(now))
        return true;
    return (isProbed || (m_isHeldBack && m_isHeldBack())) && now < m_freshness.askBy();
}

bool StoreFollower::isAwaitingAnswer(TimePoint now) const
{
    return m_sentAt && now - *m_sentAt < m_options.answerTime;
}

asio::awaitable<void> StoreFollower::wait(domain::Duration duration)
{
    asio::steady_timer timer(m_context, duration);
    co_await timer.async_wait(asio::as_tuple(asio::use_awaitable));
}

asio::awaitable<bool> StoreFollower::step()
{
    constexpr auto CheckInterval = std::chrono::milliseconds(200);
    if (m_isRefreshing) {
        co_await wait(CheckInterval);
        co_return true;
    }
    if (m_hasList && m_missingSince
            && TimePoint::clock::now() - *m_missingSince >= m_options.gapPatience)
        m_hasGap = true;
    const bool isPeerTimeLeft = TimePoint::clock::now() < m_freshness.askBy();
    if (m_hasList && m_missingSince && m_hasGap && m_peerList && isPeerTimeLeft) {
        const bool isListed = co_await listFromPeer();
        if (isListed)
            co_return true;
    }
    if (m_failures > 0 && isHeldBack(TimePoint::clock::now())) {
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
    co_return co_await watchOnce();
}

asio::awaitable<bool> StoreFollower::listOnce()
{
    const TimePoint sentAt = TimePoint::clock::now();
    m_sentAt = sentAt;
    auto list = co_await m_store.list(m_collection, sentAt + m_options.listTime);
    m_sentAt.reset();
    if (!list) {
        onFailure(list.error(), sentAt);
        co_return false;
    }
    onSuccess();
    takeList(*list);
    co_return true;
}

void StoreFollower::takeList(const ObjectList &list)
{
    ++m_generation;
    m_version = list.storeVersion;
    m_hasList = true;
    m_hasGap = false;
    m_missingSince.reset();
    m_objectRevisions.clear();
    note(list);
    if (m_keepsLastList)
        m_lastList = list;
    m_sink.onList(list);
}

asio::awaitable<bool> StoreFollower::listFromPeer()
{
    const std::uint64_t generation = m_generation;
    const TimePoint now = TimePoint::clock::now();
    auto list = co_await m_peerList(now + m_freshness.cut(m_options.listTime, now));
    // Meanwhile the own watch or another list may have brought as much.
    if (generation != m_generation)
        co_return true;
    if (!list || list->storeVersion.revision < m_version.revision) {
        logEvent(Severity::Info, "peer_list_missing",
                {{"collection", m_collection},
                        {"reason", list ? "it is older than what is known" : list.error().message},
                        {"remedy", "the store is read instead"}});
        co_return false;
    }
    onSuccess();
    takeList(*list);
    co_return true;
}

void StoreFollower::keep(const ObjectList &changes)
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

asio::awaitable<bool> StoreFollower::watchOnce()
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
    onSuccess();
    takeWatched(*changes);
    co_return true;
}

void StoreFollower::takeWatched(const ObjectList &changes)
{
    const std::uint64_t lastChange = m_changedAt;
    const std::uint64_t before = m_version.revision;
    m_hasGap = false;
    m_missingSince.reset();
    const ObjectList newer = newerThanKnown(changes);
    m_version = std::max(m_version, changes.storeVersion);
    note(newer);
    keep(newer);
    if (m_sink.onWatched && changes.storeVersion.revision > before)
        m_sink.onWatched(lastChange, changes);
    if (!newer.objects.empty())
        m_sink.onChanges(newer);
}

asio::awaitable<bool> StoreFollower::catchUpOnce()
{
    const TimePoint sentAt = TimePoint::clock::now();
    auto changes = co_await m_store.watch(m_collection, m_version, sentAt + m_options.answerTime);
    if (!changes && changes.error().kind == ErrorKind::NotFound)
        co_return co_await listOnce();
    if (!changes) {
        onFailure(changes.error(), sentAt);
        co_return false;
    }
    onSuccess();
    takeWatched(*changes);
    co_return true;
}

bool StoreFollower::isShared(TimePoint now) const
{
    return m_sharedAt != TimePoint() && now - m_sharedAt <= m_options.sharedLife;
}

bool StoreFollower::isSharedLately(TimePoint now) const
{
    const TimePoint heardAt = std::max(m_sharedAt, m_sharedLossAt);
    return heardAt != TimePoint() && now - heardAt <= m_options.sharedLife;
}

std::optional<std::uint64_t> StoreFollower::ownRevision(TimePoint now) const
{
    const bool isAnswered = m_hasList && m_failures == 0 && !isShared(now)
            && now - m_answeredAt <= watchTime() + m_options.answerTime;
    if (!isAnswered)
        return std::nullopt;
    return m_version.revision;
}

ObjectList StoreFollower::newerThanKnown(const ObjectList &changes)
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

void StoreFollower::onShared(std::uint64_t after, const ObjectList &changes, TimePoint now)
{
    // A reader that does not know the last change may be cut off from the store.
    if (!m_hasList || changes.storeVersion.revision < m_changedAt)
        return;
    if (after > m_version.revision) {
        if (!m_missingSince)
            m_missingSince = now;
        m_freshness.onDoubt(now);
        watchDeadline();
        m_missing = std::max(m_missing, after);
        m_hasGap = m_hasGap || now - *m_missingSince >= m_options.gapPatience;
        m_isWoken = m_isWoken || m_failures > 0;
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

domain::Duration StoreFollower::watchTime() const
{
    const bool isBacked = m_hintedAt != TimePoint()
            && TimePoint::clock::now() - m_hintedAt <= m_options.hintLife;
    return isBacked ? m_options.backedWatchTime : m_options.watchTime;
}

void StoreFollower::note(const ObjectList &objects)
{
    for (const StoredObject &object : objects.objects) {
        // A removed object bears the revision of its last change, not that of its removal.
        const auto &version = object.isDeleted ? objects.storeVersion : object.version;
        m_changedAt = std::max(m_changedAt, version.revision);
        m_objectRevisions[object.key] = version.revision;
    }
}

void StoreFollower::refresh()
{
    const TimePoint now = TimePoint::clock::now();
    const bool isRecent
            = m_refreshedAt != TimePoint() && now - m_refreshedAt < m_options.refreshInterval;
    if (m_isRefreshing || !m_hasList || isRecent)
        return;
    beginRefresh(now);
}

void StoreFollower::beginRefresh(TimePoint now)
{
    m_isRefreshing = true;
    m_refreshedAt = now;
    asio::co_spawn(m_context, listUntilAnswered(), asio::detached);
}

void StoreFollower::watchDeadline()
{
    if (m_isDeadlineWatched || !m_freshness.isInDoubt())
        return;
    m_isDeadlineWatched = true;
    asio::co_spawn(m_context, confirmAtDeadline(), asio::detached);
}

asio::awaitable<void> StoreFollower::confirmAtDeadline()
{
    TimePoint now = TimePoint::clock::now();
    while (m_freshness.isInDoubt() && now < m_freshness.askBy()) {
        co_await wait(m_freshness.askBy() - now);
        now = TimePoint::clock::now();
    }
    m_isDeadlineWatched = false;
    // Without a waiting watch, run() calls the store by itself.
    if (m_freshness.isInDoubt() && m_isWatchWaiting && !m_isRefreshing && m_hasList)
        beginRefresh(now);
}

asio::awaitable<void> StoreFollower::listUntilAnswered()
{
    // g++ 12 miscompiles an await within the condition of a loop.
    bool isListed = co_await refreshOnce();
    while (!isListed) {
        co_await wait(retryPause());
        isListed = co_await refreshOnce();
    }
    m_isRefreshing = false;
}

asio::awaitable<bool> StoreFollower::refreshOnce()
{
    // A large collection is not read again for what is known of it.
    if (m_keepsLastList)
        co_return co_await catchUpOnce();
    co_return co_await listOnce();
}

void StoreFollower::onHint(std::uint64_t changedAt, TimePoint now)
{
    m_hintedAt = now;
    if (changedAt <= m_version.revision) {
        m_behindSince.reset();
        return;
    }
    if (!m_behindSince)
        m_behindSince = now;
    if (now - *m_behindSince < m_options.hintPatience)
        return;
    logEvent(Severity::Info, "store_change_missed",
            {{"collection", m_collection}, {"known", m_version.revision}, {"changed", changedAt}});
    m_behindSince.reset();
    refresh();
}

void StoreFollower::onFailure(const domain::Error &error, TimePoint sentAt)
{
    ++m_failures;
    m_freshness.onUnanswered(sentAt);
    for (StoreFollower *dependant : m_dependants)
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

void StoreFollower::onSuccess()
{
    m_freshness.onConfirmed();
    onAnswered();
}

void StoreFollower::onAnswered()
{
    m_answeredAt = TimePoint::clock::now();
    if (m_failures == 0)
        return;
    logEvent(
            Severity::Info, "store_back", {{"collection", m_collection}, {"failures", m_failures}});
    m_failures = 0;
    if (m_sink.onBack)
        m_sink.onBack();
}

} // namespace oriolerill::objectstore
