#include "settings/internal/settingsfile.h"

#include <algorithm>
#include <utility>

namespace oriolerill::settings::internal {

namespace {

std::string_view trimmed(std::string_view text)
{
    constexpr std::string_view Blanks = " \t\r";
    const std::size_t first = text.find_first_not_of(Blanks);
    if (first == std::string_view::npos)
        return {};
    return text.substr(first, text.find_last_not_of(Blanks) - first + 1);
}

} // namespace

SettingsFile::SettingsFile(std::string name, std::string_view text)
    : m_name(std::move(name))
{
    while (!text.empty()) {
        const std::size_t end = std::min(text.find('\n'), text.size());
        ++m_number;
        readLine(trimmed(text.substr(0, end)));
        text.remove_prefix(std::min(end + 1, text.size()));
    }
}

void SettingsFile::readLine(std::string_view line)
{
    if (line.empty() || line.front() == '#' || line.front() == ';')
        return;
    if (line.front() == '[')
        openSection(line);
    else
        readKey(line);
}

void SettingsFile::openSection(std::string_view line)
{
    if (line.back() != ']') {
        addProblem("the section header has no closing bracket", "write it as [section]");
        return;
    }
    m_section = trimmed(line.substr(1, line.size() - 2));
    const auto earlier = std::find_if(m_lines.begin(), m_lines.end(),
            [&](const SettingsLine &seen) { return seen.section == m_section; });
    if (earlier != m_lines.end()) {
        addProblem("section [" + m_section + "] is repeated; it began at line "
                        + std::to_string(earlier->number),
                "put all its keys into one section");
    }
    m_lines.push_back({m_section, {}, {}, m_number});
}

void SettingsFile::readKey(std::string_view line)
{
    const std::size_t equals = line.find('=');
    if (equals == std::string_view::npos) {
        addProblem("the line is neither a section nor a key", "write it as key = value");
        return;
    }
    const std::string key(trimmed(line.substr(0, equals)));
    if (m_section.empty() || key.empty()) {
        addProblem("the key has no " + std::string(key.empty() ? "name" : "section"),
                "write it as key = value below a [section]");
        return;
    }
    const auto earlier = std::find_if(m_lines.begin(), m_lines.end(),
            [&](const SettingsLine &seen) { return seen.section == m_section && seen.key == key; });
    if (earlier != m_lines.end()) {
        addProblem("[" + m_section + "] " + key + " is set twice; first at line "
                        + std::to_string(earlier->number),
                "remove one of the two lines");
        return;
    }
    m_lines.push_back({m_section, key, std::string(trimmed(line.substr(equals + 1))), m_number});
}

void SettingsFile::addProblem(std::string message, std::string remedy)
{
    m_problems.push_back({m_name, m_number, std::move(message), std::move(remedy)});
}

} // namespace oriolerill::settings::internal
