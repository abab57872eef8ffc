#pragma once

#include "config/configitem.h"
#include "config/configsnapshot.h"
#include "config/deltafilter.h"
#include "protocol/control.pb.h"

#include <compare>
#include <cstddef>
#include <map>
#include <optional>
#include <set>
#include <vector>

namespace oriolerill::config {

/// What a merge has done.
struct MergeResult
{
    bool hasChanged = false;
    /// False when only the watermark has moved on.
    bool hasNewItems = false;
    /// False when changes before the delta's base are missing; the watermark then stays.
    bool isContiguous = true;
    /// Items whose JSON is not valid; their last valid content stays in force.
    std::vector<ItemKey> invalid;
};

/// The configuration items with the highest version seen of each.
///
/// Merging is commutative and idempotent: an item never goes back to a lower version, whatever the
/// order, duplication or loss of deltas. The watermark is the version up to which all changes are
/// known, so nothing at or below it is news, apart from what a complete list at or above it says.
/// Deleted items stay as tombstones; old ones can be dropped for the same reason.
class ConfigTable
{
public:
    MergeResult merge(const protocol::ConfigDelta &delta);

    domain::ConfigVersion watermark() const { return m_watermark; }
    /// Items, tombstones included.
    std::size_t size() const { return m_records.size(); }

    /// What a receiver with this watermark has to learn; complete when the tombstones since then
    /// are no longer all known. Other long deltas end early, with a lower watermark.
    protocol::ConfigDelta deltaSince(
            const domain::ConfigVersion &watermark, const DeltaFilter &filter) const;

    ConfigSnapshot buildSnapshot() const;

private:
    struct Record
    {
        ConfigItem item;
        /// The last valid content.
        std::optional<ItemSpec> spec;
    };

    struct VersionedKey
    {
        domain::ConfigVersion version;
        ItemKey key;

        friend auto operator<=>(const VersionedKey &, const VersionedKey &) = default;
    };

    bool mergeItem(ConfigItem item, bool isFromCompleteList, MergeResult &result);
    void removeUnlisted(const protocol::ConfigDelta &delta, MergeResult &result);
    void replace(Record &record, ConfigItem item);
    void pruneTombstones();
    protocol::ConfigDelta completeDelta(const DeltaFilter &filter) const;
    protocol::ConfigDelta changesSince(
            const domain::ConfigVersion &watermark, const DeltaFilter &filter) const;

    std::map<ItemKey, Record> m_records;
    std::set<VersionedKey> m_byVersion;
    std::set<VersionedKey> m_tombstones;
    domain::ConfigVersion m_watermark;
    /// Deletions up to this version may be unknown.
    domain::ConfigVersion m_tombstoneHorizon;
};

} // namespace oriolerill::config
