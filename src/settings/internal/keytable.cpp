#include "settings/internal/keytable.h"

#include <algorithm>
#include <charconv>
#include <chrono>
#include <optional>
#include <sstream>

namespace oriolerill::settings::internal {

using domain::SocketAddress;

namespace {

template<class Number>
std::optional<Number> parseNumber(const std::string &text)
{
    Number number = {};
    const char *const end = text.data() + text.size();
    const auto [stop, status] = std::from_chars(text.data(), end, number);
    if (status != std::errc() || stop != end || text.empty())
        return std::nullopt;
    return number;
}

bool isIdentifier(const std::string &value)
{
    constexpr std::size_t MaxLength = 63;
    const auto isAllowed
            = [](char c) { return (c >= 'a' && c <= 'z') || (c >= '0' && c <= '9') || c == '-'; };
    return !value.empty() && value.size() <= MaxLength
            && std::all_of(value.begin(), value.end(), isAllowed);
}

std::optional<std::vector<SocketAddress>> parseAddresses(const std::string &text)
{
    std::vector<SocketAddress> addresses;
    std::istringstream stream(text);
    std::string part;
    while (std::getline(stream, part, ',')) {
        const std::size_t first = part.find_first_not_of(' ');
        const std::size_t last = part.find_last_not_of(' ');
        if (first == std::string::npos)
            return std::nullopt;
        const auto address = SocketAddress::parse(part.substr(first, last - first + 1));
        if (!address)
            return std::nullopt;
        addresses.push_back(*address);
    }
    return addresses;
}

std::string labelOf(const std::string &section, const std::string &name)
{
    return '[' + section + "] " + name;
}

} // namespace

KeyDescription KeyTable::describe(KeyName key, std::string type, std::string description)
{
    KeyDescription text;
    text.section = std::move(key.section);
    text.name = std::move(key.name);
    text.isRequired = key.isRequired;
    text.type = std::move(type);
    text.description = std::move(description);
    return text;
}

void KeyTable::add(KeyDescription description, Assign assign)
{
    m_descriptions.push_back(std::move(description));
    m_assigns.push_back(std::move(assign));
}

void KeyTable::addIdentifier(KeyName key, std::string description,
        std::function<void(const std::string &value)> setTarget)
{
    KeyDescription text = describe(std::move(key), "name", std::move(description));
    text.range = "1 to 63 characters of a-z, 0-9 and -";
    add(std::move(text), [setTarget = std::move(setTarget)](const std::string &value) {
        if (!isIdentifier(value))
            return false;
        setTarget(value);
        return true;
    });
}

void KeyTable::addNumber(KeyDescription description, NumberRange range, std::uint64_t defaultValue,
        std::function<void(std::uint64_t)> setTarget)
{
    description.range = std::to_string(range.minimum) + " to " + std::to_string(range.maximum);
    if (!description.isRequired)
        description.defaultValue = std::to_string(defaultValue);
    add(std::move(description),
            [range, setTarget = std::move(setTarget)](const std::string &value) {
                const auto number = parseNumber<std::uint64_t>(value);
                if (!number || *number < range.minimum || *number > range.maximum)
                    return false;
                setTarget(*number);
                return true;
            });
}

void KeyTable::integer(KeyName key, std::uint32_t &target, NumberRange range, std::string unit,
        std::string description)
{
    KeyDescription text = describe(std::move(key), "whole number", std::move(description));
    text.unit = std::move(unit);
    addNumber(std::move(text), range, target,
            [&target](std::uint64_t number) { target = static_cast<std::uint32_t>(number); });
}

void KeyTable::bytes(KeyName key, domain::Bytes &target, NumberRange range, std::string description)
{
    KeyDescription text = describe(std::move(key), "whole number", std::move(description));
    text.unit = "bytes";
    addNumber(std::move(text), range, target.count(),
            [&target](std::uint64_t number) { target = domain::Bytes(number); });
}

void KeyTable::duration(
        KeyName key, domain::Duration &target, NumberRange range, std::string description)
{
    using std::chrono::milliseconds;
    KeyDescription text = describe(std::move(key), "whole number", std::move(description));
    text.unit = "ms";
    const auto defaultValue = std::chrono::duration_cast<milliseconds>(target).count();
    addNumber(std::move(text), range, static_cast<std::uint64_t>(defaultValue),
            [&target](std::uint64_t number) { target = milliseconds(number); });
}

void KeyTable::ratio(KeyName key, double &target, std::string description)
{
    KeyDescription text = describe(std::move(key), "number", std::move(description));
    text.unit = "share of 1";
    text.range = "above 0 and below 1";
    std::ostringstream defaultValue;
    defaultValue << target;
    text.defaultValue = defaultValue.str();
    add(std::move(text), [&target](const std::string &value) {
        const auto number = parseNumber<double>(value);
        if (!number || !(*number > 0.0 && *number < 1.0))
            return false;
        target = *number;
        return true;
    });
}

void KeyTable::number(KeyName key, double &target, std::string unit, std::string description)
{
    KeyDescription text = describe(std::move(key), "number", std::move(description));
    text.unit = std::move(unit);
    // A time of up to this many seconds is within the range of a time point.
    constexpr double MaxNumber = 1e9;
    text.range = "0 to 1000000000";
    std::ostringstream defaultValue;
    defaultValue << target;
    text.defaultValue = defaultValue.str();
    add(std::move(text), [&target](const std::string &value) {
        const auto number = parseNumber<double>(value);
        if (!number || !(*number >= 0.0 && *number <= MaxNumber))
            return false;
        target = *number;
        return true;
    });
}

void KeyTable::pairs(
        KeyName key, std::map<std::string, std::string> &target, std::string description)
{
    KeyDescription text = describe(std::move(key), "list of pairs", std::move(description));
    text.range = "name=value, separated by commas";
    add(std::move(text), [&target](const std::string &value) {
        std::istringstream stream(value);
        target.clear();
        for (std::string part; std::getline(stream, part, ',');) {
            const std::size_t equals = part.find('=');
            if (equals == std::string::npos || equals == 0 || equals + 1 == part.size())
                return false;
            target[part.substr(0, equals)] = part.substr(equals + 1);
        }
        return !target.empty();
    });
}

void KeyTable::address(KeyName key, SocketAddress &target, std::string description)
{
    KeyDescription text = describe(std::move(key), "address", std::move(description));
    text.range = "IPv4 address and port, as 127.0.0.1:8080";
    add(std::move(text), [&target](const std::string &value) {
        const auto address = SocketAddress::parse(value);
        if (address)
            target = *address;
        return address.has_value();
    });
}

void KeyTable::addresses(KeyName key, std::vector<SocketAddress> &target, std::string description)
{
    KeyDescription text = describe(std::move(key), "list of addresses", std::move(description));
    text.range = "IPv4 addresses with ports, separated by commas";
    add(std::move(text), [&target](const std::string &value) {
        auto addresses = parseAddresses(value);
        if (addresses)
            target = std::move(*addresses);
        return addresses.has_value();
    });
}

void KeyTable::host(KeyName key, std::string &target, std::string description)
{
    KeyDescription text = describe(std::move(key), "host", std::move(description));
    text.range = "IPv4 address, as 127.0.0.1";
    add(std::move(text), [&target](const std::string &value) {
        if (!SocketAddress::parse(value + ":0"))
            return false;
        target = value;
        return true;
    });
}

void KeyTable::digest(KeyName key, domain::Digest &target, std::string description)
{
    KeyDescription text = describe(std::move(key), "digest", std::move(description));
    text.range = "64 hexadecimal digits";
    add(std::move(text), [&target](const std::string &value) {
        const auto digest = domain::Digest::fromHex(value);
        if (digest)
            target = *digest;
        return digest.has_value();
    });
}

void KeyTable::text(KeyName key, std::string &target, std::string description)
{
    KeyDescription text = describe(std::move(key), "text", std::move(description));
    text.range = "not empty";
    add(std::move(text), [&target](const std::string &value) {
        target = value;
        return !value.empty();
    });
}

std::vector<SettingsProblem> KeyTable::assign(const SettingsFile &file) const
{
    std::vector<SettingsProblem> problems = file.problems();
    std::vector<bool> seen(m_descriptions.size(), false);
    for (const SettingsLine &line : file.lines()) {
        const auto found = assignLine(file.name(), line, seen);
        problems.insert(problems.end(), found.begin(), found.end());
    }
    const auto byLine
            = [](const SettingsProblem &a, const SettingsProblem &b) { return a.line < b.line; };
    std::stable_sort(problems.begin(), problems.end(), byLine);
    for (std::size_t i = 0; i < m_descriptions.size(); ++i) {
        const KeyDescription &key = m_descriptions[i];
        if (!key.isRequired || seen[i])
            continue;
        problems.push_back({file.name(), 0, labelOf(key.section, key.name) + " is missing",
                "add it: " + key.description + " (" + key.range + ')'});
    }
    return problems;
}

std::vector<SettingsProblem> KeyTable::assignLine(
        const std::string &file, const SettingsLine &line, std::vector<bool> &seen) const
{
    if (!hasSection(line.section)) {
        if (!line.key.empty())
            return {};
        return {{file, line.number, "section [" + line.section + "] is unknown",
                "use one of: " + sections()}};
    }
    if (line.key.empty())
        return {};
    const auto found = std::find_if(
            m_descriptions.begin(), m_descriptions.end(), [&](const KeyDescription &key) {
                return key.section == line.section && key.name == line.key;
            });
    if (found == m_descriptions.end()) {
        return {{file, line.number, labelOf(line.section, line.key) + " is unknown",
                "use one of: " + keysOf(line.section)}};
    }
    const auto index = static_cast<std::size_t>(found - m_descriptions.begin());
    seen[index] = true;
    if (m_assigns[index](line.value))
        return {};
    return {{file, line.number,
            labelOf(line.section, line.key) + " has the bad value \"" + line.value + '"',
            "give a " + found->type + ": " + found->range
                    + (found->unit.empty() ? "" : " (" + found->unit + ')')}};
}

bool KeyTable::hasSection(const std::string &section) const
{
    return std::any_of(m_descriptions.begin(), m_descriptions.end(),
            [&](const KeyDescription &key) { return key.section == section; });
}

std::string KeyTable::keysOf(const std::string &section) const
{
    std::string names;
    for (const KeyDescription &key : m_descriptions) {
        if (key.section == section)
            names += (names.empty() ? "" : ", ") + key.name;
    }
    return names;
}

std::string KeyTable::sections() const
{
    std::string names;
    std::string last;
    for (const KeyDescription &key : m_descriptions) {
        if (key.section != last)
            names += (names.empty() ? "[" : ", [") + key.section + ']';
        last = key.section;
    }
    return names;
}

} // namespace oriolerill::settings::internal
