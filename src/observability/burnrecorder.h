#pragma once

#include "observability/burnsums.h"
#include "observability/internal/burnseries.h"
#include "observability/irequestrecorder.h"

#include <cstddef>
#include <map>
#include <mutex>

namespace oriolerill::observability {

struct BurnRecorderOptions
{
    /// An answer whose first byte takes longer than this is late.
    domain::Duration firstByteTarget = std::chrono::milliseconds(800);
    /// Maximum number of keys; one key uses at most 33 KiB. Requests of further keys are counted
    /// under the account "other".
    std::size_t maxKeys = 1000;
};

/// Counts finished requests in time buckets. Safe to use from all workers.
class BurnRecorder : public IRequestRecorder
{
public:
    explicit BurnRecorder(BurnRecorderOptions options);

    void record(const RequestRecord &record) override;
    /// Counts of all windows that end now.
    BurnSums sums(domain::WallTime now) const;

private:
    BurnKey seriesKey(BurnKey key) const;
    BurnCounts toCounts(const RequestRecord &record) const;

    BurnRecorderOptions m_options;
    mutable std::mutex m_mutex;
    std::map<BurnKey, internal::BurnSeries> m_series;
};

} // namespace oriolerill::observability
