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

/// The effects of a merge.
struct MergeResult
{
    bool hasChanged = false;
    /// False when only the watermark has advanced.
    bool hasNewItems = false;
    /// False when changes before the delta's base are missing; the watermark is not advanced then.
    bool isContiguous = true;
    /// Items with invalid JSON; their last valid content stays in force.
    std::vector<ItemKey> invalid;
};

/// The configuration items, each in the highest version received.
///
/// Merging is commutative and idempotent: an item never reverts to a lower version, whatever the
/// order, duplication or loss of deltas. All changes up to the watermark have been applied, so a
/// change at or below it is ignored unless it is in a complete list at or above the watermark.
/// Deleted items stay as tombstones; old tombstones can be pruned for the same reason.
class ConfigTable
{
public:
    MergeResult merge(const protocol::ConfigDelta &delta);

    domain::ConfigVersion watermark() const { return m_watermark; }
    /// Number of items, including tombstones.
    std::size_t size() const { return m_records.size(); }

    /// Returns the changes that a receiver with this watermark lacks, or the complete list when
    /// tombstones since then may be missing. A long delta, unless complete, ends early with a lower
    /// watermark.
    protocol::ConfigDelta deltaSince(
            const domain::ConfigVersion &watermark, const DeltaFilter &filter) const;

    ConfigSnapshot buildSnapshot() const;

private:
    struct Record
    {
        ConfigItem item;
        /// The last valid content, if any; empty for a tombstone.
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
    /// Tombstones up to this version may be missing.
    domain::ConfigVersion m_tombstoneHorizon;
};

} // namespace oriolerill::config
