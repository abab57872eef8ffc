#include "admin/auditlog.h"

#include <algorithm>
#include <array>
#include <chrono>
#include <cstdio>
#include <ctime>
#include <utility>

namespace oriolerill::admin {

namespace asio = boost::asio;
using domain::Expected;

namespace {

constexpr auto Retention = std::chrono::hours(30 * 24);
// A new process does not know which hours are pruned; it starts this long before the expiry time.
constexpr auto InitialPruneRange = std::chrono::hours(7 * 24);
constexpr int MaxLists = 8;
constexpr int MaxRemovals = 4;

/// "audit/20261204T03/". Records are grouped by hour to keep lists small.
std::string prefixOf(domain::WallTime time)
{
    const std::time_t seconds = std::chrono::system_clock::to_time_t(time);
    std::tm parts = {};
    gmtime_r(&seconds, &parts);
    std::array<char, 32> text = {};
    std::strftime(text.data(), text.size(), "audit/%Y%m%dT%H/", &parts);
    return text.data();
}

/// Milliseconds with a fixed width, so that keys sort by time.
std::string timeKey(domain::WallTime time)
{
    const auto sinceEpoch
            = std::chrono::duration_cast<std::chrono::milliseconds>(time.time_since_epoch());
    std::array<char, 32> text = {};
    std::snprintf(text.data(), text.size(), "%014lld", static_cast<long long>(sinceEpoch.count()));
    return text.data();
}

} // namespace

AuditLog::AuditLog(objectstore::IObjectStore &store, std::string writer)
    : m_store(store)
    , m_writer(std::move(writer))
{}

asio::awaitable<Expected<AuditLog::Entry>> AuditLog::begin(
        domain::WallTime now, std::string record, domain::TimePoint deadline)
{
    Entry entry;
    entry.key = prefixOf(now) + timeKey(now) + '-' + m_writer + '-' + std::to_string(++m_sequence);
    auto version = co_await m_store.create(entry.key, std::move(record), deadline);
    if (!version)
        co_return version.error();
    entry.version = *version;
    co_return entry;
}

asio::awaitable<Expected<domain::Done>> AuditLog::complete(
        Entry entry, std::string record, domain::TimePoint deadline)
{
    auto version = co_await m_store.update(entry.key, std::move(record), entry.version, deadline);
    if (!version)
        co_return version.error();
    co_return domain::Done{};
}

asio::awaitable<void> AuditLog::prune(domain::WallTime now, domain::TimePoint deadline)
{
    if (m_isPruning.exchange(true))
        co_return;
    bool isStoreAnswering = co_await findExpired(now, deadline);
    for (int i = 0; isStoreAnswering && i < MaxRemovals && !m_expired.empty(); ++i) {
        const Entry entry = m_expired.back();
        auto removed = co_await m_store.remove(entry.key, entry.version, deadline);
        // Another entry may have removed it; other failures are retried with the next change.
        isStoreAnswering = removed || removed.error().kind == domain::ErrorKind::Conflict
                || removed.error().kind == domain::ErrorKind::NotFound;
        if (isStoreAnswering)
            m_expired.pop_back();
    }
    m_isPruning = false;
}

/// Lists further hours until one has records, at most MaxLists at a time; false when a call of the
/// store fails.
asio::awaitable<bool> AuditLog::findExpired(domain::WallTime now, domain::TimePoint deadline)
{
    const domain::WallTime expired = now - Retention;
    domain::WallTime hour = m_pruneHour.value_or(expired - InitialPruneRange);
    for (int i = 0; i < MaxLists && m_expired.empty() && hour <= expired; ++i) {
        auto listed = co_await m_store.list(prefixOf(hour), deadline);
        if (!listed)
            co_return false;
        for (objectstore::StoredObject &object : listed->objects)
            m_expired.push_back({std::move(object.key), object.version});
        hour += std::chrono::hours(1);
        m_pruneHour = hour;
    }
    co_return true;
}

asio::awaitable<Expected<std::vector<std::string>>> AuditLog::list(domain::WallTime now,
        std::uint32_t hours, std::size_t maxRecords, domain::TimePoint deadline)
{
    std::vector<std::string> records;
    for (std::uint32_t hour = 0; hour < hours && records.size() < maxRecords; ++hour) {
        const std::string prefix = prefixOf(now - std::chrono::hours(hour));
        auto listed = co_await m_store.list(prefix, deadline);
        if (!listed)
            co_return listed.error();
        std::vector<objectstore::StoredObject> &objects = listed->objects;
        std::sort(objects.begin(), objects.end(),
                [](const auto &a, const auto &b) { return a.key > b.key; });
        for (objectstore::StoredObject &object : objects) {
            if (records.size() < maxRecords)
                records.push_back(std::move(object.value));
        }
    }
    co_return records;
}

} // namespace oriolerill::admin
