#pragma once

#include "config/configitem.h"

#include <boost/json/fwd.hpp>

#include <optional>
#include <string>
#include <vector>

namespace oriolerill::config {

/// Checks and reads the specification of an item; reports every problem under the path.
std::optional<ItemSpec> parseSpec(const ItemKey &key, const boost::json::value &spec,
        const std::string &path, std::vector<Problem> &problems);

/// Reads a stored item; empty when its JSON is not valid.
std::optional<ItemSpec> parseItem(const ConfigItem &item);

} // namespace oriolerill::config
