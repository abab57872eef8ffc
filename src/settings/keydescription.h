#pragma once

#include <string>

namespace oriolerill::settings {

/// Documentation of one key of a settings file.
struct KeyDescription
{
    std::string section;
    std::string name;
    std::string type;
    std::string unit;
    std::string range;
    /// Empty when there is no default.
    std::string defaultValue;
    std::string description;
    bool isRequired = false;
};

} // namespace oriolerill::settings
