#include "soaktemplate.h"

#include <boost/json/serialize.hpp>
#include <boost/json/value.hpp>

#include <stdexcept>

namespace oriolerill::standins {

namespace json = boost::json;

namespace {

std::string textOf(const json::value &value)
{
    return value.is_string() ? std::string(value.get_string()) : json::serialize(value);
}

const json::value &find(const json::object &fields, const std::string &path)
{
    const std::size_t dot = path.find('.');
    const json::value &value = fields.at(path.substr(0, dot));
    if (dot == std::string::npos)
        return value;
    const std::string rest = path.substr(dot + 1);
    return value.is_array() ? value.at(std::stoul(rest)) : find(value.as_object(), rest);
}

std::string renderSection(const std::string &text, const json::object &table)
{
    std::string result;
    std::size_t left = table.size();
    for (const auto &[key, value] : table) {
        --left;
        std::string part = text;
        const auto replace = [&part](const std::string &name, const std::string &by) {
            for (std::size_t at = part.find(name); at != std::string::npos; at = part.find(name))
                part.replace(at, name.size(), by);
        };
        replace("{{@}}", std::string(key));
        replace("{{.}}", textOf(value));
        replace("{{,}}", left > 0 ? "," : "");
        result += part;
    }
    return result;
}

} // namespace

std::string renderTemplate(const std::string &text, const json::object &fields)
{
    const std::string open = "{{";
    const std::string close = "}}";
    std::string result;
    std::size_t at = 0;
    for (;;) {
        const std::size_t begin = text.find(open, at);
        if (begin == std::string::npos)
            return result + text.substr(at);
        result += text.substr(at, begin - at);
        const std::size_t end = text.find(close, begin);
        if (end == std::string::npos)
            throw std::runtime_error("unterminated placeholder in the template");
        const std::string name = text.substr(begin + open.size(), end - begin - open.size());
        at = end + close.size();
        if (!name.starts_with('#')) {
            result += textOf(find(fields, name));
            continue;
        }
        const std::string closing = "{{/" + name.substr(1) + "}}";
        const std::size_t sectionEnd = text.find(closing, at);
        if (sectionEnd == std::string::npos)
            throw std::runtime_error("unterminated section " + name + " in the template");
        result += renderSection(
                text.substr(at, sectionEnd - at), find(fields, name.substr(1)).as_object());
        at = sectionEnd + closing.size();
    }
}

} // namespace oriolerill::standins
