#include "admin/principal.h"

#include <boost/json/parse.hpp>
#include <boost/json/value.hpp>

#include <utility>

namespace oriolerill::admin {

namespace {

/// The service named in the spec of a rollout; empty when there is none.
domain::ServiceId serviceOf(const std::string &spec)
{
    boost::json::error_code code;
    const boost::json::value value = boost::json::parse(spec, code);
    const auto *object = code ? nullptr : value.if_object();
    const auto *member = object == nullptr ? nullptr : object->if_contains("service");
    const auto *text = member == nullptr ? nullptr : member->if_string();
    return domain::ServiceId(text == nullptr ? std::string() : std::string(*text));
}

} // namespace

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
    const bool mayWrite = item.spec.empty() || isOperatorOf(serviceOf(item.spec));
    const bool mayReplace = item.currentSpec.empty() || isOperatorOf(serviceOf(item.currentSpec));
    return mayWrite && mayReplace;
}

} // namespace oriolerill::admin
