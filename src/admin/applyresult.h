#pragma once

#include "admin/idocumentplanner.h"
#include "domain/error.h"

#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace oriolerill::admin {

enum class ItemState {
    /// Dry run: the action would be executed.
    Planned,
    Done,
    /// The item was changed concurrently.
    Conflict,
    /// The store did not answer; the write may have taken effect.
    Unknown,
    /// Not attempted, because an earlier item failed.
    NotTried,
};

std::string_view toString(ItemState state);
std::string_view toString(ItemAction action);

struct ItemResult
{
    std::string kind;
    std::string name;
    ItemAction action = ItemAction::Keep;
    ItemState state = ItemState::Planned;
    /// Version of the item now; for a conflict, the version to re-read.
    std::optional<domain::ConfigVersion> version;
};

/// Outcome of applying a document.
struct ApplyResult
{
    bool isDryRun = false;
    std::vector<ItemResult> items;
    /// The first failure, if any.
    std::optional<domain::Error> error;
    /// Details of the failure: problems in the document, and items whose version has changed.
    std::vector<ItemProblem> problems;
    std::vector<ItemConflict> conflicts;

    /// Highest version written; none when nothing has changed.
    std::optional<domain::ConfigVersion> highestVersion() const;
    std::string toJson() const;
};

} // namespace oriolerill::admin
