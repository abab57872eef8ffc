#pragma once

#include <cstdint>
#include <string>
#include <string_view>

namespace oriolerill::standins {

/// Length of each token in bytes.
constexpr std::size_t TokenSize = 26;

/// The token at this index of the answer to a prompt by a model with this manifest digest. Each
/// token begins with the first 8 digits of the digest, so that a mixed answer is detected.
std::string generationToken(
        std::string_view manifestDigest, std::string_view prompt, std::uint64_t index);

/// The complete answer.
std::string generationText(
        std::string_view manifestDigest, std::string_view prompt, std::uint64_t tokens);

/// True when the tokens contain more than one digest.
bool isMixedText(std::string_view text);

/// The stock of an item; the same in every order service.
std::uint64_t stockOf(std::string_view item);

} // namespace oriolerill::standins
