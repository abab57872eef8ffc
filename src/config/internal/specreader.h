#pragma once

#include "config/configitem.h"

#include <boost/json/object.hpp>

#include <cstdint>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace oriolerill::config::internal {

/// Reads typed members of a JSON object and collects all problems instead of stopping at the first.
class SpecReader
{
public:
    SpecReader(const boost::json::object &object, std::string path, std::vector<Problem> &problems);

    /// Reads a required string of at least one character.
    std::string requiredText(std::string_view name);
    std::string optionalText(std::string_view name);
    std::uint32_t number(
            std::string_view name, std::uint32_t fallback, std::uint32_t min, std::uint32_t max);
    bool flag(std::string_view name, bool fallback);
    domain::Digest digest(std::string_view name);
    std::set<std::string> texts(std::string_view name);
    const boost::json::array *array(std::string_view name);
    /// Marks a member that is read elsewhere as known.
    void allow(std::string_view name) { m_knownMembers.emplace(name); }
    /// Reports the members that have not been read; otherwise a misspelt name would silently select
    /// the default.
    void finish();

    void report(std::string_view name, std::string message, std::string remedy);

private:
    const boost::json::value *find(std::string_view name);

    const boost::json::object &m_object;
    std::string m_path;
    std::vector<Problem> &m_problems;
    std::set<std::string, std::less<>> m_knownMembers;
};

} // namespace oriolerill::config::internal
