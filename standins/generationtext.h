#pragma once

#include <cstdint>
#include <string>
#include <string_view>

namespace oriolerill::standins {

/// Length of every token in bytes.
constexpr std::size_t TokenSize = 26;

/// The token at this index of the answer to a prompt by a model with this manifest digest. Each
/// token begins with the first 8 digits of the digest, so that mixed answers are recognised.
std::string generationToken(
        std::string_view manifestDigest, std::string_view prompt, std::uint64_t index);

/// The whole answer.
std::string generationText(
        std::string_view manifestDigest, std::string_view prompt, std::uint64_t tokens);

/// True when the text names more than one digest.
bool isMixedText(std::string_view text);

/// The stock of an item, which every order service answers alike.
std::uint64_t stockOf(std::string_view item);

} // namespace oriolerill::standins
