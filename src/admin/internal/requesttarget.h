#pragma once

#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace oriolerill::admin::internal {

/// Path segments and query parameters of a request's target, percent-decoded.
class RequestTarget
{
public:
    explicit RequestTarget(std::string_view target);

    const std::vector<std::string> &segments() const { return m_segments; }
    /// Empty when the parameter is missing.
    std::string parameter(const std::string &name) const;
    /// The path in its decoded form.
    std::string path() const;

private:
    std::vector<std::string> m_segments;
    std::map<std::string, std::string> m_parameters;
};

} // namespace oriolerill::admin::internal
