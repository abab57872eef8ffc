#pragma once

#include "settings/settingsproblem.h"

#include <cstddef>
#include <string>
#include <string_view>
#include <vector>

namespace oriolerill::settings::internal {

struct SettingsLine
{
    std::string section;
    /// Empty for the line that opens the section.
    std::string key;
    std::string value;
    std::size_t number = 0;
};

/// The lines of an INI file with their numbers, and its syntax errors.
///
/// Boost.PropertyTree is not used because it drops line numbers and stops at the first problem.
class SettingsFile
{
public:
    SettingsFile(std::string name, std::string_view text);

    const std::string &name() const { return m_name; }
    const std::vector<SettingsLine> &lines() const { return m_lines; }
    const std::vector<SettingsProblem> &problems() const { return m_problems; }

private:
    void readLine(std::string_view line);
    void openSection(std::string_view line);
    void readKey(std::string_view line);
    void addProblem(std::string message, std::string remedy);

    std::string m_name;
    std::vector<SettingsLine> m_lines;
    std::vector<SettingsProblem> m_problems;
    std::string m_section;
    std::size_t m_number = 0;
};

} // namespace oriolerill::settings::internal
