#pragma once

#include "config/configsnapshot.h"
#include "domain/digest.h"
#include "domain/error.h"
#include "domain/strongid.h"
#include "domain/timepoint.h"
#include "entry/internal/attemptclient.h"
#include "membership/membershipsnapshot.h"
#include "protocol/control.pb.h"
#include "routing/datacentrechooser.h"
#include "routing/endpointchooser.h"

#include <cstdint>
#include <map>
#include <mutex>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <vector>

namespace oriolerill::entry {

/// Criteria for the choice of a target.
struct RouteQuery
{
    domain::ServiceId service;
    bool isModel = false;
    std::optional<std::uint64_t> affinity;
    /// Slot of the order ledger; only for orders.
    std::optional<std::uint32_t> slot;
    /// Digest of the weights that the target must have loaded, to resume a started answer or on
    /// behalf of another entry; none when any will do.
    domain::Digest digest;
    /// Identifiers of endpoints and entries at which an attempt of the request failed; chosen only
    /// when no other target remains.
    std::set<std::string> avoided;
    /// Identifiers of endpoints and entries that refused the request; not chosen.
    std::set<std::string> excluded;
    /// True for attempts from another entry; they are not forwarded again.
    bool isForwarded = false;
};

struct Route
{
    /// Identifier of the endpoint or entry.
    std::string id;
    AttemptTarget target;
    /// Digest of the weights that the endpoint has loaded; none when forwarded.
    domain::Digest digest;
    bool isForward = false;
};

/// Chooses targets and tracks the load that this entry causes. Safe to use from all workers.
class CallerRouter
{
public:
    CallerRouter(domain::EntryId self, domain::DataCentreId dataCentre, std::uint64_t seed);

    /// Returns Unavailable when there is no target, Overloaded when all have reached their limits.
    domain::Expected<Route> choose(const RouteQuery &query,
            const config::ConfigSnapshot &configuration,
            const membership::MembershipSnapshot &membership, domain::TimePoint now);
    /// Counts an attempt as in flight until finished() is called for it.
    void started(const Route &route);
    void finished(const Route &route, const AttemptResult &result, domain::TimePoint now);
    /// Number of concurrent requests that this entry may send to the service.
    std::uint32_t capacity(const domain::ServiceId &service,
            const membership::MembershipSnapshot &membership) const;

private:
    struct TargetLoad
    {
        std::uint32_t inFlight = 0;
        std::optional<protocol::Load> reported;
        domain::TimePoint reportedAt;
        /// Other targets are preferred until this time, because a connection to this one failed.
        domain::TimePoint avoidedUntil;
    };
    template<class Record>
    void preferReachable(std::vector<const Record *> &records, const RouteQuery &query,
            domain::TimePoint now) const;

    std::optional<domain::DataCentreId> chooseDataCentre(const RouteQuery &query,
            const config::ConfigSnapshot &configuration,
            const membership::MembershipSnapshot &membership, domain::TimePoint now);
    domain::Expected<Route> chooseEndpoint(const RouteQuery &query,
            const membership::MembershipSnapshot &membership, domain::TimePoint now);
    const membership::EndpointRecord *slotOwner(
            const RouteQuery &query, const membership::MembershipSnapshot &membership) const;
    domain::Expected<Route> chooseEntry(const domain::DataCentreId &dataCentre,
            const RouteQuery &query, const membership::MembershipSnapshot &membership,
            domain::TimePoint now);
    routing::EndpointCandidate candidateOf(
            const membership::EndpointRecord &record, domain::TimePoint now) const;
    std::vector<routing::DataCentreCandidate> dataCentres(const RouteQuery &query,
            const config::ConfigSnapshot &configuration,
            const membership::MembershipSnapshot &membership) const;

    domain::EntryId m_self;
    domain::DataCentreId m_dataCentre;
    mutable std::mutex m_mutex;
    std::mt19937_64 m_random;
    routing::EndpointChooser m_endpointChooser;
    std::map<domain::ServiceId, routing::DataCentreChooser> m_dataCentreChoosers;
    std::map<std::string, TargetLoad> m_loads;
};

} // namespace oriolerill::entry
