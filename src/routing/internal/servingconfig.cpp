#include "routing/servingconfig.h"

#include <utility>

namespace oriolerill::routing {

ServingConfig::ServingConfig(std::uint64_t version, std::vector<Route> routes,
        std::vector<ServiceSpec> services, CallerLimits limits)
    : m_version(version)
    , m_routes(std::move(routes))
    , m_limits(limits)
{
    for (std::size_t i = 0; i < m_routes.size(); ++i)
        m_byHost[m_routes[i].host].emplace(m_routes[i].pathPrefix, i);
    for (ServiceSpec &service : services) {
        const domain::ServiceId id = service.id;
        m_services.insert_or_assign(id, std::move(service));
    }
}

void ServingConfig::addAccount(const std::string &key, const CallerAccount &account)
{
    m_accounts.insert_or_assign(key, account);
    m_accountPriorities.insert(account.priority.value_or(DefaultAccountPriority));
    m_hasAccounts = true;
}

const Route *ServingConfig::route(std::string_view host, std::string_view path) const
{
    const auto routes = m_byHost.find(std::string(host));
    if (routes == m_byHost.end())
        return nullptr;
    // Every prefix ends with a slash, so only the path up to each slash is looked up: the cost does
    // not grow with the number of routes, of which a configuration may have thousands.
    for (auto slash = path.rfind('/'); slash != std::string_view::npos;) {
        const auto found = routes->second.find(std::string(path.substr(0, slash + 1)));
        if (found != routes->second.end())
            return &m_routes[found->second];
        if (slash == 0)
            break;
        slash = path.rfind('/', slash - 1);
    }
    return nullptr;
}

const ServiceSpec *ServingConfig::service(const domain::ServiceId &id) const
{
    const auto found = m_services.find(id);
    return found == m_services.end() ? nullptr : &found->second;
}

const CallerAccount *ServingConfig::account(const std::string &key) const
{
    const auto found = m_accounts.find(key);
    return found == m_accounts.end() ? nullptr : &found->second;
}

} // namespace oriolerill::routing
