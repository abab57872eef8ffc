#pragma once

#include "config/configitem.h"

#include <boost/json/fwd.hpp>

#include <optional>
#include <string>
#include <vector>

namespace oriolerill::config {

/// Parses and validates the specification of an item; reports all problems under the path.
std::optional<ItemSpec> parseSpec(const ItemKey &key, const boost::json::value &spec,
        const std::string &path, std::vector<Problem> &problems);

/// Parses a stored item; empty if its JSON is not valid.
std::optional<ItemSpec> parseItem(const ConfigItem &item);

} // namespace oriolerill::config
