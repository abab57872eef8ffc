#pragma once

#include "domain/timepoint.h"

#include <cstdint>
#include <optional>
#include <vector>

namespace oriolerill::rollout {

/// A version newer than the one that the engine serves, with its progress on this VM.
struct WantedVersion
{
    std::uint64_t number = 0;
    /// When this VM received the naming; none for a version that only other members have reported.
    std::optional<domain::TimePoint> namedAt;
    /// When this VM's engine is scheduled to switch to it.
    domain::TimePoint switchAt;
    /// When entries stop sending requests to engines that do not serve at least this version.
    domain::TimePoint excludedAt;
    /// Version bound: no request may begin on an older version after this time.
    domain::TimePoint boundAt;
    /// Share of its pieces that this VM holds.
    double heldShare = 0;
    /// No piece was received within the stall timeout.
    bool isStalled = false;

    bool isComplete() const { return heldShare >= 1; }
};

struct PushPlanOptions
{
    /// An older version of which at least this share is held is completed before a newer one is
    /// fetched.
    double finishOlderShare = 0.4;
    /// When at least this share of a newer version is held, the engine waits for it instead of
    /// switching twice. The remaining pieces take about 1.8 s, as long as a switch to the older
    /// version.
    double awaitNewerShare = 0.45;
};

struct PushDecision
{
    /// Version whose missing pieces are fetched next.
    std::optional<std::uint64_t> fetch;
    /// Version to stage, and whether the engine has to load it now.
    std::optional<std::uint64_t> stage;
    bool isDue = false;
};

/// Decides which version a VM fetches and which one its engine loads, while versions are named
/// faster than they can be distributed.
///
/// Load pattern: versions are named seconds apart while the load needs all engines.
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
