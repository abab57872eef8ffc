#include "observability/burnrecorder.h"

#include <utility>

namespace oriolerill::observability {

BurnRecorder::BurnRecorder(BurnRecorderOptions options)
    : m_options(options)
{}

void BurnRecorder::record(const RequestRecord &record)
{
    const BurnCounts counts = toCounts(record);
    const std::scoped_lock lock(m_mutex);
    const BurnKey key = seriesKey({record.account, record.dataCentre, record.service});
    m_series[key].add(record.finishedAt, counts);
}

BurnKey BurnRecorder::seriesKey(BurnKey key) const
{
    if (m_series.size() < m_options.maxKeys || m_series.contains(key))
        return key;
    return BurnKey{
            domain::AccountId("other"), domain::DataCentreId("other"), domain::ServiceId("other")};
}

BurnCounts BurnRecorder::toCounts(const RequestRecord &record) const
{
    BurnCounts counts;
    switch (record.outcome) {
    case RequestOutcome::Answered:
        counts.answered = 1;
        counts.late = record.firstByte > m_options.firstByteTarget ? 1 : 0;
        break;
    case RequestOutcome::NotRun:
        counts.refused = 1;
        break;
    case RequestOutcome::Unknown:
        counts.unknown = 1;
        break;
    case RequestOutcome::Cut:
        counts.cut = 1;
        break;
    }
    return counts;
}

BurnSums BurnRecorder::sums(domain::WallTime now) const
{
    BurnSums sums;
    const std::scoped_lock lock(m_mutex);
    for (const auto &[key, series] : m_series) {
        const WindowCounts counts = series.sums(now);
        // The longest window includes the others. Keys without requests are omitted to keep the
        // report short.
        if (counts.back().total() > 0 || counts.front().total() > 0)
            sums.add(key, counts);
    }
    return sums;
}

} // namespace oriolerill::observability
