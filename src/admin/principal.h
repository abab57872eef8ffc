#pragma once

#include "admin/idocumentplanner.h"
#include "domain/strongid.h"

#include <set>
#include <string>

namespace oriolerill::admin {

/// The operator that makes an administration request, and the services that it may change.
class Principal
{
public:
    /// An operator of the given services; of all when the set is empty.
    Principal(std::string name, std::set<domain::ServiceId> services);

    const std::string &name() const { return m_name; }
    bool isOperatorOfAll() const { return m_services.empty(); }
    bool isOperatorOf(const domain::ServiceId &service) const;
    /// Services, rollouts and limits need rights on their service before and after the change;
    /// accounts and withdrawals need rights on all services.
    bool mayChange(const PlannedItem &item) const;

private:
    std::string m_name;
    std::set<domain::ServiceId> m_services;
};

} // namespace oriolerill::admin
