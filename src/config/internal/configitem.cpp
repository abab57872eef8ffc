#include "config/configitem.h"

namespace oriolerill::config {

std::string ItemKey::objectKey() const
{
    return std::string(ObjectPrefix) + kind + '/' + name;
}

std::optional<ItemKey> parseObjectKey(std::string_view objectKey)
{
    if (!objectKey.starts_with(ObjectPrefix))
        return std::nullopt;
    objectKey.remove_prefix(ObjectPrefix.size());
    const std::size_t slash = objectKey.find('/');
    if (slash == std::string_view::npos || slash == 0 || slash + 1 == objectKey.size())
        return std::nullopt;
    return ItemKey{
            std::string(objectKey.substr(0, slash)), std::string(objectKey.substr(slash + 1))};
}

} // namespace oriolerill::config
