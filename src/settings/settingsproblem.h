#pragma once

#include <cstddef>
#include <ostream>
#include <string>

namespace oriolerill::settings {

/// A problem in a settings file.
struct SettingsProblem
{
    std::string file;
    /// Line number from 1; 0 when the problem is not in a line, for example a missing key.
    std::size_t line = 0;
    std::string message;
    std::string remedy;

    friend bool operator==(const SettingsProblem &, const SettingsProblem &) = default;
    friend std::ostream &operator<<(std::ostream &stream, const SettingsProblem &problem)
    {
        stream << problem.file;
        if (problem.line > 0)
            stream << ':' << problem.line;
        return stream << ": " << problem.message << "; " << problem.remedy;
    }
};

} // namespace oriolerill::settings
