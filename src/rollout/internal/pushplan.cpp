#include "rollout/pushplan.h"

#include <algorithm>

namespace oriolerill::rollout {

PushPlan::PushPlan(PushPlanOptions options)
    : m_options(options)
{}

PushDecision PushPlan::decide(
        const std::vector<WantedVersion> &wanted, std::uint64_t served, domain::TimePoint now) const
{
    PushDecision decision;
    decision.fetch = versionToFetch(wanted);
    const auto complete = std::find_if(wanted.begin(), wanted.end(),
            [](const WantedVersion &version) { return version.isComplete(); });
    if (complete != wanted.end()) {
        decision.stage = complete->number;
        decision.isDue = isDue(wanted, *complete, served, now);
    }
    return decision;
}

std::optional<std::uint64_t> PushPlan::versionToFetch(
        const std::vector<WantedVersion> &wanted) const
{
    // First choice: the oldest incomplete version of which enough pieces are held; second choice:
    // the newest version that is not stalled.
    for (auto version = wanted.rbegin(); version != wanted.rend(); ++version) {
        const bool isWellUnderWay
                = version->heldShare >= m_options.finishOlderShare && !version->isComplete();
        if (isWellUnderWay && !version->isStalled)
            return version->number;
    }
    for (const WantedVersion &version : wanted) {
        if (version.isComplete())
            break;
        if (!version.isStalled)
            return version.number;
    }
    // All versions are stalled; the sources of the newest may recover at any time.
    const bool isNewestIncomplete = !wanted.empty() && !wanted.front().isComplete();
    return isNewestIncomplete ? std::optional(wanted.front().number) : std::nullopt;
}

bool PushPlan::isDue(const std::vector<WantedVersion> &wanted, const WantedVersion &version,
        std::uint64_t served, domain::TimePoint now) const
{
    if (served == 0 || !version.namedAt)
        return true;
    const WantedVersion &newest = wanted.front();
    if (version.number != newest.number) {
        const bool isWorthWaiting
                = newest.heldShare >= m_options.awaitNewerShare && !newest.isStalled;
        return isWorthWaiting ? now >= version.boundAt : now >= version.switchAt;
    }
    // Entries no longer send requests to an engine without a version that is already required, so
    // an immediate switch costs no capacity.
    const bool isExcluded = std::any_of(wanted.begin(), wanted.end(),
            [now](const WantedVersion &other) { return other.namedAt && now >= other.excludedAt; });
    return isExcluded || now >= version.switchAt;
}

} // namespace oriolerill::rollout
