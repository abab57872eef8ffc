#pragma once

#include "domain/digest.h"
#include "domain/timepoint.h"

#include <optional>

namespace oriolerill::distribution {

/// Permission to take an endpoint out of service while it switches to other weights.
///
/// The tracker bounds how many endpoints of a service in a data centre hold a grant at a time.
/// Requests are sent in SwarmReport, grants in SwarmPlan.
class ISwitchGrants
{
public:
    virtual ~ISwitchGrants() = default;

    /// Requests a grant with each report until withdrawRequest() is called. Also reports a switch
    /// in progress.
    virtual void requestGrant(const domain::Digest &manifest) = 0;
    virtual void withdrawRequest() = 0;
    /// Expiry of the current grant; empty when there is none or it has expired.
    virtual std::optional<domain::TimePoint> grantedUntil() const = 0;
};

} // namespace oriolerill::distribution
