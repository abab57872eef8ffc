#include "routing/datacentrechooser.h"

#include <algorithm>
#include <utility>

namespace oriolerill::routing {

using domain::DataCentreId;
using domain::TimePoint;

DataCentreChooser::DataCentreChooser(DataCentreId own, DataCentreChooserOptions options)
    : m_own(std::move(own))
    , m_options(options)
{}

void DataCentreChooser::observe(const std::vector<DataCentreCandidate> &candidates, TimePoint now)
{
    for (const DataCentreCandidate &candidate : candidates) {
        History &history = m_history[candidate.id];
        if (history.isWithdrawn && !candidate.isWithdrawn)
            history.returnedAt = now;
        history.isWithdrawn = candidate.isWithdrawn;
    }
}

double DataCentreChooser::rampOf(const DataCentreId &id, TimePoint now) const
{
    // A returned data centre gets this share at once: the concurrency limits of its endpoints only
    // increase with successful answers.
    constexpr double FirstShare = 0.05;
    const auto history = m_history.find(id);
    if (history == m_history.end() || !history->second.returnedAt)
        return 1;
    const std::chrono::duration<double> elapsed = now - *history->second.returnedAt;
    const std::chrono::duration<double> ramp = m_options.rampTime;
    return std::clamp(elapsed / ramp, FirstShare, 1.0);
}

namespace {

/// Last resort: a full data centre is still tried, because agents refuse what exceeds their
/// capacity.
std::optional<DataCentreId> anyUsable(const std::vector<DataCentreCandidate> &candidates)
{
    const auto usable = std::find_if(candidates.begin(), candidates.end(),
            [](const DataCentreCandidate &candidate) { return candidate.isUsable(); });
    return usable == candidates.end() ? std::nullopt : std::optional<DataCentreId>(usable->id);
}

} // namespace

std::optional<DataCentreId> DataCentreChooser::choose(
        const std::vector<DataCentreCandidate> &candidates, TimePoint now, std::mt19937_64 &random)
{
    observe(candidates, now);
    std::uniform_real_distribution<double> unit(0, 1);
    bool isOwnUsable = false;
    std::vector<double> weights;
    double total = 0;
    for (const DataCentreCandidate &candidate : candidates) {
        const bool isOwn = candidate.id == m_own;
        isOwnUsable = isOwnUsable || (isOwn && candidate.isUsable());
        if (isOwn && candidate.isUsable() && candidate.freeCapacity() > 0
                && unit(random) < rampOf(m_own, now))
            return m_own;
        const bool isEligible = !isOwn && candidate.isUsable();
        weights.push_back(isEligible ? candidate.freeCapacity() * rampOf(candidate.id, now) : 0);
        total += weights.back();
    }
    if (total <= 0 && isOwnUsable)
        return m_own;
    if (total <= 0)
        return anyUsable(candidates);
    std::discrete_distribution<std::size_t> byCapacity(weights.begin(), weights.end());
    return candidates[byCapacity(random)].id;
}

} // namespace oriolerill::routing
