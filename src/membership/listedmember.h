#pragma once

#include "domain/socketaddress.h"
#include "domain/strongid.h"

namespace oriolerill::membership {

/// A VM in the list of the platform, which lags behind the actual state.
struct ListedMember
{
    domain::VmId id;
    domain::DataCentreId dataCentre;
    domain::RegionId region;
    bool isEntry = false;
    domain::SocketAddress controlAddress;
    domain::SocketAddress requestAddress;
    bool isLeaving = false;
};

} // namespace oriolerill::membership
