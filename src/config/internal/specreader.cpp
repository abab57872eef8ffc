#include "config/internal/specreader.h"

#include <boost/json.hpp>

#include <algorithm>

namespace oriolerill::config::internal {

namespace json = boost::json;

SpecReader::SpecReader(const json::object &object, std::string path, std::vector<Problem> &problems)
    : m_object(object)
    , m_path(std::move(path))
    , m_problems(problems)
{}

std::string SpecReader::requiredText(std::string_view name)
{
    const json::value *const value = find(name);
    if (value != nullptr && value->is_string() && !value->get_string().empty())
        return std::string(value->get_string());
    report(name, "is missing or not a text", "give a text of at least one character");
    return {};
}

std::string SpecReader::optionalText(std::string_view name)
{
    const json::value *const value = find(name);
    if (value == nullptr)
        return {};
    if (value->is_string())
        return std::string(value->get_string());
    report(name, "is not a text", "give a text in quotes, or leave it out");
    return {};
}

std::uint32_t SpecReader::number(
        std::string_view name, std::uint32_t fallback, std::uint32_t min, std::uint32_t max)
{
    const json::value *const value = find(name);
    if (value == nullptr)
        return fallback;
    // Integers only: to_number() would cast a double, which may be beyond the range of integers.
    json::error_code code;
    const bool isInteger = value->is_int64() || value->is_uint64();
    const auto given = isInteger ? value->to_number<std::int64_t>(code) : -1;
    if (isInteger && !code && given >= min && given <= max)
        return static_cast<std::uint32_t>(given);
    report(name, "is not a whole number in its range",
            "give a whole number from " + std::to_string(min) + " to " + std::to_string(max));
    return fallback;
}

bool SpecReader::flag(std::string_view name, bool fallback)
{
    const json::value *const value = find(name);
    if (value == nullptr)
        return fallback;
    if (value->is_bool())
        return value->get_bool();
    report(name, "is neither true nor false", "give true or false without quotes");
    return fallback;
}

domain::Digest SpecReader::digest(std::string_view name)
{
    const json::value *const value = find(name);
    const std::optional<domain::Digest> digest = value != nullptr && value->is_string()
            ? domain::Digest::fromHex(std::string_view(value->get_string()))
            : std::nullopt;
    if (digest && !digest->isNone())
        return *digest;
    report(name, "is not a SHA-256 digest", "give 64 hexadecimal digits");
    return {};
}

std::set<std::string> SpecReader::texts(std::string_view name)
{
    std::set<std::string> texts;
    const json::array *const values = array(name);
    if (values == nullptr)
        return texts;
    for (std::size_t i = 0; i < values->size(); ++i) {
        const json::value &value = (*values)[i];
        if (value.is_string() && !value.get_string().empty())
            texts.emplace(value.get_string());
        else
            report(std::string(name) + '[' + std::to_string(i) + ']', "is not a text",
                    "give a text of at least one character");
    }
    return texts;
}

const json::array *SpecReader::array(std::string_view name)
{
    const json::value *const value = find(name);
    if (value == nullptr)
        return nullptr;
    if (!value->is_array())
        report(name, "is not a list", "give a list in square brackets");
    return value->if_array();
}

void SpecReader::finish()
{
    for (const json::key_value_pair &member : m_object) {
        const std::string_view name(member.key().data(), member.key().size());
        if (!m_knownMembers.contains(name))
            report(name, "is not known here", "check the spelling, or remove it");
    }
}

void SpecReader::report(std::string_view name, std::string message, std::string remedy)
{
    std::string path = m_path;
    if (!path.empty())
        path += '.';
    path += name;
    m_problems.push_back({std::move(path), std::move(message), std::move(remedy)});
}

const json::value *SpecReader::find(std::string_view name)
{
    m_knownMembers.emplace(name);
    return m_object.if_contains(json::string_view(name.data(), name.size()));
}

} // namespace oriolerill::config::internal
