#pragma once

#include "domain/digest.h"
#include "domain/quantity.h"
#include "domain/socketaddress.h"
#include "domain/strongid.h"
#include "protocol/control.pb.h"

#include <cstdint>
#include <map>
#include <set>
#include <vector>

namespace oriolerill::membership {

/// What an entry knows about one endpoint of its own data centre.
struct EndpointRecord
{
    domain::EndpointId id;
    domain::DataCentreId dataCentre;
    domain::ServiceId service;
    domain::Incarnation incarnation;
    std::uint64_t sequence = 0;
    domain::SocketAddress requestAddress;
    domain::SocketAddress controlAddress;
    protocol::EndpointState state = protocol::ENDPOINT_STATE_STARTING;
    domain::Digest activeDigest;
    std::uint32_t inFlight = 0;
    std::uint32_t limit = 1;

    /// True when new work may be sent to it.
    bool isServing() const { return state == protocol::ENDPOINT_STATE_SERVING; }
};

struct EntryRecord
{
    domain::EntryId id;
    domain::DataCentreId dataCentre;
    domain::RegionId region;
    domain::Incarnation incarnation;
    std::uint64_t sequence = 0;
    /// Where it takes attempts forwarded by other entries.
    domain::SocketAddress requestAddress;
    domain::SocketAddress controlAddress;
    bool isLeaving = false;
    bool isAlive = true;
};

struct ServiceSummary
{
    std::uint32_t serving = 0;
    std::uint32_t inFlight = 0;
    std::uint32_t limit = 0;
    std::set<domain::Digest> activeDigests;
};

/// Aggregate of one data centre as the others see it.
struct DataCentreSummary
{
    domain::DataCentreId dataCentre;
    domain::RegionId region;
    domain::Incarnation incarnation;
    std::uint64_t sequence = 0;
    std::map<domain::ServiceId, ServiceSummary> services;
    /// False once no summary has arrived for too long.
    bool isFresh = true;
};

/// Membership at one moment; immutable once published.
struct MembershipSnapshot
{
    domain::DataCentreId ownDataCentre;
    /// Endpoints of the own data centre, dead ones left out.
    std::vector<EndpointRecord> endpoints;
    std::vector<EntryRecord> entries;
    /// The other data centres and the own one.
    std::map<domain::DataCentreId, DataCentreSummary> summaries;
};

} // namespace oriolerill::membership
