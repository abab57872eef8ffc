#include "objectstore/storefollower.h"

#include "observability/log.h"

#include <boost/asio/as_tuple.hpp>
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
        if (!co_await step()) {
            constexpr std::uint32_t MostDoublings = 4;
            const auto doubled = m_options.firstRetryPause
                    * (1U << std::min(std::max(m_failures, 1U) - 1, MostDoublings));
            pause = std::min<domain::Duration>(doubled, m_options.longestRetryPause);
        }
        if (pause > domain::Duration::zero()) {
            timer.expires_after(pause);
            co_await timer.async_wait(asio::as_tuple(asio::use_awaitable));
        }
    }
}

asio::awaitable<bool> StoreFollower::step()
{
    const TimePoint now = TimePoint::clock::now();
    if (!m_hasList) {
        auto list = co_await m_store.list(m_collection, now + m_options.listTime);
        if (!list) {
            onFailure(list.error());
            co_return false;
        }
        onSuccess();
        m_version = list->storeVersion;
        m_hasList = true;
        m_sink.onList(*list);
        co_return true;
    }
    auto changes = co_await m_store.watch(
            m_collection, m_version, now + m_options.watchTime + m_options.answerTime);
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
    if (!changes->objects.empty())
        m_sink.onChanges(*changes);
    co_return true;
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
