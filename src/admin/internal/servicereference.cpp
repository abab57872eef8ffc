#include "admin/internal/servicereference.h"

#include <boost/json/parse.hpp>
#include <boost/json/value.hpp>

namespace oriolerill::admin::internal {

namespace {

domain::ServiceId serviceMember(const std::string &spec)
{
    boost::json::error_code code;
    const boost::json::value value = boost::json::parse(spec, code);
    const auto *object = code ? nullptr : value.if_object();
    const auto *member = object == nullptr ? nullptr : object->if_contains("service");
    const auto *text = member == nullptr ? nullptr : member->if_string();
    return domain::ServiceId(text == nullptr ? std::string() : std::string(*text));
}

} // namespace

domain::ServiceId referencedService(
        const std::string &kind, const std::string &name, const std::string &spec)
{
    if (kind == "limit")
        return domain::ServiceId(name);
    return kind == "rollout" ? serviceMember(spec) : domain::ServiceId();
}

} // namespace oriolerill::admin::internal
