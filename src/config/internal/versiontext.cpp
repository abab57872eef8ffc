#include "config/versiontext.h"

#include <charconv>

namespace oriolerill::config {

namespace {

std::optional<std::uint64_t> parseNumber(std::string_view text)
{
    std::uint64_t number = 0;
    const auto [end, status] = std::from_chars(text.data(), text.data() + text.size(), number);
    if (status != std::errc() || end != text.data() + text.size())
        return std::nullopt;
    return number;
}

} // namespace

std::optional<domain::ConfigVersion> parseVersion(std::string_view text)
{
    const std::size_t dot = text.find('.');
    if (dot == std::string_view::npos)
        return std::nullopt;
    const std::optional<std::uint64_t> epoch = parseNumber(text.substr(0, dot));
    const std::optional<std::uint64_t> revision = parseNumber(text.substr(dot + 1));
    if (!epoch || !revision)
        return std::nullopt;
    return domain::ConfigVersion{*epoch, *revision};
}

std::string toText(const domain::ConfigVersion &version)
{
    return std::to_string(version.epoch) + '.' + std::to_string(version.revision);
}

domain::ConfigVersion fromProtocol(const protocol::Version &version)
{
    return {version.epoch(), version.revision()};
}

void toProtocol(const domain::ConfigVersion &version, protocol::Version *message)
{
    message->set_epoch(version.epoch);
    message->set_revision(version.revision);
}

} // namespace oriolerill::config
