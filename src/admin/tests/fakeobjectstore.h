#pragma once

#include "objectstore/iobjectstore.h"

#include <deque>
#include <functional>
#include <map>
#include <utility>

namespace oriolerill::admin {

/// The object API in memory, with failures and concurrent writes set by a test.
class FakeObjectStore : public objectstore::IObjectStore
{
public:
    template<class Value>
    using Result = boost::asio::awaitable<domain::Expected<Value>>;

    /// Runs before each write; may change objects, as another operator would.
    std::function<void(const std::string &key)> beforeWrite;
    /// Results of the next writes: an error fails the write, none executes it.
    std::deque<std::optional<domain::Error>> writeErrors;
    std::optional<domain::Error> readError;
    std::map<std::string, objectstore::StoredObject> objects;
    std::vector<std::string> writes;

    domain::ConfigVersion put(const std::string &key, std::string value)
    {
        const domain::ConfigVersion version = {1, ++m_revision};
        objects[key] = {key, std::move(value), version, false};
        return version;
    }

    Result<objectstore::StoredObject> read(std::string key, domain::TimePoint) override
    {
        if (readError)
            co_return *readError;
        const auto found = objects.find(key);
        if (found == objects.end())
            co_return domain::Error{domain::ErrorKind::NotFound, key + " does not exist", "-"};
        co_return found->second;
    }
    Result<objectstore::ObjectList> list(std::string prefix, domain::TimePoint) override
    {
        if (readError)
            co_return *readError;
        objectstore::ObjectList list;
        list.storeVersion = {1, m_revision};
        for (const auto &[key, object] : objects) {
            if (key.starts_with(prefix))
                list.objects.push_back(object);
        }
        co_return list;
    }
    Result<domain::ConfigVersion> create(
            std::string key, std::string value, domain::TimePoint) override
    {
        co_return write(key, value, std::nullopt);
    }
    Result<domain::ConfigVersion> update(std::string key, std::string value,
            domain::ConfigVersion expected, domain::TimePoint) override
    {
        co_return write(key, value, expected);
    }
    Result<domain::ConfigVersion> remove(
            std::string key, domain::ConfigVersion expected, domain::TimePoint) override
    {
        auto version = write(key, "", expected);
        if (version)
            objects.erase(key);
        co_return version;
    }
    Result<objectstore::ObjectList> watch(
            std::string, domain::ConfigVersion, domain::TimePoint) override
    {
        co_return objectstore::ObjectList();
    }
    Result<std::vector<objectstore::ListedVm>> listVms(domain::TimePoint) override
    {
        co_return std::vector<objectstore::ListedVm>();
    }

private:
    domain::Expected<domain::ConfigVersion> write(const std::string &key, const std::string &value,
            std::optional<domain::ConfigVersion> expected)
    {
        if (beforeWrite)
            beforeWrite(key);
        if (!writeErrors.empty()) {
            const std::optional<domain::Error> error = writeErrors.front();
            writeErrors.pop_front();
            if (error)
                return *error;
        }
        const auto found = objects.find(key);
        std::optional<domain::ConfigVersion> current;
        if (found != objects.end())
            current = found->second.version;
        if (current != expected)
            return domain::Error{domain::ErrorKind::Conflict, key + " has changed", "re-read it"};
        writes.push_back(key);
        return put(key, value);
    }

    std::uint64_t m_revision = 0;
};

} // namespace oriolerill::admin
