#pragma once

#include "domain/digest.h"
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

/// Settings of `oriolerill serve`. The initial values are the defaults.
struct EntrySettings
{
    domain::EntryId id;
    domain::DataCentreId dataCentre;
    domain::RegionId region;
    std::uint32_t workers = 2;

    domain::SocketAddress listenCaller;
    domain::SocketAddress listenPeer;
    domain::SocketAddress listenControl;
    domain::SocketAddress listenAdmin;
    /// Equal to the listen addresses unless the file sets them.
    domain::SocketAddress advertisePeer;
    domain::SocketAddress advertiseControl;
    std::string sourceHost;

    /// Empty when unknown.
    domain::RegionId originRegion;
    domain::SocketAddress platformAddress;
    domain::Duration platformTimeout = std::chrono::milliseconds(1000);
    std::vector<domain::SocketAddress> seedEntries;

    domain::Duration defaultDeadline = std::chrono::milliseconds(30000);
    domain::Duration maxDeadline = std::chrono::milliseconds(300000);
    domain::Bytes maxBody = domain::Bytes(1U << 20U);
    std::uint32_t maxConnections = 4096;
    /// Retries allowed per 100 first attempts.
    std::uint32_t retryPercent = 10;
    domain::Duration drainTime = std::chrono::milliseconds(60000);

    /// SHA-256 of the bootstrap administration token; the token is disabled while this is empty.
    domain::Digest adminTokenDigest;

    double availabilityObjective = 0.999;
    domain::Duration firstByteTarget = std::chrono::milliseconds(800);
    double firstByteObjective = 0.95;

    LogLevel logLevel = LogLevel::Info;
};

} // namespace oriolerill::settings
