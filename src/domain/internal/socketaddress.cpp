#include "domain/socketaddress.h"

#include <array>
#include <charconv>

namespace oriolerill::domain {

namespace {

std::optional<unsigned> parseNumber(std::string_view text, unsigned max)
{
    unsigned number = 0;
    const auto [end, status] = std::from_chars(text.data(), text.data() + text.size(), number);
    if (status != std::errc() || end != text.data() + text.size() || number > max)
        return std::nullopt;
    return number;
}

bool isIpv4(std::string_view text)
{
    constexpr unsigned MaxOctet = 255;
    for (int octet = 0; octet < 4; ++octet) {
        const std::size_t dot = text.find('.');
        if ((dot == std::string_view::npos) != (octet == 3))
            return false;
        const std::string_view number = text.substr(0, dot);
        // As in inet_pton(): other parsers read a number with a leading zero as octal.
        const bool isPadded = number.size() > 1 && number.front() == '0';
        if (isPadded || !parseNumber(number, MaxOctet))
            return false;
        if (octet < 3)
            text.remove_prefix(dot + 1);
    }
    return true;
}

} // namespace

std::optional<SocketAddress> SocketAddress::parse(std::string_view text)
{
    constexpr unsigned MaxPort = 65535;
    const std::size_t colon = text.rfind(':');
    if (colon == std::string_view::npos || !isIpv4(text.substr(0, colon)))
        return std::nullopt;
    const std::optional<unsigned> port = parseNumber(text.substr(colon + 1), MaxPort);
    if (!port)
        return std::nullopt;
    return SocketAddress{std::string(text.substr(0, colon)), static_cast<std::uint16_t>(*port)};
}

std::string SocketAddress::toString() const
{
    return host + ':' + std::to_string(port);
}

} // namespace oriolerill::domain
