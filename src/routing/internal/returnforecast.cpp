#include "routing/returnforecast.h"

#include <algorithm>

namespace oriolerill::routing {

ReturnForecast::ReturnForecast(ReturnForecastOptions options)
    : m_options(options)
{}

domain::Duration ReturnForecast::retryAfter(std::size_t rank, domain::Duration excess,
        double freePerSecond, std::mt19937_64 &random, domain::TimePoint now)
{
    // Engines serve more urgent requests first, so only these callers are ahead of this one.
    std::size_t ahead = 0;
    for (auto &[returningRank, times] : m_returns) {
        times.erase(times.begin(), times.upper_bound(now));
        ahead += returningRank <= rank ? times.size() : 0;
    }
    using Ms = std::chrono::duration<double, std::milli>;
    std::uniform_real_distribution<double> spread(1.0, 2.0);
    const Ms base = Ms(m_options.minRetryAfter + excess) * spread(random);
    constexpr double MinFreePerSecond = 0.1;
    constexpr double MsPerSecond = 1000;
    std::uniform_real_distribution<double> jitter(0.75, 1.25);
    const Ms turn(static_cast<double>(ahead) * MsPerSecond
            / std::max(freePerSecond, MinFreePerSecond) * jitter(random));
    // The latest returns are spread as well.
    const Ms latest = Ms(m_options.maxRetryAfter) * spread(random) / 2;
    const auto after = std::clamp<domain::Duration>(
            std::chrono::duration_cast<domain::Duration>(std::min(
                    base + turn, std::max(latest, std::min(base, Ms(m_options.maxRetryAfter))))),
            m_options.minRetryAfter, m_options.maxRetryAfter);
    m_returns[rank].insert(now + after);
    return after;
}

bool ReturnForecast::isReturn(
        const std::string &route, domain::Duration timeLeft, domain::TimePoint now)
{
    Stated &stated = m_stated.try_emplace(route, Stated{timeLeft, timeLeft, now}).first->second;
    if (now - stated.since >= m_options.statedPeriod) {
        stated.previous = std::exchange(stated.current, timeLeft);
        stated.since = now;
    }
    stated.current = std::max(stated.current, timeLeft);
    return timeLeft + m_options.minRetryAfter <= std::max(stated.current, stated.previous);
}

} // namespace oriolerill::routing
