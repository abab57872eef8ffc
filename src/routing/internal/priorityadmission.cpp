#include "routing/priorityadmission.h"

#include <algorithm>
#include <cmath>

namespace oriolerill::routing {

namespace {

/// Fewer requests of a rank state nothing about the fraction served of it.
constexpr double MinCounted = 3;

/// Lowest fraction within the strictest wait limit for which the guaranteed share makes up.
constexpr double MinPassed = 0.1;

double seconds(domain::Duration duration)
{
    return std::chrono::duration<double>(duration).count();
}

} // namespace

PriorityAdmission::PriorityAdmission(std::size_t ranks, PriorityAdmissionOptions options)
    : m_options(options)
    , m_counts(std::max<std::size_t>(ranks, 1))
{}

RankedVerdict PriorityAdmission::decide(const RankedRequest &request, domain::TimePoint now)
{
    advance(request, now);
    const RankedVerdict verdict = judge(request);
    ++m_mostUrgent.asked;
    if (waitMs(0, request.waitMs) <= request.strictestLimitMs)
        ++m_mostUrgent.admitted;
    Count &count = m_counts[request.rank];
    ++count.asked;
    if (verdict == RankedVerdict::Admitted)
        ++count.admitted;
    const bool isLeastUrgent = request.rank + 1 == m_counts.size();
    if (verdict == RankedVerdict::Full && !isLeastUrgent)
        m_level = std::max(m_level - m_options.fallAtRefusal, 0.0);
    return verdict;
}

RankedVerdict PriorityAdmission::judge(const RankedRequest &request) const
{
    const auto within = [&](double waitMs, double limitMs) {
        return waitMs <= limitMs * request.limitFactor ? RankedVerdict::Admitted
                                                       : RankedVerdict::Full;
    };
    const bool isFree = request.waitMs <= 0;
    if (request.rank == 0 || m_level >= 1 || !hasHistory())
        return within(waitMs(request.rank, request.waitMs), request.limitMs);
    // The guaranteed part is judged like the most urgent rank, which keeps the wait above the
    // limits of the others when it fills the engines alone.
    if (request.draw < guaranteedShare(request.rank)) {
        return within(
                waitMs(0, request.waitMs), std::max(request.limitMs, request.strictestLimitMs));
    }
    const double level = m_level + (isFree ? m_options.freeSlotBonus : 0);
    if (request.draw >= shareAt(level, request.rank))
        return RankedVerdict::Reserved;
    // A queue up to a longer objective would exceed the limits of the more urgent.
    return within(waitMs(request.rank, request.waitMs),
            std::min(request.limitMs, request.strictestLimitMs));
}

double PriorityAdmission::waitMs(std::size_t rank, double waitMs) const
{
    if (!hasHistory())
        return waitMs;
    const double sent = countUpTo(m_counts.size()).admitted;
    const double ahead = sent > 0 ? countUpTo(rank + 1).admitted / sent : 1;
    return waitMs * (m_options.minWaitShare + (1 - m_options.minWaitShare) * ahead);
}

double PriorityAdmission::shareAt(double level, std::size_t rank) const
{
    if (rank == 0 || level >= 1 || !hasHistory())
        return 1;
    const double total = countUpTo(m_counts.size()).asked;
    const double before = countUpTo(rank).asked / total;
    const double own = m_counts[rank].asked / total;
    double share = own > 0 ? std::clamp((level - before) / own, 0.0, 1.0) : level;
    // No more than the fraction served of the more urgent ranks, which wait limits may refuse.
    if (const Count urgent = countUpTo(rank); urgent.asked >= MinCounted)
        share = std::min(share, urgent.served());
    return std::max(share, guaranteedShare(rank));
}

double PriorityAdmission::guaranteedShare(std::size_t rank) const
{
    const double aim = m_options.minServedShare * countUpTo(m_counts.size()).served();
    const Count &own = m_counts[rank];
    if (own.asked < MinCounted)
        return aim;
    // Free slots may serve others of the rank, and waits refuse some of the guaranteed part.
    const double corrected = aim + m_options.servedGain * (aim - own.served());
    return std::clamp(corrected / std::max(m_mostUrgent.served(), MinPassed), 0.0, 1.0);
}

bool PriorityAdmission::hasHistory() const
{
    return countUpTo(m_counts.size()).asked >= m_options.minHistory;
}

PriorityAdmission::Count PriorityAdmission::countUpTo(std::size_t rank) const
{
    Count sum;
    for (std::size_t i = 0; i < rank; ++i) {
        sum.asked += m_counts[i].asked;
        sum.admitted += m_counts[i].admitted;
    }
    return sum;
}

void PriorityAdmission::advance(const RankedRequest &request, domain::TimePoint now)
{
    const domain::Duration passed = m_advancedAt
            ? std::max(now - *m_advancedAt, domain::Duration::zero())
            : domain::Duration::zero();
    m_advancedAt = now;
    const double kept = std::exp(-seconds(passed) / seconds(m_options.memory));
    const auto decay = [&](Count &count) {
        count.asked *= kept;
        count.admitted *= kept;
    };
    std::for_each(m_counts.begin(), m_counts.end(), decay);
    decay(m_mostUrgent);
    const double step = seconds(std::min(passed, m_options.maxStep));
    const double target = request.strictestLimitMs * m_options.targetShare;
    if (target <= 0)
        return;
    const double excess = std::min(request.waitMs / target - 1, 1.0);
    m_level += step
            * (excess < 0 ? -excess * m_options.risePerSecond : -excess * m_options.fallPerSecond);
    // Below the share of the most urgent rank a lower level has no effect, but would delay its
    // rise.
    const double total = countUpTo(m_counts.size()).asked;
    const double lowest = total > 0 ? m_counts.front().asked / total : 0;
    m_level = std::clamp(m_level, std::min(lowest, 1.0), 1.0);
}

std::optional<AdmissionLevel> PriorityAdmission::takeChange(domain::TimePoint now)
{
    constexpr double NoticeableChange = 0.15;
    constexpr auto MinInterval = std::chrono::seconds(1);
    const bool isNoticeable = std::abs(m_level - m_reportedLevel) >= NoticeableChange
            || (m_level >= 1 && m_reportedLevel < 1);
    if (!isNoticeable || (m_reportedAt && now - *m_reportedAt < MinInterval))
        return std::nullopt;
    m_reportedLevel = m_level;
    m_reportedAt = now;
    AdmissionLevel result{m_level, 0, 1};
    while (result.ranksInFull < m_counts.size() && share(result.ranksInFull) >= 1)
        ++result.ranksInFull;
    if (result.ranksInFull < m_counts.size())
        result.nextShare = share(result.ranksInFull);
    return result;
}

} // namespace oriolerill::routing
