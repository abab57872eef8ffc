#pragma once

#include <string_view>

namespace oriolerill::observability {

/// Commit that this program was built from, with "+changes" if its sources were changed; "unknown"
/// if it was built outside a checkout.
std::string_view buildRevision();

} // namespace oriolerill::observability
