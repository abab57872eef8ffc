#pragma once

#include "domain/configversion.h"
#include "domain/expected.h"
#include "domain/strongid.h"
#include "domain/timepoint.h"

#include <boost/asio/awaitable.hpp>

#include <optional>
#include <string>
#include <vector>

namespace oriolerill::objectstore {

struct StoredObject
{
    /// "<collection>/<name>", for example "config/rollout/velvet".
    std::string key;
    std::string value;
    /// Version of the write that stored this value; for a deleted object, of the deletion.
    domain::ConfigVersion version;
    bool isDeleted = false;
};

/// Result of a list or watch: the objects, and the version of the store that they reflect.
struct ObjectList
{
    std::vector<StoredObject> objects;
    domain::ConfigVersion storeVersion;
};

struct ListedVm
{
    domain::VmId id;
    domain::DataCentreId dataCentre;
    domain::RegionId region;
    /// "entry" or "endpoint".
    std::string role;
    std::string controlAddress;
    std::string requestAddress;
    bool isLeaving = false;
};

/// The platform's object API. Every call fails with Unavailable, Timeout or RateLimited in an
/// outage.
class IObjectStore
{
public:
    virtual ~IObjectStore() = default;

    virtual boost::asio::awaitable<domain::Expected<StoredObject>> read(
            std::string key, domain::TimePoint deadline)
            = 0;
    virtual boost::asio::awaitable<domain::Expected<ObjectList>> list(
            std::string prefix, domain::TimePoint deadline)
            = 0;
    /// Creates the object if absent; Conflict when it exists.
    virtual boost::asio::awaitable<domain::Expected<domain::ConfigVersion>> create(
            std::string key, std::string value, domain::TimePoint deadline)
            = 0;
    /// Replaces the object if it still has the expected version; Conflict otherwise.
    virtual boost::asio::awaitable<domain::Expected<domain::ConfigVersion>> update(std::string key,
            std::string value, domain::ConfigVersion expected, domain::TimePoint deadline)
            = 0;
    virtual boost::asio::awaitable<domain::Expected<domain::ConfigVersion>> remove(
            std::string key, domain::ConfigVersion expected, domain::TimePoint deadline)
            = 0;
    /// Waits for changes after a version; yields an empty list if there are none by the deadline.
    /// NotFound when the store no longer has all changes since that version, or is in another era
    /// than it: list again.
    virtual boost::asio::awaitable<domain::Expected<ObjectList>> watch(
            std::string prefix, domain::ConfigVersion after, domain::TimePoint deadline)
            = 0;
    virtual boost::asio::awaitable<domain::Expected<std::vector<ListedVm>>> listVms(
            domain::TimePoint deadline)
            = 0;
};

} // namespace oriolerill::objectstore
