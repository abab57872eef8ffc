#include "domain/digest.h"

#include <openssl/sha.h>

#include <algorithm>

namespace oriolerill::domain {

namespace {

int hexValue(char c)
{
    if (c >= '0' && c <= '9')
        return c - '0';
    if (c >= 'a' && c <= 'f')
        return c - 'a' + 10;
    if (c >= 'A' && c <= 'F')
        return c - 'A' + 10;
    return -1;
}

} // namespace

Digest Digest::of(std::span<const std::byte> data)
{
    Array bytes = {};
    SHA256(reinterpret_cast<const unsigned char *>(data.data()), data.size(), bytes.data());
    return Digest(bytes);
}

Digest Digest::of(std::string_view data)
{
    return of(std::as_bytes(std::span(data.data(), data.size())));
}

std::optional<Digest> Digest::fromHex(std::string_view text)
{
    if (text.size() != 2 * Size)
        return std::nullopt;
    Array bytes = {};
    for (std::size_t i = 0; i < Size; ++i) {
        const int high = hexValue(text[2 * i]);
        const int low = hexValue(text[2 * i + 1]);
        if (high < 0 || low < 0)
            return std::nullopt;
        bytes[i] = static_cast<std::uint8_t>(high * 16 + low);
    }
    return Digest(bytes);
}

std::optional<Digest> Digest::fromBytes(std::string_view raw)
{
    if (raw.size() != Size)
        return std::nullopt;
    Array bytes = {};
    std::transform(raw.begin(), raw.end(), bytes.begin(),
            [](char c) { return static_cast<std::uint8_t>(c); });
    return Digest(bytes);
}

std::string Digest::hex() const
{
    static constexpr char Digits[] = "0123456789abcdef";
    std::string text;
    text.reserve(2 * Size);
    for (const std::uint8_t byte : m_bytes) {
        text.push_back(Digits[byte >> 4]);
        text.push_back(Digits[byte & 0x0f]);
    }
    return text;
}

std::string Digest::bytes() const
{
    return std::string(m_bytes.begin(), m_bytes.end());
}

} // namespace oriolerill::domain
