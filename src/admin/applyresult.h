#pragma once

#include "admin/idocumentplanner.h"
#include "domain/error.h"

#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace oriolerill::admin {

enum class ItemState {
    /// Dry run: the action would be carried out.
    Planned,
    Done,
    /// Somebody else changed the item at the same time.
    Conflict,
    /// The store did not answer; the write may have taken effect.
    Unknown,
    /// An earlier item failed, so this one was not tried.
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

/// What became of a document.
struct ApplyResult
{
    bool isDryRun = false;
    std::vector<ItemResult> items;
    /// The first failure, if any.
    std::optional<domain::Error> error;
    /// Details of the failure: faults of the document and versions that have changed.
    std::vector<ItemProblem> problems;
    std::vector<ItemConflict> conflicts;

    /// Highest version written; none when nothing has changed.
    std::optional<domain::ConfigVersion> highestVersion() const;
    std::string toJson() const;
};

} // namespace oriolerill::admin
