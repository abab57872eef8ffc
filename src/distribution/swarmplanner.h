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

/// A question to the tracker of another data centre.
struct SwarmQuery
{
    domain::DataCentreId dataCentre;
    domain::Digest manifest;
};

/// Decisions of the tracker of one (data centre, service): plans of all versions and switch grants.
///
/// Reports and answers go in, plans come out; not safe to use from several threads.
class SwarmPlanner
{
public:
    SwarmPlanner(SwarmOptions options, domain::TimePoint startedAt);
    ~SwarmPlanner();
    SwarmPlanner(SwarmPlanner &&) noexcept;
    SwarmPlanner &operator=(SwarmPlanner &&) noexcept;

    /// Priority and participating data centres of a version; versions without it have priority 0
    /// and stay in this data centre.
    void configure(const domain::Digest &manifest, std::uint32_t priority,
            const std::vector<SwarmSite> &sites, domain::TimePoint now);
    /// False for a version that was never configured or that no agent reports any more.
    bool knows(const domain::Digest &manifest) const;
    void setMaxUnavailable(std::size_t endpoints);

    protocol::SwarmPlan report(const protocol::SwarmReport &report, domain::TimePoint now);

    std::vector<SwarmQuery> dueQueries(domain::TimePoint now);
    void learnRemote(
            const SwarmQuery &query, const protocol::HaveReply &reply, domain::TimePoint now);
    void noteRemoteFailure(const SwarmQuery &query, domain::TimePoint now);
    /// What this data centre has of a version; empty when it does not know it.
    protocol::HaveReply have(const domain::Digest &manifest, domain::TimePoint now);

    /// Agents that have reported lately.
    std::size_t agentCount() const;
    std::size_t outstandingGrants(domain::TimePoint now) const;

private:
    class Implementation;
    std::unique_ptr<Implementation> m_implementation;
};

} // namespace oriolerill::distribution
