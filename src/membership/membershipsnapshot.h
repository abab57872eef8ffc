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

/// State of one endpoint of the own data centre, as known to an entry.
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

    /// True when new requests may be sent to it.
    bool isServing() const { return state == protocol::ENDPOINT_STATE_SERVING; }
};

struct EntryRecord
{
    domain::EntryId id;
    domain::DataCentreId dataCentre;
    domain::RegionId region;
    domain::Incarnation incarnation;
    std::uint64_t sequence = 0;
    /// Address at which it accepts attempts forwarded by other entries.
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

/// Aggregate state of one data centre, as sent to the others.
struct DataCentreSummary
{
    domain::DataCentreId dataCentre;
    domain::RegionId region;
    domain::Incarnation incarnation;
    std::uint64_t sequence = 0;
    std::map<domain::ServiceId, ServiceSummary> services;
    /// False when the last summary received is too old.
    bool isFresh = true;
};

/// Membership at one time; immutable once published.
struct MembershipSnapshot
{
    domain::DataCentreId ownDataCentre;
    /// Endpoints of the own data centre, without dead ones.
    std::vector<EndpointRecord> endpoints;
    std::vector<EntryRecord> entries;
    /// Summaries of all data centres, including the own one.
    std::map<domain::DataCentreId, DataCentreSummary> summaries;
};

} // namespace oriolerill::membership
