#include "transport/percentencoding.h"

#include <charconv>

namespace oriolerill::transport {

std::string percentEncoded(std::string_view text, std::string_view alsoPlain)
{
    constexpr std::string_view Digits = "0123456789ABCDEF";
    constexpr std::string_view Unreserved = "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz"
                                            "0123456789-._~";
    std::string encoded;
    for (const char c : text) {
        if (Unreserved.find(c) != std::string_view::npos
                || alsoPlain.find(c) != std::string_view::npos) {
            encoded += c;
            continue;
        }
        const auto byte = static_cast<unsigned char>(c);
        encoded += '%';
        encoded += Digits[byte >> 4U];
        encoded += Digits[byte & 0x0fU];
    }
    return encoded;
}

std::string percentDecoded(std::string_view text)
{
    constexpr int Hexadecimal = 16;
    std::string decoded;
    for (std::size_t i = 0; i < text.size(); ++i) {
        unsigned code = 0;
        const bool isEscape = text[i] == '%' && i + 2 < text.size();
        const char *const digits = text.data() + i + 1;
        if (isEscape && std::from_chars(digits, digits + 2, code, Hexadecimal).ptr == digits + 2) {
            decoded += static_cast<char>(code);
            i += 2;
        } else {
            decoded += text[i];
        }
    }
    return decoded;
}

} // namespace oriolerill::transport
