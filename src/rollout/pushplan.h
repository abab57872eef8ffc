#pragma once

#include "domain/timepoint.h"

#include <cstdint>
#include <optional>
#include <vector>

namespace oriolerill::rollout {

/// A version newer than the one that the engine serves, as its VM sees it.
struct WantedVersion
{
    std::uint64_t number = 0;
    /// When it was seen to be named; none for a version that only other members tell of.
    std::optional<domain::TimePoint> namedAt;
    /// When this VM's turn to switch to it comes.
    domain::TimePoint turnAt;
    /// When engines that have no newer version are of no more use.
    domain::TimePoint fallbackAt;
    /// When no request may begin on an older version any more.
    domain::TimePoint boundAt;
    /// Share of its pieces that are held.
    double heldShare = 0;
    /// No piece came for a while.
    bool isStalled = false;

    bool isComplete() const { return heldShare >= 1; }
};

struct PushPlanOptions
{
    /// An older version of which this share is held is fetched to its end before a newer one.
    double finishOlderShare = 0.4;
    /// A newer version of which this share is held is waited for instead of switching twice. The
    /// rest of it takes about 1.8 s, as long as a switch to the older one would.
    double awaitNewerShare = 0.45;
};

struct PushDecision
{
    /// Version whose missing pieces are fetched now.
    std::optional<std::uint64_t> fetch;
    /// Version that is staged, and whether the engine is to load it now.
    std::optional<std::uint64_t> stage;
    bool isDue = false;
};

/// Decides which version a VM fetches and when its engine takes one, while versions are named
/// faster than they can be brought everywhere.
///
/// Load pattern: a version is named a few seconds after another, on a day that needs all engines.
class PushPlan
{
public:
    explicit PushPlan(PushPlanOptions options = {});

    /// Wanted versions, the newest first; served is zero for an engine without weights.
    PushDecision decide(const std::vector<WantedVersion> &wanted, std::uint64_t served,
            domain::TimePoint now) const;

private:
    std::optional<std::uint64_t> versionToFetch(const std::vector<WantedVersion> &wanted) const;
    bool isDue(const std::vector<WantedVersion> &wanted, const WantedVersion &version,
            std::uint64_t served, domain::TimePoint now) const;

    PushPlanOptions m_options;
};

} // namespace oriolerill::rollout
