#pragma once

#include "domain/expected.h"
#include "domain/timepoint.h"
#include "objectstore/iobjectstore.h"

#include <boost/asio/awaitable.hpp>

#include <atomic>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace oriolerill::admin {

/// Records of configuration changes (who, what, when), stored in the object API under
/// "audit/<hour>/<time>-<writer>".
///
/// A record is written before the changes that it lists, so that every change has one, and is
/// completed with their results. A record without results was left by an entry that stopped in
/// between.
class AuditLog
{
public:
    struct Entry
    {
        std::string key;
        domain::ConfigVersion version;
    };

    /// The writer's name makes keys unique; each start of the process uses a new one.
    AuditLog(objectstore::IObjectStore &store, std::string writer);

    boost::asio::awaitable<domain::Expected<Entry>> begin(
            domain::WallTime now, std::string record, domain::TimePoint deadline);
    boost::asio::awaitable<domain::Expected<domain::Done>> complete(
            Entry entry, std::string record, domain::TimePoint deadline);
    /// Removes some of the records that are older than 30 days. Called with each change, so that
    /// removals keep pace with new records and need few calls of the store at a time.
    boost::asio::awaitable<void> prune(domain::WallTime now, domain::TimePoint deadline);
    /// Records of the last hours, newest first, at most maxRecords.
    boost::asio::awaitable<domain::Expected<std::vector<std::string>>> list(domain::WallTime now,
            std::uint32_t hours, std::size_t maxRecords, domain::TimePoint deadline);

private:
    boost::asio::awaitable<bool> findExpired(domain::WallTime now, domain::TimePoint deadline);

    objectstore::IObjectStore &m_store;
    std::string m_writer;
    std::atomic<std::uint64_t> m_sequence = 0;
    /// True while a call of prune() runs; only that call uses the members below.
    std::atomic<bool> m_isPruning = false;
    std::optional<domain::WallTime> m_pruneHour;
    std::vector<Entry> m_expired;
};

} // namespace oriolerill::admin
