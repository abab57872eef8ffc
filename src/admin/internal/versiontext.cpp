#include "admin/internal/versiontext.h"

#include <charconv>
#include <cstdint>

namespace oriolerill::admin::internal {

namespace {

std::optional<std::uint64_t> parseNumber(std::string_view text)
{
    std::uint64_t number = 0;
    const char *const end = text.data() + text.size();
    const auto [stop, status] = std::from_chars(text.data(), end, number);
    if (status != std::errc() || stop != end)
        return std::nullopt;
    return number;
}

} // namespace

std::string toText(const domain::ConfigVersion &version)
{
    return std::to_string(version.epoch) + '.' + std::to_string(version.revision);
}

std::optional<domain::ConfigVersion> parseVersion(std::string_view text)
{
    if (text.size() >= 2 && text.front() == '"' && text.back() == '"')
        text = text.substr(1, text.size() - 2);
    const std::size_t dot = text.find('.');
    if (dot == std::string_view::npos)
        return std::nullopt;
    const auto epoch = parseNumber(text.substr(0, dot));
    const auto revision = parseNumber(text.substr(dot + 1));
    if (!epoch || !revision)
        return std::nullopt;
    return domain::ConfigVersion{*epoch, *revision};
}

} // namespace oriolerill::admin::internal
