#pragma once

#include "distribution/fleetholdings.h"
#include "distribution/versiontransfer.h"
#include "relayagent/internal/fleetview.h"
#include "relayagent/internal/loadreporter.h"

#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

namespace oriolerill::relayagent::internal {

/// Exchanges with other agents which pieces are held where: each agent with those of its data
/// centre, and two agents of each data centre with two of each other one. The number of datagrams
/// between data centres does not grow with the number of VMs.
class HoldingsExchange
{
public:
    using Version = distribution::WeightsVersion;
    using Transfer = std::shared_ptr<distribution::VersionTransfer>;
    using Transfers = std::map<Version, Transfer>;

    HoldingsExchange(LoadReporter &reporter, const FleetView &fleet);

    distribution::FleetHoldings &holdings() { return m_holdings; }
    const distribution::FleetHoldings &holdings() const { return m_holdings; }

    /// Applies the datagram of an agent of this data centre; the transfer is null while this VM has
    /// none of that version.
    void onHoldings(const std::string &host, const protocol::PieceHoldings &message,
            const Transfer &transfer);
    /// Applies what another data centre holds; isDirect when an agent there has sent it.
    void onRemote(
            const protocol::DataCentreHoldings &message, const Transfer &transfer, bool isDirect);

    /// Sends the datagrams that are due; waiting is the number of requests queued here for pieces.
    void send(const Transfers &transfers, std::size_t waiting, bool isOriginUnreachable);
    /// Notifies the agents of this data centre that this one is running without a manifest of the
    /// version yet.
    void sendPresence(const Version &version, bool isOriginUnreachable);
    /// VMs of this data centre that have the manifest of the version: they serve it, or have sent
    /// holdings of it recently. In an order of this VM's own, so that not all ask the same one.
    std::vector<std::string> holders(const Version &version, domain::TimePoint now) const;
    /// Whether a VM of this data centre has sent holdings of the version recently.
    bool hasSender(const Version &version, domain::TimePoint now) const;
    void forget(const Version &version);
    /// VMs of this data centre that have stopped, without those listed as serving the version: they
    /// send no holdings unless they are asked for pieces.
    std::set<std::string> stoppedHosts(const Version &version, domain::TimePoint now) const;

private:
    /// State of a transfer that was last sent.
    struct Sent
    {
        std::size_t held = 0;
        std::size_t waiting = 0;
        bool isOriginUnreachable = false;
        domain::TimePoint at;
        domain::TimePoint remoteAt;
    };

    void sendLocal(const Version &version, const Transfer &transfer, Sent &sent,
            std::size_t waiting, bool isOriginUnreachable, domain::TimePoint now);
    void sendRemote(
            const Version &version, const Transfer &transfer, Sent &sent, domain::TimePoint now);
    /// The first running VMs of this data centre by rank exchange holdings with other ones.
    bool isReporter(const Version &version, domain::TimePoint now) const;

    LoadReporter &m_reporter;
    const FleetView &m_fleet;
    distribution::FleetHoldings m_holdings;
    std::map<Version, Sent> m_sent;
    std::map<Version, std::map<std::string, domain::TimePoint>> m_holders;
    std::map<Version, domain::TimePoint> m_presenceAt;
};

} // namespace oriolerill::relayagent::internal
