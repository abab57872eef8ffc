#pragma once

#include "domain/timepoint.h"
#include "objectstore/iobjectstore.h"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>

#include <functional>
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
/// lists again when the store no longer has the changes.
class StoreFollower
{
public:
    StoreFollower(boost::asio::io_context &context, IObjectStore &store, std::string collection,
            CollectionSink sink, StoreFollowerOptions options = {});

    /// Runs until the context stops.
    boost::asio::awaitable<void> run();

private:
    boost::asio::awaitable<bool> step();
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
};

} // namespace oriolerill::objectstore
