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

/// An endpoint as the platform's list of servers shows it.
struct ListedEndpoint
{
    domain::EndpointId id;
    domain::ServiceId service;
    domain::SocketAddress address;
    domain::DataCentreId dataCentre;
    std::uint32_t slots = 1;
    bool isDraining = false;
    /// The endpoint bears only little load until then.
    domain::TimePoint coldUntil;
    /// Version of the weights that it serves, by model; empty for plain services and for engines
    /// that hold none yet.
    std::map<domain::ModelId, std::uint64_t> weights;
    /// Start of its process, in milliseconds since the Unix epoch; zero when not told.
    std::uint64_t startedAtMs = 0;
};

/// One change of the list: the endpoint as it is now, or none when its entry is gone.
struct EndpointChange
{
    domain::EndpointId id;
    std::optional<ListedEndpoint> endpoint;
};

struct EndpointListOptions
{
    /// After the store was away, endpoints whose entries lapsed meanwhile have this long to come
    /// back. The platform states about two seconds.
    domain::Duration outageRetention = std::chrono::milliseconds(2000);
    /// A batch that removes this share of a list of MinLapse endpoints or more, without a notice,
    /// looks like a lapse in an outage that this process did not notice.
    double massRemovalShare = 0.3;
    std::size_t massRemovalMin = 3;
    /// Such entries are kept for this long; shorter than the drain bound of two seconds, so that
    /// endpoints that left for good still get nothing after it.
    domain::Duration massRemovalRetention = std::chrono::milliseconds(1400);
};

/// The endpoints that the platform lists, with those that lapsed while its store was away.
class EndpointList
{
public:
    explicit EndpointList(EndpointListOptions options = {});

    /// Takes a whole list: what is missing in it is gone, or kept for a while after an outage.
    void replaceAll(const std::vector<ListedEndpoint> &endpoints, domain::TimePoint now);
    /// Takes a batch of changes of a watch, in their order: one batch may hold several changes of
    /// the same endpoint, the last of which holds.
    void apply(const std::vector<EndpointChange> &changes, domain::TimePoint now);
    /// The store answers again after an outage of this process's view of it.
    void onStoreBack(domain::TimePoint now);
    /// Kept endpoints have so much less time than the clock says.
    void onSuspended(domain::Duration time);
    /// Drops kept endpoints whose time to come back has passed.
    void expire(domain::TimePoint now);

    const ListedEndpoint *find(const domain::EndpointId &id) const;
    const std::map<domain::EndpointId, ListedEndpoint> &endpoints() const { return m_endpoints; }
    bool isRetained(const domain::EndpointId &id) const { return m_retainedUntil.count(id) > 0; }
    /// Changes with each change of the list.
    std::uint64_t generation() const { return m_generation; }

private:
    void remove(const std::vector<domain::EndpointId> &removed, domain::TimePoint now);

    EndpointListOptions m_options;
    std::map<domain::EndpointId, ListedEndpoint> m_endpoints;
    std::map<domain::EndpointId, domain::TimePoint> m_retainedUntil;
    domain::TimePoint m_outageRetentionUntil;
    std::uint64_t m_generation = 0;
};

} // namespace oriolerill::routing
