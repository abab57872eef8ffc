#pragma once

#include "objectstore/iobjectstore.h"

#include <boost/asio/steady_timer.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <algorithm>
#include <map>
#include <set>
#include <vector>

namespace oriolerill::objectstore {

/// An object store in memory whose connections can be reset, whose history can be pruned and which
/// can return from a copy taken before. It records the time of each call. For one thread.
class ResettableStore : public IObjectStore
{
public:
    template<class T>
    using Result = boost::asio::awaitable<domain::Expected<T>>;

    /// Lists and watches fail at once.
    bool isDown = false;
    /// Watches of these collections, pending ones too, return nothing before their wait ends.
    std::set<std::string> unresponsiveCollections;
    std::vector<domain::TimePoint> calls;
    /// So many of the next calls for a collection that do not wait for changes fail.
    std::map<std::string, int> callsToFail;

    std::uint64_t put(const std::string &key, const std::string &value)
    {
        ++m_revision;
        m_objects[key] = StoredObject{key, value, {m_era, m_revision}, false};
        return m_revision;
    }
    void erase(const std::string &key)
    {
        put(key, "");
        m_objects[key].isDeleted = true;
    }
    /// Version of the last change.
    domain::ConfigVersion version() const { return {m_era, m_revision}; }

    /// What the store holds at one moment.
    struct Copy
    {
        std::map<std::string, StoredObject> objects;
        std::uint64_t revision = 0;
    };
    Copy copy() const { return {m_objects, m_revision}; }
    /// Returns from the copy, in the next era: revisions above that of the copy are given out
    /// again, and the history up to it is gone.
    void restore(const Copy &copy)
    {
        m_objects = copy.objects;
        m_revision = copy.revision;
        m_prunedRevision = copy.revision;
        ++m_era;
        for (auto &[key, object] : m_objects)
            object.version.epoch = m_era;
    }
    /// Ends all waiting watches except those of unresponsive collections.
    void reset() { ++m_resets; }
    /// How the store ends a waiting watch before its time.
    enum class WatchEnd { Reset, AnswerWithoutChanges, HistoryGone };
    /// Ends the waiting watches of a collection.
    void cut(const std::string &collection, WatchEnd end)
    {
        ++m_cuts[collection].count;
        m_cuts[collection].end = end;
    }
    void pruneHistory() { m_prunedRevision = m_revision; }

    /// Maximum number of calls in any window of this length that ends at or after a time.
    std::size_t maxCalls(domain::Duration window, domain::TimePoint since) const
    {
        std::size_t most = 0;
        for (std::size_t first = 0, last = 0; last < calls.size(); ++last) {
            while (calls[last] - calls[first] >= window)
                ++first;
            if (calls[last] >= since)
                most = std::max(most, last - first + 1);
        }
        return most;
    }
    std::size_t callsSince(domain::TimePoint since) const
    {
        return static_cast<std::size_t>(std::count_if(
                calls.begin(), calls.end(), [since](const auto &at) { return at >= since; }));
    }

