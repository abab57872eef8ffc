#include "distribution/fleetholdings.h"

#include <algorithm>
#include <utility>

namespace oriolerill::distribution {

FleetHoldings::FleetHoldings(std::string self, FleetHoldingsOptions options)
    : m_self(std::move(self))
    , m_options(options)
{}

void FleetHoldings::onHost(const std::string &host, bool isOriginUnreachable, domain::TimePoint now)
{
    Host &known = m_hosts[host];
    if (isOriginUnreachable && !known.isOriginUnreachable)
        known.unreachableSince = now;
    known.isOriginUnreachable = isOriginUnreachable;
    known.seenAt = now;
}

domain::TimePoint FleetHoldings::originUnreachableSince(const std::string &host) const
{
    const auto known = m_hosts.find(host);
    return known == m_hosts.end() ? domain::TimePoint() : known->second.unreachableSince;
}

void FleetHoldings::onLocal(
        std::uint64_t version, const std::string &host, HaveMap held, domain::TimePoint now)
{
    m_versions[version].local[host] = {std::move(held), now, true};
}

void FleetHoldings::onRemote(std::uint64_t version, RemoteReport report)
{
    domain::TimePoint &seenAt = m_dataCentres[report.dataCentre];
    seenAt = std::max(seenAt, report.at);
    Report &known = m_versions[version].remote[report.dataCentre];
    // Reports arrive over several VMs, and not in order.
    if (report.at >= known.at)
        known = {std::move(report.held), report.at, report.isDirect};
}

void FleetHoldings::setOwn(std::uint64_t version, HaveMap held)
{
    m_versions[version].own = std::move(held);
}

bool FleetHoldings::isRunning(const std::string &host, domain::TimePoint now) const
{
    if (host == m_self)
        return true;
    const auto known = m_hosts.find(host);
    const auto seenAt = known == m_hosts.end() ? domain::TimePoint() : known->second.seenAt;
    return now - std::max(seenAt, m_expectedSince) <= m_options.hostLifetime;
}

bool FleetHoldings::isOriginUnreachable(const std::string &host) const
{
    const auto known = m_hosts.find(host);
    return known != m_hosts.end() && known->second.isOriginUnreachable;
}

bool FleetHoldings::isReachable(const domain::DataCentreId &dataCentre, domain::TimePoint now) const
{
    const auto known = m_dataCentres.find(dataCentre);
    const auto seenAt = known == m_dataCentres.end() ? domain::TimePoint() : known->second;
    return now - std::max(seenAt, m_expectedSince) <= m_options.dataCentreLifetime;
}

HaveMap FleetHoldings::local(std::uint64_t version, std::size_t pieces, domain::TimePoint now) const
{
    HaveMap held(pieces);
    const auto known = m_versions.find(version);
    if (known == m_versions.end())
        return held;
    if (known->second.own.size() == pieces)
        held.merge(known->second.own);
    for (const auto &[host, report] : known->second.local) {
        if (report.held.size() == pieces && now - report.at <= m_options.hostLifetime)
            held.merge(report.held);
    }
    return held;
}

HaveMap FleetHoldings::fleet(std::uint64_t version, std::size_t pieces, domain::TimePoint now) const
{
    HaveMap held = local(version, pieces, now);
    for (const RemoteReport &report : remote(version, now)) {
        if (report.held.size() == pieces)
            held.merge(report.held);
    }
    return held;
}

std::vector<FleetHoldings::RemoteReport> FleetHoldings::remote(
        std::uint64_t version, domain::TimePoint now) const
{
    std::vector<RemoteReport> reports;
    const auto known = m_versions.find(version);
    if (known == m_versions.end())
        return reports;
    for (const auto &[dataCentre, report] : known->second.remote) {
        if (now - report.at <= m_options.dataCentreLifetime)
            reports.push_back({dataCentre, report.held, report.at, report.isDirect});
    }
    return reports;
}

} // namespace oriolerill::distribution
