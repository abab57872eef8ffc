#pragma once

#include "domain/socketaddress.h"
#include "domain/strongid.h"
#include "domain/timepoint.h"
#include "settings/loglevel.h"

#include <chrono>
#include <cstdint>
#include <map>
#include <string>

namespace oriolerill::settings {

/// Settings of `oriolerill relay`. The initial values are the defaults.
struct RelaySettings
{
    domain::EntryId id;
    domain::DataCentreId dataCentre;
    /// Region of each data centre.
    std::map<std::string, std::string> regions;

    domain::SocketAddress listenCaller;
    domain::SocketAddress listenStatus;
    domain::SocketAddress listenMetrics;
    domain::SocketAddress listenLoad;
    domain::SocketAddress storeAddress;

    /// Operators' bound on retries in each window, over all entries: this share of a service's
    /// requests, plus a fixed number.
    double retryRatio = 0.2;
    double retryExtra = 100;
    double retryWindowSeconds = 10;
    /// A cold endpoint gets at most its stated rate times the overage, plus the slack, in requests
    /// per second.
    double coldOverage = 1.5;
    double coldSlack = 5;
    /// Slow start of endpoints that have started or recovered.
    bool isStartPaced = true;
    domain::Duration weightsBound = std::chrono::milliseconds(8000);
    domain::Duration configBound = std::chrono::milliseconds(2000);
    domain::Duration drainBound = std::chrono::milliseconds(2000);
    /// Operators' time from the end of an outage until a VM counts as being in touch.
    domain::Duration contactTime = std::chrono::milliseconds(3000);
    /// Time from SIGTERM until the process is killed.
    double stopSeconds = 8;
    std::uint32_t maxConnections = 2000;

    LogLevel logLevel = LogLevel::Info;
};

/// Settings of `oriolerill-agent --relay`. The initial values are the defaults.
struct RelayAgentSettings
{
    domain::VmId id;
    domain::DataCentreId dataCentre;
    std::map<std::string, std::string> regions;
    domain::ServiceId service;

    /// Listener for agents that fetch pieces of weights; the same port on every VM.
    domain::SocketAddress listenPeers;
    domain::SocketAddress listenMetrics;
    /// UDP socket for subscriptions of entries to load reports; the same port on every VM.
    domain::SocketAddress listenLoad;
    domain::SocketAddress engineAddress;
    domain::SocketAddress storeAddress;

    /// Rate of this VM's link, in Mbit/s.
    double linkMbps = 10;
    domain::Duration weightsBound = std::chrono::milliseconds(8000);

    LogLevel logLevel = LogLevel::Info;
};

} // namespace oriolerill::settings
