#pragma once

#include "distribution/swarmoptions.h"
#include "distribution/swarmsite.h"
#include "domain/digest.h"
#include "domain/timepoint.h"
#include "protocol/control.pb.h"

#include <cstddef>
#include <cstdint>
#include <memory>
#include <vector>

namespace oriolerill::distribution {

/// A query to the tracker of another data centre: which chunks of the version are held there.
struct SwarmQuery
{
    domain::DataCentreId dataCentre;
    domain::Digest manifest;
};

/// The planner of the tracker of one (data centre, service): fetch plans for all versions and
/// switch grants.
///
/// Input: reports of agents and replies of other trackers; output: plans. No I/O; not thread-safe.
class SwarmPlanner
{
public:
    SwarmPlanner(SwarmOptions options, domain::TimePoint startedAt);
    ~SwarmPlanner();
    SwarmPlanner(SwarmPlanner &&) noexcept;
    SwarmPlanner &operator=(SwarmPlanner &&) noexcept;

    /// Sets the priority and the participating data centres of a version. A version that is not
    /// configured has priority 0 and is distributed only within this data centre.
    void configure(const domain::Digest &manifest, std::uint32_t priority,
            const std::vector<SwarmSite> &sites, domain::TimePoint now);
    /// False for a version that was neither configured nor reported, or that no agent reports any
    /// longer.
    bool hasVersion(const domain::Digest &manifest) const;
    void setMaxUnavailable(std::size_t endpoints);

    protocol::SwarmPlan report(const protocol::SwarmReport &report, domain::TimePoint now);

    std::vector<SwarmQuery> dueQueries(domain::TimePoint now);
    void onHaveReply(
            const SwarmQuery &query, const protocol::HaveReply &reply, domain::TimePoint now);
    void onQueryFailure(const SwarmQuery &query, domain::TimePoint now);
    /// Chunks of a version that this data centre holds; empty for an unknown version.
    protocol::HaveReply have(const domain::Digest &manifest, domain::TimePoint now);

    /// Agents whose last report has not expired.
    std::size_t agentCount() const;
    std::size_t outstandingGrants(domain::TimePoint now) const;

private:
    class Implementation;
    std::unique_ptr<Implementation> m_implementation;
};

} // namespace oriolerill::distribution
