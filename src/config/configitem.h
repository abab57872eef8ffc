#pragma once

#include "config/configsnapshot.h"

#include <compare>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace oriolerill::config {

/// Names an item: its kind ("rollout", "withdrawal", "limit", "account", "service") and its name.
struct ItemKey
{
    std::string kind;
    std::string name;

    friend auto operator<=>(const ItemKey &, const ItemKey &) = default;

    /// Key of the item's object: "config/<kind>/<name>".
    std::string objectKey() const;
};

/// Prefix of the objects that hold configuration items.
inline constexpr std::string_view ObjectPrefix = "config/";

/// Splits "config/<kind>/<name>"; empty for any other text.
std::optional<ItemKey> parseObjectKey(std::string_view objectKey);

/// An item as it is stored and sent.
struct ConfigItem
{
    ItemKey key;
    domain::ConfigVersion version;
    bool isDeleted = false;
    std::string json;
};

using ItemSpec = std::variant<Service, Rollout, Withdrawal, EndpointLimit, Account>;

/// What is wrong at one place of a document.
struct Problem
{
    /// For example "items[2].spec.maxConcurrency".
    std::string path;
    std::string message;
    std::string remedy;
};

} // namespace oriolerill::config
