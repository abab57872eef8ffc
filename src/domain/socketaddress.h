#pragma once

#include <compare>
#include <cstdint>
#include <functional>
#include <optional>
#include <ostream>
#include <string>
#include <string_view>

namespace oriolerill::domain {

/// An IPv4 address with a TCP or UDP port.
struct SocketAddress
{
    std::string host;
    std::uint16_t port = 0;

    /// Parses text such as "127.0.0.1:8080"; empty if it has another form.
    static std::optional<SocketAddress> parse(std::string_view text);
    std::string toString() const;
    bool isEmpty() const { return host.empty(); }

    friend auto operator<=>(const SocketAddress &, const SocketAddress &) = default;
    friend std::ostream &operator<<(std::ostream &stream, const SocketAddress &address)
    {
        return stream << address.toString();
    }
};

} // namespace oriolerill::domain

template<>
struct std::hash<oriolerill::domain::SocketAddress>
{
    std::size_t operator()(const oriolerill::domain::SocketAddress &address) const noexcept
    {
        return std::hash<std::string>{}(address.host) * 31U + address.port;
    }
};
