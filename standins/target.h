#pragma once

#include "transport/httpmessage.h"

#include <cstdint>
#include <map>
#include <string>
#include <string_view>

namespace oriolerill::standins {

/// The decoded path and query of a request target.
class Target
{
public:
    explicit Target(const std::string &text);

    const std::string &path() const { return m_path; }
    bool startsWith(std::string_view prefix) const { return m_path.starts_with(prefix); }
    std::string after(std::string_view prefix) const { return m_path.substr(prefix.size()); }

    bool has(const std::string &name) const { return m_parameters.count(name) > 0; }
    std::string text(const std::string &name, const std::string &fallback = {}) const;
    std::int64_t number(const std::string &name, std::int64_t fallback = 0) const;

private:
    std::string m_path;
    std::map<std::string, std::string> m_parameters;
};

transport::HttpResponse textResponse(std::string body, unsigned status = 200);
transport::HttpResponse jsonResponse(std::string body, unsigned status = 200);

} // namespace oriolerill::standins
