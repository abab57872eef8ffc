#pragma once

#include "admin/ifleetview.h"
#include "config/configsnapshot.h"
#include "membership/membershipsnapshot.h"
#include "observability/burnreport.h"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace oriolerill::admin {

/// Progress of a rollout in one data centre.
struct RolloutProgress
{
    domain::DataCentreId dataCentre;
    std::uint32_t serving = 0;
    /// Endpoints that serve the rollout's digest; none when the reporting entry has no exact count.
    std::optional<std::uint32_t> ready;
    /// Endpoints that are changing weights; only for the data centre of the reporting entry.
    std::optional<std::uint32_t> switching;
    std::optional<std::uint32_t> total;
};

struct RolloutStatus
{
    domain::RolloutId id;
    domain::ServiceId service;
    domain::Digest manifest;
    domain::ConfigVersion version;
    /// True when newer rollouts of the service are in force in all data centres of this one.
    bool isSuperseded = false;
    /// Data centres where it is in force.
    std::vector<RolloutProgress> dataCentres;

    bool isComplete() const;
};

struct DataCentreStatus
{
    domain::DataCentreId id;
    domain::RegionId region;
    bool isWithdrawn = false;
    std::string reason;
    /// False without a recent summary of the data centre.
    bool isFresh = true;
    std::uint32_t serving = 0;
    std::uint32_t inFlight = 0;
};

struct EntryStatus
{
    domain::EntryId id;
    domain::DataCentreId dataCentre;
    bool isAlive = true;
    bool isLeaving = false;
    std::optional<domain::ConfigVersion> watermark;
    bool hasVersion = false;
};

/// State of rollouts, data centres and members, as seen by one entry.
class StatusReport
{
public:
    /// Shows on which entries the wanted version is in force; without one, the highest known.
    StatusReport(const config::ConfigSnapshot &config,
            const membership::MembershipSnapshot &members,
            const std::vector<EntryWatermark> &watermarks,
            std::optional<domain::ConfigVersion> wanted = std::nullopt);

    const std::vector<RolloutStatus> &rollouts() const { return m_rollouts; }
    const std::vector<DataCentreStatus> &dataCentres() const { return m_dataCentres; }
    const std::vector<EntryStatus> &entries() const { return m_entries; }
    const domain::ConfigVersion &version() const { return m_version; }
    std::size_t entriesWithVersion() const;
    /// Incomplete rollouts and all withdrawals, for the burn report.
    std::vector<observability::ProgressNote> progress() const;

    std::string toJson() const;

private:
    void addRollouts(
            const config::ConfigSnapshot &config, const membership::MembershipSnapshot &members);
    void addDataCentres(
            const config::ConfigSnapshot &config, const membership::MembershipSnapshot &members);
    void addEntries(const membership::MembershipSnapshot &members,
            const std::vector<EntryWatermark> &watermarks);

    domain::DataCentreId m_ownDataCentre;
    domain::ConfigVersion m_version;
    std::vector<RolloutStatus> m_rollouts;
    std::vector<DataCentreStatus> m_dataCentres;
    std::vector<EntryStatus> m_entries;
    std::vector<membership::EndpointRecord> m_endpoints;
};

} // namespace oriolerill::admin
