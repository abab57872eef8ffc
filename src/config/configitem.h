#pragma once

#include "config/configsnapshot.h"

#include <compare>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace oriolerill::config {

/// Identifies an item by kind ("rollout", "withdrawal", "limit", "account", "service") and name.
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

/// Parses "config/<kind>/<name>"; empty if the text has another form.
std::optional<ItemKey> parseObjectKey(std::string_view objectKey);

/// A configuration item in the form in which it is stored and sent.
struct ConfigItem
{
    ItemKey key;
    domain::ConfigVersion version;
    bool isDeleted = false;
    std::string json;
};

using ItemSpec = std::variant<Service, Rollout, Withdrawal, EndpointLimit, Account>;

/// An error at one place of a document.
struct Problem
{
    /// Place in the document, for example "items[2].spec.maxConcurrency".
    std::string path;
    std::string message;
    std::string remedy;
};

} // namespace oriolerill::config
