#pragma once

#include "membership/membershipsnapshot.h"

#include <memory>

namespace oriolerill::membership {

/// Read access to the membership of the deployment.
class IMembershipView
{
public:
    virtual ~IMembershipView() = default;

    /// The latest snapshot; never null.
    virtual std::shared_ptr<const MembershipSnapshot> snapshot() const = 0;
};

} // namespace oriolerill::membership
