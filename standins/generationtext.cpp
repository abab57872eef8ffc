#include "generationtext.h"

#include <xxhash.h>

#include <array>
#include <cstdio>

namespace oriolerill::standins {

namespace {

constexpr std::size_t DigestDigits = 8;

} // namespace

std::string generationToken(
        std::string_view manifestDigest, std::string_view prompt, std::uint64_t index)
{
    const std::uint64_t promptHash = XXH64(prompt.data(), prompt.size(), index);
    const std::uint64_t hash = XXH64(manifestDigest.data(), manifestDigest.size(), promptHash);
    std::array<char, TokenSize + 1> token = {};
    std::snprintf(token.data(), token.size(), "%-8.8s:%016llx ",
            std::string(manifestDigest.substr(0, DigestDigits)).c_str(),
            static_cast<unsigned long long>(hash));
    return std::string(token.data(), TokenSize);
}

std::string generationText(
        std::string_view manifestDigest, std::string_view prompt, std::uint64_t tokens)
{
    std::string text;
    text.reserve(tokens * TokenSize);
    for (std::uint64_t index = 0; index < tokens; ++index)
        text += generationToken(manifestDigest, prompt, index);
    return text;
}

bool isMixedText(std::string_view text)
{
    const std::string_view first = text.substr(0, DigestDigits);
    for (std::size_t at = 0; at + DigestDigits <= text.size(); at += TokenSize) {
        if (text.substr(at, DigestDigits) != first)
            return true;
    }
    return false;
}

std::uint64_t stockOf(std::string_view item)
{
    constexpr std::uint64_t MaxStock = 1000;
    return XXH64(item.data(), item.size(), 0) % MaxStock;
}

} // namespace oriolerill::standins
