#include "agent/internal/trackerselector.h"

#include "domain/rendezvous.h"

#include <chrono>
#include <utility>

namespace oriolerill::agent {

using namespace std::chrono_literals;
using domain::SocketAddress;
using domain::TimePoint;

namespace {

constexpr domain::Duration AvoidanceTime = 3s;
constexpr domain::Duration RedirectLifetime = 10s;

} // namespace

TrackerSelector::TrackerSelector(domain::DataCentreId dataCentre, domain::ServiceId service)
    : m_dataCentre(std::move(dataCentre))
    , m_service(std::move(service))
{}

void TrackerSelector::setEntries(const std::vector<protocol::EntryInfo> &entries)
{
    std::map<std::string, SocketAddress> addresses;
    std::vector<std::string> ids;
    for (const protocol::EntryInfo &entry : entries) {
        const auto address = SocketAddress::parse(entry.control_address());
        if (!address || entry.leaving() || entry.data_centre() != m_dataCentre.value())
            continue;
        if (addresses.emplace(entry.id(), *address).second)
            ids.push_back(entry.id());
    }
    const std::string key = m_dataCentre.value() + '/' + m_service.value();
    m_ranked.clear();
    for (const std::string &id : domain::rendezvousRank(key, std::move(ids)))
        m_ranked.push_back(addresses.at(id));
}

std::optional<SocketAddress> TrackerSelector::current(TimePoint now) const
{
    if (m_redirect && now < m_redirectUntil)
        return m_redirect;
    for (const SocketAddress &address : m_ranked) {
        const auto avoided = m_avoidedUntil.find(address);
        if (avoided == m_avoidedUntil.end() || avoided->second <= now)
            return address;
    }
    return m_ranked.empty() ? std::nullopt : std::optional(m_ranked.front());
}

void TrackerSelector::onFailure(const SocketAddress &address, TimePoint now)
{
    std::erase_if(m_avoidedUntil, [now](const auto &entry) { return entry.second <= now; });
    m_avoidedUntil[address] = now + AvoidanceTime;
    if (m_redirect == address)
        m_redirect.reset();
}

void TrackerSelector::onRedirect(const SocketAddress &address, TimePoint now)
{
    // The redirecting entry may not have detected yet that the other one is unresponsive.
    const auto avoided = m_avoidedUntil.find(address);
    if (avoided != m_avoidedUntil.end() && avoided->second > now)
        return;
    m_redirect = address;
    m_redirectUntil = now + RedirectLifetime;
}

} // namespace oriolerill::agent
