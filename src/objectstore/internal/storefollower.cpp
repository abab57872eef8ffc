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
{}

asio::awaitable<void> StoreFollower::run()
{
    asio::steady_timer timer(m_context);
    for (;;) {
        domain::Duration pause = m_options.changePause;
        if (!co_await step())
            pause = retryPause();
        if (pause > domain::Duration::zero()) {
            timer.expires_after(pause);
            co_await timer.async_wait(asio::as_tuple(asio::use_awaitable));
        }
    }
}

domain::Duration StoreFollower::retryPause() const
{
    constexpr std::uint32_t MostDoublings = 4;
    const auto doubled = m_options.firstRetryPause
            * (1U << std::min(std::max(m_failures, 1U) - 1, MostDoublings));
    return std::min<domain::Duration>(doubled, m_options.longestRetryPause);
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
    if (!m_hasList)
        co_return co_await listOnce();
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
    auto list = co_await m_store.list(m_collection, TimePoint::clock::now() + m_options.listTime);
    if (!list) {
        onFailure(list.error());
        co_return false;
    }
    onSuccess();
    ++m_generation;
    m_version = list->storeVersion;
    m_hasList = true;
    note(*list);
    m_sink.onList(*list);
    co_return true;
}

asio::awaitable<bool> StoreFollower::watchOnce()
{
    const std::uint64_t generation = m_generation;
    auto changes = co_await m_store.watch(
            m_collection, m_version, TimePoint::clock::now() + watchTime() + m_options.answerTime);
    if (generation != m_generation)
        co_return true;
    if (!changes && changes.error().kind == ErrorKind::NotFound) {
        logEvent(Severity::Info, "store_history_gone",
                {{"collection", m_collection}, {"revision", m_version.revision}});
        m_hasList = false;
        co_return true;
    }
    if (!changes) {
        onFailure(changes.error());
        co_return false;
    }
    onSuccess();
    m_version = std::max(m_version, changes->storeVersion);
    note(*changes);
    if (!changes->objects.empty())
        m_sink.onChanges(*changes);
    co_return true;
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
    }
}

void StoreFollower::refresh()
{
    const TimePoint now = TimePoint::clock::now();
    const bool isRecent
            = m_refreshedAt != TimePoint() && now - m_refreshedAt < m_options.refreshInterval;
    if (m_isRefreshing || !m_hasList || isRecent)
        return;
    m_isRefreshing = true;
    m_refreshedAt = now;
    asio::co_spawn(m_context, listUntilAnswered(), asio::detached);
}

asio::awaitable<void> StoreFollower::listUntilAnswered()
{
    // g++ 12 miscompiles an await within the condition of a loop.
    bool isListed = co_await listOnce();
    while (!isListed) {
        co_await wait(retryPause());
        isListed = co_await listOnce();
    }
    m_isRefreshing = false;
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

void StoreFollower::onFailure(const domain::Error &error)
{
    ++m_failures;
    // A watch begun in an outage may never be answered, even after it. A list is, and costs the
    // same; its short deadline shows the return of the store early.
    m_hasList = false;
    if (m_failures > 1)
        return;
    logEvent(Severity::Warning, "store_lost",
            {{"collection", m_collection}, {"error", error.message}, {"remedy", error.remedy}});
    if (m_sink.onLost)
        m_sink.onLost();
}

void StoreFollower::onSuccess()
{
    if (m_failures == 0)
        return;
    logEvent(
            Severity::Info, "store_back", {{"collection", m_collection}, {"failures", m_failures}});
    m_failures = 0;
    if (m_sink.onBack)
        m_sink.onBack();
}

} // namespace oriolerill::objectstore
