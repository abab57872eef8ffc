#pragma once

#include "domain/socketaddress.h"
#include "domain/strongid.h"

namespace oriolerill::membership {

/// A VM as the platform lists it; the list lags.
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
