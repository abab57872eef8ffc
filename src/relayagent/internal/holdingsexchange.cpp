#include "relayagent/internal/holdingsexchange.h"

#include "domain/rendezvous.h"

#include <algorithm>
#include <utility>

namespace oriolerill::relayagent::internal {

using distribution::FleetHoldings;
using distribution::HaveMap;
using domain::TimePoint;
using std::chrono::milliseconds;

namespace {

/// Minimum interval between messages about new pieces; a piece takes 42 ms over a VM's link.
constexpr auto HoldingsInterval = milliseconds(100);
/// Interval at which unchanged holdings are sent again, in case a datagram was lost.
constexpr auto UnchangedHoldingsInterval = milliseconds(400);
constexpr auto RemoteInterval = milliseconds(250);
/// How long a VM that has sent holdings of a version is asked for its manifest.
constexpr auto HolderLifetime = milliseconds(1500);
/// Agents of each data centre that exchange holdings with other ones.
constexpr std::size_t Reporters = 2;

std::string reporterKey(const distribution::WeightsVersion &version)
{
    return "reporters/" + version.model.value();
}

std::uint32_t ageMs(TimePoint at, TimePoint now)
{
    const auto age = std::chrono::duration_cast<milliseconds>(now - at).count();
    return static_cast<std::uint32_t>(std::max<std::int64_t>(age, 0));
}

protocol::DataCentreHoldings encode(const distribution::WeightsVersion &version,
        const FleetHoldings::RemoteReport &report, TimePoint now)
{
    protocol::DataCentreHoldings message;
    message.set_model(version.model.value());
    message.set_version(version.number);
    message.set_pieces(static_cast<std::uint32_t>(report.held.size()));
    message.set_held(report.held.toBytes());
    message.set_data_centre(report.dataCentre.value());
    message.set_age_ms(ageMs(report.at, now));
    return message;
}

} // namespace

HoldingsExchange::HoldingsExchange(LoadReporter &reporter, const FleetView &fleet)
    : m_reporter(reporter)
    , m_fleet(fleet)
    , m_holdings(fleet.self().host)
{}

void HoldingsExchange::onHoldings(
        const std::string &host, const protocol::PieceHoldings &message, const Transfer &transfer)
{
    const TimePoint now = TimePoint::clock::now();
    m_holdings.onHost(host, message.origin_unreachable(), now);
    const Version version{domain::ModelId(message.model()), message.version()};
    if (message.pieces() == 0 || version.model != m_fleet.model())
        return;
    const bool isOutdated = !m_sent.empty() && version.number < m_sent.begin()->first.number;
    if (isOutdated)
        return;
    m_holders[version][host] = now;
    for (const protocol::DataCentreHoldings &remote : message.elsewhere())
        onRemote(remote, transfer, false);
    if (!transfer || message.pieces() != transfer->manifest().pieces.size())
        return;
    HaveMap held = HaveMap::fromBytes(message.held(), message.pieces());
    m_holdings.onLocal(version.number, host, held, now);
    transfer->onHoldings(host, std::move(held), message.waiting(), now);
}

void HoldingsExchange::onRemote(
        const protocol::DataCentreHoldings &message, const Transfer &transfer, bool isDirect)
{
    const domain::DataCentreId dataCentre(message.data_centre());
    const bool isUsable = transfer && dataCentre != m_fleet.self().dataCentre
            && message.model() == m_fleet.model().value()
            && message.pieces() == transfer->manifest().pieces.size();
    if (!isUsable)
        return;
    const TimePoint at = TimePoint::clock::now() - milliseconds(message.age_ms());
    HaveMap held = HaveMap::fromBytes(message.held(), message.pieces());
    transfer->onRemoteHoldings(dataCentre, held, at);
    m_holdings.onRemote(message.version(), {dataCentre, std::move(held), at, isDirect});
}

void HoldingsExchange::send(
        const Transfers &transfers, std::size_t waiting, bool isOriginUnreachable)
{
    const TimePoint now = TimePoint::clock::now();
    for (const auto &[version, transfer] : transfers) {
        m_holdings.setOwn(version.number, transfer->held());
        Sent &sent = m_sent[version];
        sendLocal(version, transfer, sent, waiting, isOriginUnreachable, now);
        sendRemote(version, transfer, sent, now);
    }
}

void HoldingsExchange::sendLocal(const Version &version, const Transfer &transfer, Sent &sent,
        std::size_t waiting, bool isOriginUnreachable, TimePoint now)
{
    const bool isChanged = sent.held != transfer->heldCount() || sent.waiting != waiting
            || sent.isOriginUnreachable != isOriginUnreachable;
    const auto interval = isChanged ? HoldingsInterval : UnchangedHoldingsInterval;
    if (!transfer->isExchangeNeeded(now) || now - sent.at < interval)
        return;
    sent.held = transfer->heldCount();
    sent.waiting = waiting;
    sent.isOriginUnreachable = isOriginUnreachable;
    sent.at = now;
    protocol::AgentDatagram datagram;
    protocol::PieceHoldings &message = *datagram.mutable_holdings();
    message.set_model(version.model.value());
    message.set_version(version.number);
    message.set_pieces(static_cast<std::uint32_t>(transfer->manifest().pieces.size()));
    message.set_held(transfer->held().toBytes());
    message.set_waiting(static_cast<std::uint32_t>(waiting));
    message.set_origin_unreachable(isOriginUnreachable);
    if (isReporter(version, now)) {
        // Reports that were passed on once are not passed on again: their age would be lost.
        for (const auto &report : m_holdings.remote(version.number, now)) {
            if (report.isDirect)
                *message.add_elsewhere() = encode(version, report, now);
        }
    }
    m_reporter.sendToAgents(datagram, m_fleet.localHosts());
}

/// Sent as long as a VM of this data centre misses pieces or another data centre does.
void HoldingsExchange::sendRemote(
        const Version &version, const Transfer &transfer, Sent &sent, TimePoint now)
{
    const std::size_t pieces = transfer->manifest().pieces.size();
    if (!m_fleet.originCapacity().isKnown() || now - sent.remoteAt < RemoteInterval
            || !isReporter(version, now))
        return;
    const auto reports = m_holdings.remote(version.number, now);
    const bool isIncomplete = std::any_of(reports.begin(), reports.end(),
            [](const FleetHoldings::RemoteReport &report) { return !report.held.isFull(); });
    if (!transfer->isExchangeNeeded(now) && !isIncomplete)
        return;
    sent.remoteAt = now;
    protocol::AgentDatagram datagram;
    *datagram.mutable_remote_holdings() = encode(version,
            {m_fleet.self().dataCentre, m_holdings.local(version.number, pieces, now), now}, now);
    std::vector<std::string> receivers;
    for (const auto &[dataCentre, hosts] : m_fleet.remoteHosts()) {
        const std::vector<std::string> ranked = domain::rendezvousRank(reporterKey(version), hosts);
        receivers.insert(receivers.end(), ranked.begin(),
                ranked.begin() + static_cast<std::ptrdiff_t>(std::min(ranked.size(), Reporters)));
    }
    m_reporter.sendToAgents(datagram, receivers);
}

bool HoldingsExchange::isReporter(const Version &version, TimePoint now) const
{
    std::size_t before = 0;
    for (const std::string &host :
            domain::rendezvousRank(reporterKey(version), m_fleet.localHosts())) {
        if (host == m_fleet.self().host)
            return before < Reporters;
        before += m_holdings.isRunning(host, now) ? 1 : 0;
    }
    return false;
}

void HoldingsExchange::sendPresence(const Version &version, bool isOriginUnreachable)
{
    const TimePoint now = TimePoint::clock::now();
    TimePoint &sentAt = m_presenceAt[version];
    if (now - sentAt < UnchangedHoldingsInterval)
        return;
    sentAt = now;
    protocol::AgentDatagram datagram;
    datagram.mutable_holdings()->set_model(version.model.value());
    datagram.mutable_holdings()->set_version(version.number);
    datagram.mutable_holdings()->set_origin_unreachable(isOriginUnreachable);
    m_reporter.sendToAgents(datagram, m_fleet.localHosts());
}

std::vector<std::string> HoldingsExchange::holders(const Version &version, TimePoint now) const
{
    std::set<std::string> hosts;
    for (const distribution::PushMember &member : m_fleet.members()) {
        const bool isServing = member.dataCentre == m_fleet.self().dataCentre
                && member.servedVersion == version.number;
        if (isServing && member.host != m_fleet.self().host)
            hosts.insert(member.host);
    }
    const auto ranked = [&] {
        return domain::rendezvousRank("manifest/" + m_fleet.self().host,
                std::vector<std::string>(hosts.begin(), hosts.end()));
    };
    const auto known = m_holders.find(version);
    if (known == m_holders.end())
        return ranked();
    for (const auto &[host, at] : known->second) {
        if (now - at <= HolderLifetime)
            hosts.insert(host);
    }
    return ranked();
}

bool HoldingsExchange::hasSender(const Version &version, TimePoint now) const
{
    const auto known = m_holders.find(version);
    return known != m_holders.end()
            && std::any_of(known->second.begin(), known->second.end(),
                    [now](const auto &sender) { return now - sender.second <= HolderLifetime; });
}

void HoldingsExchange::forget(const Version &version)
{
    m_sent.erase(version);
    m_holders.erase(version);
    m_presenceAt.erase(version);
    m_holdings.erase(version.number);
}

std::set<std::string> HoldingsExchange::stoppedHosts(const Version &version, TimePoint now) const
{
    std::set<std::string> stopped;
    for (const distribution::PushMember &member : m_fleet.members()) {
        const bool isExpected = member.dataCentre == m_fleet.self().dataCentre
                && member.servedVersion < version.number;
        if (isExpected && !m_holdings.isRunning(member.host, now))
            stopped.insert(member.host);
    }
    return stopped;
}

} // namespace oriolerill::relayagent::internal
