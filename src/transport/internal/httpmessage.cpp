#include "transport/httpmessage.h"

#include <algorithm>
#include <cctype>

namespace oriolerill::transport {

namespace {

bool equalsWithoutCase(std::string_view a, std::string_view b)
{
    return std::equal(a.begin(), a.end(), b.begin(), b.end(),
            [](unsigned char x, unsigned char y) { return std::tolower(x) == std::tolower(y); });
}

} // namespace

void HttpFields::add(std::string name, std::string value)
{
    m_fields.push_back(HttpField{std::move(name), std::move(value)});
}

std::optional<std::string> HttpFields::value(std::string_view name) const
{
    for (const HttpField &field : m_fields) {
        if (equalsWithoutCase(field.name, name))
            return field.value;
    }
    return std::nullopt;
}

std::string HttpFields::valueOr(std::string_view name, std::string_view fallback) const
{
    return value(name).value_or(std::string(fallback));
}

bool isValidStatus(unsigned status)
{
    constexpr unsigned FirstStatus = 100;
    constexpr unsigned LastStatus = 599;
    return status >= FirstStatus && status <= LastStatus;
}

} // namespace oriolerill::transport
