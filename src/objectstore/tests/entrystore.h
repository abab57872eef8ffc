#pragma once

#include "objectstore/iobjectstore.h"

#include <boost/asio/steady_timer.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/asio/use_awaitable.hpp>

namespace oriolerill::objectstore {

/// One entry's calls to a store that several entries share. The store can leave them without an
/// answer, waiting watches too, or reset them, while the other entries are served.
class EntryStore : public IObjectStore
{
public:
    template<class T>
    using Result = boost::asio::awaitable<domain::Expected<T>>;

    enum class State { Served, Silent, Reset };

    explicit EntryStore(IObjectStore &store)
        : m_store(store)
    {}

    State state = State::Served;

    Result<StoredObject> read(std::string key, domain::TimePoint deadline) override
    {
        co_return co_await m_store.read(std::move(key), deadline);
    }
    Result<ObjectList> list(std::string prefix, domain::TimePoint deadline) override
    {
        if (state == State::Reset)
            co_return connectionReset();
        auto answer = co_await m_store.list(std::move(prefix), deadline);
        co_return co_await pass(std::move(answer), deadline);
    }
    Result<domain::ConfigVersion> create(
            std::string key, std::string value, domain::TimePoint deadline) override
    {
        co_return co_await m_store.create(std::move(key), std::move(value), deadline);
    }
    Result<domain::ConfigVersion> update(std::string key, std::string value,
            domain::ConfigVersion expected, domain::TimePoint deadline) override
    {
        co_return co_await m_store.update(std::move(key), std::move(value), expected, deadline);
    }
    Result<domain::ConfigVersion> remove(
            std::string key, domain::ConfigVersion expected, domain::TimePoint deadline) override
    {
        co_return co_await m_store.remove(std::move(key), expected, deadline);
    }
    Result<ObjectList> watch(
            std::string prefix, domain::ConfigVersion after, domain::TimePoint deadline) override
    {
        if (state == State::Reset)
            co_return connectionReset();
        auto answer = co_await m_store.watch(std::move(prefix), after, deadline);
        co_return co_await pass(std::move(answer), deadline);
    }
    Result<std::vector<ListedVm>> listVms(domain::TimePoint deadline) override
    {
        co_return co_await m_store.listVms(deadline);
    }

private:
    static domain::Error connectionReset()
    {
        return domain::Error{domain::ErrorKind::Unavailable, "connection reset", "wait"};
    }
    Result<ObjectList> pass(domain::Expected<ObjectList> answer, domain::TimePoint deadline)
    {
        if (state == State::Reset)
            co_return connectionReset();
        if (state == State::Served)
            co_return answer;
        boost::asio::steady_timer timer(co_await boost::asio::this_coro::executor, deadline);
        co_await timer.async_wait(boost::asio::use_awaitable);
        co_return domain::Error{domain::ErrorKind::Timeout, "no answer", "wait"};
    }

    IObjectStore &m_store;
};

} // namespace oriolerill::objectstore
