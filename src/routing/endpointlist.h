#pragma once

#include "domain/socketaddress.h"
#include "domain/strongid.h"
#include "domain/timepoint.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace oriolerill::routing {

/// An endpoint in the platform's list of servers.
struct ListedEndpoint
{
    domain::EndpointId id;
    domain::ServiceId service;
    domain::SocketAddress address;
    domain::DataCentreId dataCentre;
    std::uint32_t slots = 1;
    bool isDraining = false;
    /// The endpoint is cold until then and takes only a low rate of requests.
    domain::TimePoint coldUntil;
    /// Version of the weights that it serves, by model; empty for plain services and for engines
    /// that hold none yet.
    std::map<domain::ModelId, std::uint64_t> weights;
    /// Start of its process, in milliseconds since the Unix epoch; zero when not listed.
    std::uint64_t startedAtMs = 0;
    /// Number of the process's last write to the store; zero when not listed.
    std::uint64_t sequence = 0;
};

/// One change of the list: the endpoint's new state, or none when it was removed.
struct EndpointChange
{
    domain::EndpointId id;
    std::optional<ListedEndpoint> endpoint;
};

struct EndpointListOptions
{
    /// After an outage of the store, endpoints whose records expired during the outage are retained
    /// for this long, until they are listed again. The platform states about two seconds.
    domain::Duration outageRetention = std::chrono::milliseconds(2000);
    /// A batch that removes at least this share of the list and this number of endpoints, not
    /// counting draining ones, is taken for the result of an outage that this process did not
    /// detect.
    double massRemovalShare = 0.3;
    std::size_t massRemovalMin = 3;
    /// Endpoints removed by such a batch are retained for this long, or until shortly before the
    /// drain bound.
    domain::Duration massRemovalRetention = std::chrono::milliseconds(1400);
    /// Operator's bound of the time from the acknowledgement of a removal until the last request to
    /// the endpoint.
    domain::Duration drainBound = std::chrono::milliseconds(2000);
    /// Share of that bound after which no request is sent; the rest is for requests on their way.
    double sendShareOfDrainBound = 0.9;
    /// Operator's time from the end of an outage until a VM counts as being in touch, so that the
    /// drain bound applies to it again.
    domain::Duration contactTime = std::chrono::milliseconds(3000);
    /// After the store has returned from an older copy, a departure that it has lost stands for
    /// this long. An endpoint that has left writes nothing any more, so its record is removed again
    /// within a few seconds; one that is still listed after this time has not left.
    domain::Duration lostDepartureLifetime = std::chrono::seconds(30);
    /// Maximum number of departures that are kept; the oldest are evicted first.
    std::size_t maxDepartures = 4096;
};

/// An endpoint that a batch has removed, and until when it still gets requests: not at all, if it
/// is not retained.
struct EndpointRemoval
{
    domain::EndpointId id;
    std::optional<domain::TimePoint> retainedUntil;
};

/// The endpoints in the platform's list, and those retained after an outage of its store.
///
/// A store that has returned from an older copy lists endpoints as ready that this process has
/// already seen leave; they stay out until a newer state is listed.
class EndpointList
{
public:
    explicit EndpointList(EndpointListOptions options = {});

    /// Replaces the list: an endpoint that is missing is removed, or retained after an outage.
    /// madeAfter: the changes were acknowledged after this time, that of the last proof of the
    /// list.
    std::vector<EndpointRemoval> replaceAll(const std::vector<ListedEndpoint> &endpoints,
            domain::TimePoint now, std::optional<domain::TimePoint> madeAfter = std::nullopt);
    /// Applies a batch of changes of a watch, in their order: a batch may hold several changes of
    /// the same endpoint, of which the last one counts. madeAfter: see replaceAll().
    std::vector<EndpointRemoval> apply(const std::vector<EndpointChange> &changes,
            domain::TimePoint now, std::optional<domain::TimePoint> madeAfter = std::nullopt);
    /// The store answers this process again after an outage in which records can have expired; it
    /// was unreachable at least until the given time.
    void onStoreBack(domain::TimePoint now, domain::TimePoint unreachableAt);
    /// The next list reflects an older copy from which the store has returned, after the last proof
    /// of this list.
    void onEraChanged(domain::TimePoint now, domain::TimePoint provenAt);
    /// Shortens the retention by a time for which this VM was suspended.
    void onSuspended(domain::Duration time);
    /// Removes retained endpoints whose retention has ended.
    void expire(domain::TimePoint now);

    const ListedEndpoint *find(const domain::EndpointId &id) const;
    const std::map<domain::EndpointId, ListedEndpoint> &endpoints() const { return m_endpoints; }
    bool isRetained(const domain::EndpointId &id) const { return m_retainedUntil.count(id) > 0; }
    /// Changes with each change of the list.
    std::uint64_t generation() const { return m_generation; }

private:
    /// An endpoint was listed as draining, or removed.
    struct Departure
    {
        std::uint64_t startedAtMs = 0;
        /// Number of the last write that is known to be as old as the departure.
        std::uint64_t sequence = 0;
        bool isRemoval = false;
        /// State older than the departure that the store lists again.
        std::optional<ListedEndpoint> keptOut;
        /// Order of the departures, for eviction.
        std::uint64_t number = 0;
    };

    std::vector<EndpointRemoval> remove(const std::vector<domain::EndpointId> &removed,
            domain::TimePoint now, domain::TimePoint madeAfter);
    /// End of the retention of endpoints that a batch removes without notice, if any.
    std::optional<domain::TimePoint> retentionEnd(
            std::size_t removed, domain::TimePoint now, domain::TimePoint madeAfter) const;
    void removeDeparted(const domain::EndpointId &id);
    void recordDeparture(const ListedEndpoint &endpoint, bool isRemoval);
    /// The departure after which this state is listed although it was written before; null if the
    /// state is newer.
    Departure *lostDeparture(const ListedEndpoint &endpoint, domain::TimePoint now);
    /// Ends the time in which departures stand that the store has lost.
    void expireLostDepartures();

    EndpointListOptions m_options;
    std::map<domain::EndpointId, ListedEndpoint> m_endpoints;
    std::map<domain::EndpointId, domain::TimePoint> m_retainedUntil;
    domain::TimePoint m_outageRetentionUntil;
    std::map<domain::EndpointId, Departure> m_departures;
    std::uint64_t m_departureCount = 0;
    domain::TimePoint m_lostDeparturesUntil;
    /// The store's first list of a new era has not been applied yet.
    bool m_isFirstListAwaited = false;
    std::uint64_t m_generation = 0;
};

} // namespace oriolerill::routing
