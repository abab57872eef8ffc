#include "target.h"

#include <boost/url/parse.hpp>
#include <boost/url/url_view.hpp>

#include <charconv>
#include <utility>

namespace oriolerill::standins {

Target::Target(const std::string &text)
{
    const auto parsed = boost::urls::parse_origin_form(text);
    if (!parsed)
        return;
    m_path = parsed->path();
    for (const auto &parameter : parsed->params())
        m_parameters[parameter.key] = parameter.value;
}

std::string Target::text(const std::string &name, const std::string &fallback) const
{
    const auto it = m_parameters.find(name);
    return it == m_parameters.end() ? fallback : it->second;
}

std::int64_t Target::number(const std::string &name, std::int64_t fallback) const
{
    const std::string value = text(name);
    std::int64_t result = fallback;
    std::from_chars(value.data(), value.data() + value.size(), result);
    return result;
}

transport::HttpResponse textResponse(std::string body, unsigned status)
{
    transport::HttpResponse response;
    response.status = status;
    response.fields.add("Content-Type", "text/plain");
    response.body = std::move(body);
    return response;
}

transport::HttpResponse jsonResponse(std::string body, unsigned status)
{
    transport::HttpResponse response;
    response.status = status;
    response.fields.add("Content-Type", "application/json");
    response.body = std::move(body);
    return response;
}

} // namespace oriolerill::standins
