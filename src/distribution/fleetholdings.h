#pragma once

#include "distribution/havemap.h"
#include "domain/strongid.h"
#include "domain/timepoint.h"

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace oriolerill::distribution {

struct FleetHoldingsOptions
{
    /// A VM of the own data centre whose last datagram is older has stopped. VMs repeat unchanged
    /// holdings every 400 ms, so that one lost datagram is tolerated.
    domain::Duration hostLifetime = std::chrono::milliseconds(1000);
    /// Another data centre whose last report is older cannot be reached. Reports are exchanged
    /// every 250 ms while pieces are missing.
    domain::Duration dataCentreLifetime = std::chrono::milliseconds(2000);
};

/// Which pieces of the versions of one model are held in each data centre, and which VMs of the own
/// data centre are running, from their datagrams.
///
/// Load pattern: a fleet that shares one slow origin; a piece that any VM holds must not be read
/// from the origin again. Not safe for concurrent use.
class FleetHoldings
{
public:
    /// What the VMs of another data centre hold together.
    struct RemoteReport
    {
        domain::DataCentreId dataCentre;
        HaveMap held;
        domain::TimePoint at;
        /// Received from that data centre, not through another VM of the own one.
        bool isDirect = false;
    };

    explicit FleetHoldings(std::string self, FleetHoldingsOptions options = {});

    /// Reports are expected from now on, because a version was named. Without it, every VM that is
    /// silent between two pushes would count as stopped when the next one begins.
    void expectReports(domain::TimePoint now) { m_expectedSince = now; }
    /// A VM of the own data centre has sent a datagram.
    void onHost(const std::string &host, bool isOriginUnreachable, domain::TimePoint now);
    void onLocal(
            std::uint64_t version, const std::string &host, HaveMap held, domain::TimePoint now);
    void onRemote(std::uint64_t version, RemoteReport report);
    void setOwn(std::uint64_t version, HaveMap held);
    void erase(std::uint64_t version) { m_versions.erase(version); }

    bool isRunning(const std::string &host, domain::TimePoint now) const;
    /// The VM has stated that the origin does not answer it.
    bool isOriginUnreachable(const std::string &host) const;
    /// Since when it has stated that.
    domain::TimePoint originUnreachableSince(const std::string &host) const;
    bool isReachable(const domain::DataCentreId &dataCentre, domain::TimePoint now) const;
    /// Pieces that the VMs of the own data centre hold together, this one included.
    HaveMap local(std::uint64_t version, std::size_t pieces, domain::TimePoint now) const;
    /// Pieces that the VMs of all data centres that can be reached hold together.
    HaveMap fleet(std::uint64_t version, std::size_t pieces, domain::TimePoint now) const;
    /// Reports of the other data centres that can be reached.
    std::vector<RemoteReport> remote(std::uint64_t version, domain::TimePoint now) const;

private:
    struct Host
    {
        domain::TimePoint seenAt;
        bool isOriginUnreachable = false;
        domain::TimePoint unreachableSince;
    };
    struct Report
    {
        HaveMap held;
        domain::TimePoint at;
        bool isDirect = false;
    };
    struct Version
    {
        HaveMap own;
        std::map<std::string, Report> local;
        std::map<domain::DataCentreId, Report> remote;
    };

    std::string m_self;
    FleetHoldingsOptions m_options;
    domain::TimePoint m_expectedSince;
    std::map<std::string, Host> m_hosts;
    /// Time of the newest report of each other data centre.
    std::map<domain::DataCentreId, domain::TimePoint> m_dataCentres;
    std::map<std::uint64_t, Version> m_versions;
};

} // namespace oriolerill::distribution
