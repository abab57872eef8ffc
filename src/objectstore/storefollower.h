#pragma once

#include "domain/timepoint.h"
#include "objectstore/iobjectstore.h"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>

#include <functional>
#include <optional>
#include <string>

namespace oriolerill::objectstore {

/// What one follower does with what it reads; runs on the thread of the context.
struct CollectionSink
{
    /// The whole collection, at the start and whenever changes may have been missed.
    std::function<void(const ObjectList &)> onList;
    std::function<void(const ObjectList &)> onChanges;
    /// The store has stopped to answer, or answers again.
    std::function<void()> onLost;
    std::function<void()> onBack;
};

struct StoreFollowerOptions
{
    /// Longest time that one watch waits. The store counts each call, so a longer wait is cheaper;
    /// a watch that a failing store has forgotten is noticed only at its end.
    domain::Duration watchTime = std::chrono::milliseconds(5000);
    /// The same while others would tell of a change that is missed here.
    domain::Duration backedWatchTime = std::chrono::milliseconds(25000);
    /// Others' word counts for this long; it comes twice a second.
    domain::Duration hintLife = std::chrono::milliseconds(3000);
    /// A change that others know of reaches the own watch within this time, or was missed.
    domain::Duration hintPatience = std::chrono::milliseconds(400);
    /// Least time between two lists for what others know.
    domain::Duration refreshInterval = std::chrono::milliseconds(1000);
    /// Time beyond the wait after which a watch counts as lost.
    domain::Duration answerTime = std::chrono::milliseconds(1000);
    /// Ample for a store that is sixty times slower than the 4 ms that it states.
    domain::Duration listTime = std::chrono::milliseconds(1500);
    /// Pause after changes, so that several changes cost one call.
    domain::Duration changePause = std::chrono::milliseconds(0);
    domain::Duration firstRetryPause = std::chrono::milliseconds(100);
    domain::Duration longestRetryPause = std::chrono::milliseconds(800);
};

/// Keeps a copy of one collection of the store up to date: lists it, then watches for changes;
/// lists again when the store no longer has the changes, or when others know of one that has not
/// come: a store that loses answers leaves a watch waiting for nothing.
class StoreFollower
{
public:
    StoreFollower(boost::asio::io_context &context, IObjectStore &store, std::string collection,
            CollectionSink sink, StoreFollowerOptions options = {});

    /// Runs until the context stops.
    boost::asio::awaitable<void> run();
    /// The collection is not watched while the function returns false, because its changes come by
    /// another way; it is listed when it returns true again.
    void setNeeded(std::function<bool()> isNeeded) { m_isNeeded = std::move(isNeeded); }
    /// Lists the collection now, whatever becomes of the watch that is waiting.
    void refresh();
    /// Revision of the last change that was seen here.
    std::uint64_t changedAt() const { return m_changedAt; }
    /// Another process has seen a change at this revision.
    void onHint(std::uint64_t changedAt, domain::TimePoint now);

private:
    boost::asio::awaitable<bool> step();
    boost::asio::awaitable<bool> listOnce();
    boost::asio::awaitable<bool> watchOnce();
    boost::asio::awaitable<void> listUntilAnswered();
    boost::asio::awaitable<void> wait(domain::Duration duration);
    domain::Duration retryPause() const;
    domain::Duration watchTime() const;
    void note(const ObjectList &objects);
    void onFailure(const domain::Error &error);
    void onSuccess();

    boost::asio::io_context &m_context;
    IObjectStore &m_store;
    std::string m_collection;
    CollectionSink m_sink;
    StoreFollowerOptions m_options;
    domain::ConfigVersion m_version;
    bool m_hasList = false;
    std::uint32_t m_failures = 0;
    std::function<bool()> m_isNeeded;
    std::uint64_t m_changedAt = 0;
    /// Grows with each list; a watch that was begun before may bring what the list has overtaken.
    std::uint64_t m_generation = 0;
    bool m_isRefreshing = false;
    domain::TimePoint m_refreshedAt;
    domain::TimePoint m_hintedAt;
    /// Since when others know of a change that is not known here.
    std::optional<domain::TimePoint> m_behindSince;
};

} // namespace oriolerill::objectstore
