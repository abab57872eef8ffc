#include "config/configtable.h"

#include "config/itemparser.h"
#include "config/versiontext.h"

#include <utility>

namespace oriolerill::config {

using domain::ConfigVersion;

namespace {

constexpr std::size_t MaxTombstones = 4096;
// Well below nng's default maximum message size of 1 MiB.
constexpr std::size_t MaxDeltaBytes = 512U << 10U;
constexpr std::size_t ItemOverhead = 32;

enum class Relevance {
    None,
    Full,
    /// The receiver does not need this version but may hold an earlier one, to be deleted.
    AsDeletion,
};

Relevance relevance(
        const ItemKey &key, const std::optional<ItemSpec> &spec, const DeltaFilter &filter)
{
    if (filter.matchesAll())
        return Relevance::Full;
    if (key.kind == "service" || key.kind == "limit")
        return key.name == filter.service.value() ? Relevance::Full : Relevance::None;
    if (key.kind == "withdrawal")
        return key.name == filter.dataCentre.value() ? Relevance::Full : Relevance::None;
    if (key.kind != "rollout")
        return Relevance::None;
    const Rollout *const rollout = spec ? std::get_if<Rollout>(&*spec) : nullptr;
    return rollout != nullptr && rollout->service == filter.service ? Relevance::Full
                                                                    : Relevance::AsDeletion;
}

ConfigItem fromMessage(const protocol::ConfigItem &message)
{
    ConfigItem item;
    item.key = ItemKey{message.kind(), message.name()};
    item.version = fromProtocol(message.version());
    item.isDeleted = message.deleted();
    item.json = message.json();
    return item;
}

void addItem(const ConfigItem &item, bool isDeleted, protocol::ConfigDelta &delta)
{
    protocol::ConfigItem *const message = delta.add_items();
    message->set_kind(item.key.kind);
    message->set_name(item.key.name);
    toProtocol(item.version, message->mutable_version());
    message->set_deleted(isDeleted);
    if (!isDeleted)
        message->set_json(item.json);
}

/// Inserts a typed item into the map of its kind.
class SnapshotInserter
{
public:
    explicit SnapshotInserter(ConfigSnapshot &snapshot)
        : m_snapshot(snapshot)
    {}

