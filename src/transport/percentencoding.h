#pragma once

#include <string>
#include <string_view>

namespace oriolerill::transport {

/// Reserved characters that stand for themselves in a segment of a path (RFC 3986, 3.3).
constexpr std::string_view PlainInSegment = ":@";

/// Percent-encodes every byte that is neither unreserved (RFC 3986, 2.3) nor in `alsoPlain`.
std::string percentEncoded(std::string_view text, std::string_view alsoPlain = {});
/// Decodes percent-encoded text; a "%" without two hexadecimal digits after it is kept.
std::string percentDecoded(std::string_view text);

} // namespace oriolerill::transport
