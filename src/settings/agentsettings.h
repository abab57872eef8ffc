#pragma once

#include "domain/quantity.h"
#include "domain/socketaddress.h"
#include "domain/strongid.h"
#include "domain/timepoint.h"
#include "settings/loglevel.h"

#include <chrono>
#include <cstdint>
#include <string>
#include <vector>

namespace oriolerill::settings {

enum class EndpointKind {
    Engine,
    Plain,
};

/// Settings of `oriolerill-agent`. The initial values are the defaults.
struct AgentSettings
{
    domain::EndpointId id;
    domain::DataCentreId dataCentre;
    domain::RegionId region;
    domain::ServiceId service;
    std::uint32_t workers = 2;

    domain::SocketAddress listenRequest;
    domain::SocketAddress listenControl;
    /// Equal to the listen addresses unless the file sets them.
    domain::SocketAddress advertiseRequest;
    domain::SocketAddress advertiseControl;
    std::string sourceHost;

    domain::SocketAddress endpointAddress;
    EndpointKind endpointKind = EndpointKind::Plain;
    std::string endpointAdminToken;

    /// Empty for plain services.
    domain::SocketAddress originAddress;
    domain::SocketAddress platformAddress;
    domain::Duration platformTimeout = std::chrono::milliseconds(1000);
    std::vector<domain::SocketAddress> seedEntries;

    domain::Bytes weightsMemory = domain::Bytes(512U << 20U);
    domain::Bytes maxBody = domain::Bytes(1U << 20U);
    std::uint32_t maxConnections = 4096;
    domain::Duration drainTime = std::chrono::milliseconds(60000);

    LogLevel logLevel = LogLevel::Info;
};

} // namespace oriolerill::settings