    void operator()(const Service &service) const
    {
        m_snapshot.services.emplace_hint(m_snapshot.services.end(), service.id, service);
    }
    void operator()(const Rollout &rollout) const
    {
        m_snapshot.rollouts.emplace_hint(m_snapshot.rollouts.end(), rollout.id, rollout);
    }
    void operator()(const Withdrawal &withdrawal) const
    {
        m_snapshot.withdrawals.emplace_hint(
                m_snapshot.withdrawals.end(), withdrawal.dataCentre, withdrawal);
    }
    void operator()(const EndpointLimit &limit) const
    {
        m_snapshot.limits.emplace_hint(m_snapshot.limits.end(), limit.service, limit);
    }
    void operator()(const Account &account) const
    {
        m_snapshot.accounts.emplace_hint(m_snapshot.accounts.end(), account.id, account);
    }

private:
    ConfigSnapshot &m_snapshot;
};

} // namespace

MergeResult ConfigTable::merge(const protocol::ConfigDelta &delta)
{
    MergeResult result;
    const ConfigVersion watermark = fromProtocol(delta.watermark());
    const bool isCurrentList = delta.complete() && watermark >= m_watermark;
    for (const protocol::ConfigItem &item : delta.items()) {
        if (mergeItem(fromMessage(item), isCurrentList, result))
            result.hasNewItems = true;
    }
    result.isContiguous = delta.complete() || fromProtocol(delta.base()) <= m_watermark;
    if (isCurrentList) {
        removeUnlisted(delta, result);
        m_tombstoneHorizon = watermark;
    }
    const bool isNewer = result.isContiguous && watermark > m_watermark;
    if (isNewer)
        m_watermark = watermark;
    result.hasChanged = result.hasNewItems || isNewer;
    pruneTombstones();
    return result;
}

bool ConfigTable::mergeItem(ConfigItem item, bool isFromCompleteList, MergeResult &result)
{
    // All changes up to the watermark have been applied, so this version has been replaced or
    // deleted since.
    if (item.version <= m_watermark && !isFromCompleteList)
        return false;
    const auto found = m_records.find(item.key);
    if (found != m_records.end() && found->second.item.version >= item.version)
        return false;
    std::optional<ItemSpec> spec = item.isDeleted ? std::nullopt : parseItem(item);
    const bool isInvalid = !item.isDeleted && !spec;
    if (isInvalid)
        result.invalid.push_back(item.key);
    Record &record = found != m_records.end() ? found->second : m_records[item.key];
    replace(record, std::move(item));
    if (!isInvalid)
        record.spec = std::move(spec);
    return true;
}

void ConfigTable::replace(Record &record, ConfigItem item)
{
    m_byVersion.erase({record.item.version, item.key});
    m_tombstones.erase({record.item.version, item.key});
    m_byVersion.insert({item.version, item.key});
    if (item.isDeleted)
        m_tombstones.insert({item.version, item.key});
    record.item = std::move(item);
}

void ConfigTable::removeUnlisted(const protocol::ConfigDelta &delta, MergeResult &result)
{
    const ConfigVersion watermark = fromProtocol(delta.watermark());
    std::set<ItemKey> listed;
    for (const protocol::ConfigItem &item : delta.items())
        listed.insert({item.kind(), item.name()});
    for (auto &[key, record] : m_records) {
        if (record.item.isDeleted || record.item.version > watermark || listed.contains(key))
            continue;
        replace(record, ConfigItem{key, watermark, true, {}});
        record.spec.reset();
        result.hasNewItems = true;
    }
}

void ConfigTable::pruneTombstones()
{
    while (m_tombstones.size() > MaxTombstones) {
        const VersionedKey oldest = *m_tombstones.begin();
        if (oldest.version > m_watermark)
            return;
        m_tombstoneHorizon = std::max(m_tombstoneHorizon, oldest.version);
        m_records.erase(oldest.key);
        m_byVersion.erase(oldest);
        m_tombstones.erase(oldest);
    }
}

protocol::ConfigDelta ConfigTable::deltaSince(
        const ConfigVersion &watermark, const DeltaFilter &filter) const
{
    // A complete list from a table that is behind could make the receiver delete its items.
    const bool isBehind = m_watermark <= watermark;
    if (isBehind || watermark >= m_tombstoneHorizon)
        return changesSince(watermark, filter);
    return completeDelta(filter);
}

protocol::ConfigDelta ConfigTable::completeDelta(const DeltaFilter &filter) const
{
    protocol::ConfigDelta delta;
    delta.set_complete(true);
    toProtocol(m_watermark, delta.mutable_watermark());
    for (const auto &[key, record] : m_records) {
        if (!record.item.isDeleted && relevance(key, record.spec, filter) == Relevance::Full)
            addItem(record.item, false, delta);
    }
    return delta;
}

protocol::ConfigDelta ConfigTable::changesSince(
        const ConfigVersion &watermark, const DeltaFilter &filter) const
{
    protocol::ConfigDelta delta;
    toProtocol(watermark, delta.mutable_base());
    toProtocol(m_watermark, delta.mutable_watermark());
    std::size_t bytes = 0;
    ConfigVersion last = watermark;
    const VersionedKey start{{watermark.epoch, watermark.revision + 1}, {}};
    for (auto it = m_byVersion.lower_bound(start); it != m_byVersion.end(); ++it) {
        // Items of one version are sent together, because the watermark then covers all of them.
        if (bytes > MaxDeltaBytes && it->version != last && last < m_watermark) {
            toProtocol(last, delta.mutable_watermark());
            break;
        }
        last = it->version;
        const Record &record = m_records.at(it->key);
        const Relevance itemRelevance = relevance(it->key, record.spec, filter);
        if (itemRelevance == Relevance::None)
            continue;
        const bool isDeleted = record.item.isDeleted || itemRelevance == Relevance::AsDeletion;
        addItem(record.item, isDeleted, delta);
        bytes += record.item.json.size() + it->key.name.size() + ItemOverhead;
    }
    return delta;
}

ConfigSnapshot ConfigTable::buildSnapshot() const
{
    ConfigSnapshot snapshot;
    const SnapshotInserter insert(snapshot);
    for (const auto &[key, record] : m_records) {
        if (record.spec)
            std::visit(insert, *record.spec);
    }
    snapshot.watermark = m_watermark;
    return snapshot;
}

} // namespace oriolerill::config
