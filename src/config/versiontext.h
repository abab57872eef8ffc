#pragma once

#include "domain/configversion.h"
#include "protocol/control.pb.h"

#include <optional>
#include <string>
#include <string_view>

namespace oriolerill::config {

/// Parses "<epoch>.<revision>"; empty if the text has another form.
std::optional<domain::ConfigVersion> parseVersion(std::string_view text);
std::string toText(const domain::ConfigVersion &version);

domain::ConfigVersion fromProtocol(const protocol::Version &version);
void toProtocol(const domain::ConfigVersion &version, protocol::Version *message);

} // namespace oriolerill::config
