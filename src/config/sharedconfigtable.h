#pragma once

#include "config/configtable.h"
#include "config/iconfigview.h"

#include <memory>
#include <mutex>

namespace oriolerill::config {

/// A configuration table that all workers share; each change replaces its snapshot.
class SharedConfigTable : public IConfigView
{
public:
    SharedConfigTable();

    std::shared_ptr<const ConfigSnapshot> snapshot() const override;
    MergeResult merge(const protocol::ConfigDelta &delta);
    domain::ConfigVersion watermark() const;
    protocol::ConfigDelta deltaSince(
            const domain::ConfigVersion &watermark, const DeltaFilter &filter) const;

private:
    mutable std::mutex m_mutex;
    ConfigTable m_table;
    std::shared_ptr<const ConfigSnapshot> m_snapshot;
};

} // namespace oriolerill::config
