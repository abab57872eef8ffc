#pragma once

#include "domain/configversion.h"

#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace oriolerill::admin {

/// A configuration item as stored in the object API.
struct CurrentItem
{
    std::string kind;
    std::string name;
    /// JSON of the item.
    std::string spec;
    domain::ConfigVersion version;
};

enum class ItemAction {
    Create,
    Update,
    Delete,
    /// The item already equals the document.
    Keep,
};

struct PlannedItem
{
    std::string kind;
    std::string name;
    ItemAction action = ItemAction::Keep;
    /// JSON to write; empty for a deletion.
    std::string spec;
    /// JSON and version that the item has now; none when it does not exist.
    std::string currentSpec;
    std::optional<domain::ConfigVersion> currentVersion;
};

/// A problem in a document.
struct ItemProblem
{
    /// Place in the document, for example "items[2].spec.service".
    std::string path;
    std::string message;
    std::string remedy;
};

/// An item whose version differs from the one that the document names.
struct ItemConflict
{
    std::string kind;
    std::string name;
    domain::ConfigVersion expected;
    /// None when the item does not exist.
    std::optional<domain::ConfigVersion> current;
};

struct DocumentPlan
{
    /// All problems; the other members are empty when there are any.
    std::vector<ItemProblem> problems;
    std::vector<ItemConflict> conflicts;
    /// In the order of writing.
    std::vector<PlannedItem> items;
};

/// Validates a complete operators' document and plans its changes.
class IDocumentPlanner
{
public:
    virtual ~IDocumentPlanner() = default;

    virtual DocumentPlan plan(
            std::string_view document, const std::vector<CurrentItem> &current) const = 0;
    /// The problems that can be found without the current items.
    virtual std::vector<ItemProblem> check(std::string_view document) const = 0;
};

} // namespace oriolerill::admin
