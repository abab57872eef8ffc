#pragma once

#include "domain/configversion.h"

#include <optional>
#include <string>
#include <string_view>

namespace oriolerill::admin::internal {

/// "<epoch>.<revision>".
std::string toText(const domain::ConfigVersion &version);
/// Empty for any other text. Quotes, as in an entity tag, are dropped.
std::optional<domain::ConfigVersion> parseVersion(std::string_view text);

} // namespace oriolerill::admin::internal
