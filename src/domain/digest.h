#pragma once

#include <array>
#include <compare>
#include <cstddef>
#include <cstdint>
#include <cstring>
#include <functional>
#include <optional>
#include <span>
#include <string>
#include <string_view>

namespace oriolerill::domain {

/// A SHA-256 digest; the all-zero value means "none".
class Digest
{
public:
    static constexpr std::size_t Size = 32;
    using Array = std::array<std::uint8_t, Size>;

    Digest() = default;
    explicit Digest(const Array &bytes)
        : m_bytes(bytes)
    {}

    /// Digest of the given data.
    static Digest of(std::span<const std::byte> data);
    static Digest of(std::string_view data);
    /// Parses 64 hexadecimal digits; empty if the text has another form.
    static std::optional<Digest> fromHex(std::string_view text);
    /// Reads 32 raw bytes; empty if the length differs.
    static std::optional<Digest> fromBytes(std::string_view raw);

    std::string hex() const;
    std::string bytes() const;
    bool isNone() const { return *this == Digest(); }

    friend auto operator<=>(const Digest &, const Digest &) = default;

private:
    Array m_bytes = {};
};

} // namespace oriolerill::domain

template<>
struct std::hash<oriolerill::domain::Digest>
{
    std::size_t operator()(const oriolerill::domain::Digest &digest) const noexcept
    {
        // The bytes of a digest are uniformly distributed, so its first word is a good hash.
        std::size_t word = 0;
        const std::string raw = digest.bytes();
        std::memcpy(&word, raw.data(), sizeof word);
        return word;
    }
};
