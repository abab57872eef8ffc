#pragma once

#include "domain/digest.h"
#include "domain/timepoint.h"

#include <optional>

namespace oriolerill::distribution {

/// Permission to take an endpoint out of service for a switch of weights.
///
/// The tracker bounds how many endpoints of a service in a data centre hold one at a time. Requests
/// and grants travel on SwarmReport and SwarmPlan.
class ISwitchGrants
{
public:
    virtual ~ISwitchGrants() = default;

    /// Asks the tracker until withdrawRequest() is called; also reports a switch in progress.
    virtual void requestGrant(const domain::Digest &manifest) = 0;
    virtual void withdrawRequest() = 0;
    /// Deadline of the grant held now; empty when there is none or it has expired.
    virtual std::optional<domain::TimePoint> grantedUntil() const = 0;
};

} // namespace oriolerill::distribution
