#pragma once

#include "domain/strongid.h"
#include "domain/timepoint.h"

#include <chrono>
#include <map>
#include <set>

namespace oriolerill::routing {

struct WithdrawalListOptions
{
    /// After the store has returned from an older copy, a withdrawal that it has lost stays in
    /// force for this long: the time that the operator needs to write it again, which the platform
    /// states as about two seconds for endpoints.
    domain::Duration returnRetention = std::chrono::milliseconds(2000);
};

/// The withdrawn data centres in the store's list, and those that a store which has returned from
/// an older copy has lost. Without I/O and clock.
class WithdrawalList
{
public:
    explicit WithdrawalList(WithdrawalListOptions options = {});

    /// Replaces the list.
    void replaceAll(std::set<domain::DataCentreId> withdrawn, domain::TimePoint now);
    void onWithdrawn(const domain::DataCentreId &dataCentre);
    void onReturned(const domain::DataCentreId &dataCentre);
    /// The next list reflects an older copy from which the store has returned.
    void onEraChanged(domain::TimePoint now);

    /// Withdrawn according to the store.
    const std::set<domain::DataCentreId> &listed() const { return m_listed; }
    /// Listed or retained.
    std::set<domain::DataCentreId> inForce(domain::TimePoint now) const;
    /// End of the last retention; TimePoint::min() without one.
    domain::TimePoint retainedUntil() const;

private:
    WithdrawalListOptions m_options;
    std::set<domain::DataCentreId> m_listed;
    std::map<domain::DataCentreId, domain::TimePoint> m_retainedUntil;
    domain::TimePoint m_returnRetentionUntil = domain::TimePoint::min();
};

} // namespace oriolerill::routing
