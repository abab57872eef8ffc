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
    /// A first byte after this time makes an answer late.
    domain::Duration firstByteTarget = std::chrono::milliseconds(800);
    /// One key takes at most 33 KiB. Requests of further keys are counted under the account
    /// "other".
    std::size_t maxKeys = 1000;
};

/// Counts finished requests in buckets of time. Safe to use from all workers.
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