    Result<StoredObject> read(std::string /*key*/, domain::TimePoint /*deadline*/) override
    {
        co_return connectionReset();
    }
    Result<ObjectList> list(std::string prefix, domain::TimePoint /*deadline*/) override
    {
        calls.push_back(domain::TimePoint::clock::now());
        if (isDown || takeFailure(prefix))
            co_return connectionReset();
        co_await delayAnswer();
        if (isDown)
            co_return connectionReset();
        co_return present(prefix);
    }
    Result<domain::ConfigVersion> create(
            std::string /*key*/, std::string /*value*/, domain::TimePoint /*deadline*/) override
    {
        co_return connectionReset();
    }
    Result<domain::ConfigVersion> update(std::string /*key*/, std::string /*value*/,
            domain::ConfigVersion /*expected*/, domain::TimePoint /*deadline*/) override
    {
        co_return connectionReset();
    }
    Result<domain::ConfigVersion> remove(std::string /*key*/, domain::ConfigVersion /*expected*/,
            domain::TimePoint /*deadline*/) override
    {
        co_return connectionReset();
    }
    Result<ObjectList> watch(
            std::string prefix, domain::ConfigVersion after, domain::TimePoint deadline) override
    {
        /// Part of the time until the deadline that is for the answer; the rest is the wait.
        constexpr auto AnswerPart = std::chrono::milliseconds(1000);
        calls.push_back(domain::TimePoint::clock::now());
        const std::uint64_t resets = m_resets;
        const domain::TimePoint waitEnd = deadline - AnswerPart;
        const bool isWaiting = waitEnd > calls.back();
        if (isDown || (!isWaiting && takeFailure(prefix)))
            co_return connectionReset();
        co_await delayAnswer();
        const std::uint64_t cuts = m_cuts[prefix].count;
        for (;;) {
            const domain::TimePoint now = domain::TimePoint::clock::now();
            const bool isUnresponsive = unresponsiveCollections.count(prefix) > 0 && waitEnd > now;
            if (!isUnresponsive) {
                if (isDown || resets != m_resets)
                    co_return connectionReset();
                if (after.epoch != m_era || after.revision < m_prunedRevision
                        || after.revision > m_revision)
                    co_return domain::Error{domain::ErrorKind::NotFound, "pruned", "list again"};
                if (cuts != m_cuts[prefix].count && m_cuts[prefix].end == WatchEnd::Reset)
                    co_return connectionReset();
                if (cuts != m_cuts[prefix].count && m_cuts[prefix].end == WatchEnd::HistoryGone)
                    co_return domain::Error{domain::ErrorKind::NotFound, "pruned", "list again"};
                ObjectList changes = select(prefix, after.revision);
                if (cuts != m_cuts[prefix].count)
                    co_return changes;
                if (!changes.objects.empty() || now >= waitEnd)
                    co_return changes;
            }
            boost::asio::steady_timer timer(
                    co_await boost::asio::this_coro::executor, std::chrono::milliseconds(5));
            co_await timer.async_wait(boost::asio::use_awaitable);
        }
    }
    Result<std::vector<ListedVm>> listVms(domain::TimePoint /*deadline*/) override
    {
        co_return connectionReset();
    }

protected:
    ObjectList present(const std::string &prefix) const
    {
        ObjectList list = select(prefix, 0);
        std::erase_if(list.objects, [](const StoredObject &object) { return object.isDeleted; });
        return list;
    }
    ObjectList select(const std::string &prefix, std::uint64_t after) const
    {
        ObjectList list;
        list.storeVersion = version();
        for (const auto &[key, object] : m_objects) {
            if (key.starts_with(prefix) && object.version.revision > after)
                list.objects.push_back(object);
        }
        return list;
    }

private:
    static domain::Error connectionReset()
    {
        return domain::Error{domain::ErrorKind::Unavailable, "connection reset", "wait"};
    }
    bool takeFailure(const std::string &collection)
    {
        const auto left = callsToFail.find(collection);
        if (left == callsToFail.end() || left->second == 0)
            return false;
        --left->second;
        return true;
    }
    static boost::asio::awaitable<void> delayAnswer()
    {
        // Duration of a call as the platform states it.
        constexpr auto AnswerTime = std::chrono::milliseconds(4);
        boost::asio::steady_timer timer(co_await boost::asio::this_coro::executor, AnswerTime);
        co_await timer.async_wait(boost::asio::use_awaitable);
    }
    std::uint64_t m_era = 0;
    std::uint64_t m_revision = 1;
    std::uint64_t m_resets = 0;
    struct Cut
    {
        std::uint64_t count = 0;
        WatchEnd end = WatchEnd::Reset;
    };
    std::map<std::string, Cut> m_cuts;
    std::uint64_t m_prunedRevision = 0;
    std::map<std::string, StoredObject> m_objects;
};

} // namespace oriolerill::objectstore
