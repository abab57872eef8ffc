#pragma once

#include "domain/digest.h"
#include "domain/strongid.h"
#include "domain/timepoint.h"

#include <cstddef>
#include <map>

namespace oriolerill::distribution::internal {

/// Leases for switches of weights, with a maximum number held at a time.
///
/// A new table grants nothing for the first lease period, because grants of its predecessor may
/// still be valid. Agents that report a switch in progress count as holders at once.
class SwitchGrantTable
{
public:
    SwitchGrantTable(domain::TimePoint startedAt, domain::Duration lease);

    /// Applies an agent's report; true when it holds a grant for one lease from now.
    bool update(const domain::EndpointId &endpoint, const domain::Digest &manifest, bool isWanted,
            bool isSwitching, std::size_t maxUnavailable, domain::TimePoint now);
    std::size_t outstanding(domain::TimePoint now) const;

private:
    struct Grant
    {
        domain::Digest manifest;
        domain::TimePoint until;
    };

    domain::TimePoint m_grantsAllowedFrom;
    domain::Duration m_lease;
    std::map<domain::EndpointId, Grant> m_grants;
};

} // namespace oriolerill::distribution::internal
