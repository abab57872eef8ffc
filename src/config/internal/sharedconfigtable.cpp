#include "config/sharedconfigtable.h"

namespace oriolerill::config {

SharedConfigTable::SharedConfigTable()
    : m_snapshot(std::make_shared<const ConfigSnapshot>())
{}

std::shared_ptr<const ConfigSnapshot> SharedConfigTable::snapshot() const
{
    const std::scoped_lock lock(m_mutex);
    return m_snapshot;
}

MergeResult SharedConfigTable::merge(const protocol::ConfigDelta &delta)
{
    const std::scoped_lock lock(m_mutex);
    MergeResult result = m_table.merge(delta);
    if (result.hasChanged)
        m_snapshot = std::make_shared<const ConfigSnapshot>(m_table.buildSnapshot());
    return result;
}

domain::ConfigVersion SharedConfigTable::watermark() const
{
    const std::scoped_lock lock(m_mutex);
    return m_table.watermark();
}

protocol::ConfigDelta SharedConfigTable::deltaSince(
        const domain::ConfigVersion &watermark, const DeltaFilter &filter) const
{
    const std::scoped_lock lock(m_mutex);
    return m_table.deltaSince(watermark, filter);
}

} // namespace oriolerill::config
