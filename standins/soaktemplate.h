#pragma once

#include <boost/json/object.hpp>

#include <string>

namespace oriolerill::standins {

/// Renders a settings template as the platform does: {{a}}, {{a.b}}, {{a.0}}, and sections over
/// tables with {{@}}, {{.}} and {{,}}. Throws std::runtime_error for an unknown placeholder.
std::string renderTemplate(const std::string &text, const boost::json::object &fields);

} // namespace oriolerill::standins
