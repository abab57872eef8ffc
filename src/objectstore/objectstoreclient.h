#pragma once

#include "domain/socketaddress.h"
#include "objectstore/iobjectstore.h"
#include "transport/httpclient.h"

#include <chrono>
#include <cstdint>
#include <memory>
#include <vector>

namespace oriolerill::objectstore {

struct ObjectStoreOptions
{
    /// Addresses of the object API; the next one is used while one fails.
    std::vector<domain::SocketAddress> addresses;
    /// Bound on the calls of this process; it gives way when the store refuses calls for its rate.
    double callsPerSecond = 20;
    double burst = 100;
    /// A call without an answer for this time counts as lost.
    domain::Duration answerTimeout = std::chrono::milliseconds(800);
    /// Seed of the back-off's jitter; different in every process.
    std::uint64_t seed = 0;
};

/// The platform's object API over HTTP. Safe to use from all workers.
///
/// A write ends with Unavailable or RateLimited only when it has had no effect and will have none;
/// with Timeout when that is unknown at the deadline. The lost answer of a write is resolved by
/// repeating the same conditional write and comparing the stored value.
class ObjectStoreClient : public IObjectStore
{
public:
    ObjectStoreClient(transport::HttpClient &client, ObjectStoreOptions options);
    ~ObjectStoreClient() override;
    ObjectStoreClient(const ObjectStoreClient &) = delete;
    ObjectStoreClient &operator=(const ObjectStoreClient &) = delete;

    boost::asio::awaitable<domain::Expected<StoredObject>> read(
            std::string key, domain::TimePoint deadline) override;
    boost::asio::awaitable<domain::Expected<ObjectList>> list(
            std::string prefix, domain::TimePoint deadline) override;
    boost::asio::awaitable<domain::Expected<domain::ConfigVersion>> create(
            std::string key, std::string value, domain::TimePoint deadline) override;
    boost::asio::awaitable<domain::Expected<domain::ConfigVersion>> update(std::string key,
            std::string value, domain::ConfigVersion expected, domain::TimePoint deadline) override;
    boost::asio::awaitable<domain::Expected<domain::ConfigVersion>> remove(
            std::string key, domain::ConfigVersion expected, domain::TimePoint deadline) override;
    boost::asio::awaitable<domain::Expected<ObjectList>> watch(
            std::string prefix, domain::ConfigVersion after, domain::TimePoint deadline) override;
    boost::asio::awaitable<domain::Expected<std::vector<ListedVm>>> listVms(
            domain::TimePoint deadline) override;

private:
    class Implementation;
    std::shared_ptr<Implementation> m_implementation;
};

} // namespace oriolerill::objectstore
