#include "admin/principal.h"

#include "admin/internal/servicereference.h"

#include <utility>

namespace oriolerill::admin {

Principal::Principal(std::string name, std::set<domain::ServiceId> services)
    : m_name(std::move(name))
    , m_services(std::move(services))
{}

bool Principal::isOperatorOf(const domain::ServiceId &service) const
{
    return isOperatorOfAll() || m_services.contains(service);
}

bool Principal::mayChange(const PlannedItem &item) const
{
    if (item.kind == "service" || item.kind == "limit")
        return isOperatorOf(domain::ServiceId(item.name));
    if (item.kind != "rollout")
        return isOperatorOfAll();
    const auto mayUse = [&](const std::string &spec) {
        return spec.empty()
                || isOperatorOf(internal::referencedService(item.kind, item.name, spec));
    };
    return mayUse(item.spec) && mayUse(item.currentSpec);
}

} // namespace oriolerill::admin
