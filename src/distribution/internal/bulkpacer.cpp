#include "distribution/bulkpacer.h"

#include <algorithm>
#include <chrono>

namespace oriolerill::distribution {

using namespace std::chrono_literals;
using domain::Duration;
using domain::TimePoint;

namespace {

// The base delay is the minimum over six such windows, so that it follows changes of the path.
constexpr Duration BaseWindowTime = 15s;
// Reads may run ahead by this much, because timers fire late on a busy machine.
constexpr Duration Burst = 10ms;
// The queue has to drain before a sample shows the effect of a lower rate.
constexpr Duration LowerInterval = 100ms;
// There is one sample per chunk. Except at the start, steps of more than a few per cent would build
// up a queue before a sample shows it.
constexpr double StartGrowth = 1.5;
constexpr double Growth = 0.03;
constexpr double MinLowering = 0.5;
constexpr double LoweringGain = 0.25;

double seconds(Duration duration)
{
    return std::chrono::duration<double>(duration).count();
}

} // namespace

BulkPacer::BulkPacer(BulkPacerOptions options, TimePoint now)
    : m_options(options)
    , m_bytesPerSecond(static_cast<double>(options.startRate.count()))
    , m_freeAt(now)
    , m_loweredAt(now - LowerInterval)
    , m_windowEnd(now + BaseWindowTime)
    , m_changedAt(now)
{
    m_base.fill(Duration::max());
    m_recent.fill(Duration::max());
}

void BulkPacer::updateBaseDelay(Duration delay, TimePoint now)
{
    if (now >= m_windowEnd) {
        m_window = (m_window + 1) % BaseWindows;
        m_base[m_window] = Duration::max();
        m_windowEnd = now + BaseWindowTime;
    }
    m_base[m_window] = std::min(m_base[m_window], delay);
}

Duration BulkPacer::baseDelay() const
{
    return *std::min_element(m_base.begin(), m_base.end());
}

Duration BulkPacer::queueingDelay() const
{
    if (m_samples == 0)
        return Duration::zero();
    // The minimum of several samples filters out scheduling delays at the sender.
    return *std::min_element(m_recent.begin(), m_recent.end()) - baseDelay();
}

void BulkPacer::addDelaySample(Duration delay, TimePoint now)
{
    updateBaseDelay(delay, now);
    m_recent[m_samples++ % FilterSize] = delay;
    adjust(now);
}

void BulkPacer::adjust(TimePoint now)
{
    const double share = 1 - seconds(queueingDelay()) / seconds(m_options.targetDelay);
    if (share < 0) {
        if (now < m_loweredAt + LowerInterval)
            return;
        m_isStarting = false;
        m_loweredAt = now;
        m_bytesPerSecond *= std::max(MinLowering, 1 + LoweringGain * share);
        m_recent.fill(Duration::max());
        m_samples = 0;
    } else {
        // While reads use less than half of the rate, a low delay does not show that the link could
        // carry more.
        const double elapsed = std::max(seconds(now - m_changedAt), 1e-6);
        const bool isFilled = m_readSinceChange > 0.5 * m_bytesPerSecond * elapsed;
        if (isFilled)
            m_bytesPerSecond *= m_isStarting ? StartGrowth : 1 + Growth * share;
    }
    m_readSinceChange = 0;
    m_changedAt = now;
    m_bytesPerSecond = std::clamp(m_bytesPerSecond, static_cast<double>(m_options.minRate.count()),
            static_cast<double>(m_options.maxRate.count()));
}

TimePoint BulkPacer::reserve(domain::Bytes bytes, TimePoint now)
{
    const auto count = static_cast<double>(bytes.count());
    m_freeAt = std::max(m_freeAt, now - Burst);
    const TimePoint at = std::max(m_freeAt, now);
    const std::chrono::duration<double> time(count / m_bytesPerSecond);
    m_freeAt += std::chrono::duration_cast<Duration>(time);
    m_readSinceChange += count;
    return at;
}

domain::BytesPerSecond BulkPacer::rate() const
{
    return domain::BytesPerSecond(static_cast<std::uint64_t>(m_bytesPerSecond));
}

} // namespace oriolerill::distribution
