#pragma once

#include "domain/socketaddress.h"
#include "domain/strongid.h"
#include "domain/timepoint.h"
#include "protocol/control.pb.h"

#include <map>
#include <optional>
#include <string>
#include <vector>

namespace oriolerill::agent {

/// Selects the tracker, the entry to which an agent reports: the highest-ranked one for its
/// (data centre, service) that answers, unless that entry redirects to another.
class TrackerSelector
{
public:
    TrackerSelector(domain::DataCentreId dataCentre, domain::ServiceId service);

    void setEntries(const std::vector<protocol::EntryInfo> &entries);
    /// Control address of the tracker; empty while no entry is known.
    std::optional<domain::SocketAddress> current(domain::TimePoint now) const;
    void onFailure(const domain::SocketAddress &address, domain::TimePoint now);
    void onRedirect(const domain::SocketAddress &address, domain::TimePoint now);

private:
    domain::DataCentreId m_dataCentre;
    domain::ServiceId m_service;
    std::vector<domain::SocketAddress> m_ranked;
    std::map<domain::SocketAddress, domain::TimePoint> m_avoidedUntil;
    std::optional<domain::SocketAddress> m_redirect;
    domain::TimePoint m_redirectUntil;
};

} // namespace oriolerill::agent
