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
    /// Addresses of the object API; while one fails, the next one is used.
    std::vector<domain::SocketAddress> addresses;
    /// Maximum rate of this process's calls; lowered while the store refuses calls with 429.
    double callsPerSecond = 20;
    double burst = 100;
    /// Timeout of one call that reads or writes an object; a write's outcome is unknown then.
    domain::Duration answerTimeout = std::chrono::milliseconds(800);
    /// Seed of the backoff's jitter; different in every process.
    std::uint64_t seed = 0;
};

/// The platform's object API over HTTP. Safe to use from all workers.
///
/// A write fails with Unavailable or RateLimited only if it has had no effect and will have none,
/// and with Timeout if that is unknown at the deadline. When the answer to a write is lost, the
/// same conditional write is repeated and the stored value is compared.
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
