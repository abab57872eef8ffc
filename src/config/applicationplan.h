#pragma once

#include "config/configdocument.h"
#include "config/configitem.h"

#include <optional>
#include <string>
#include <vector>

namespace oriolerill::config {

enum class ApplicationAction {
    /// The stored item already equals the document.
    Skip,
    Create,
    Update,
    Delete,
};

struct ApplicationStep
{
    ItemKey key;
    ApplicationAction action = ApplicationAction::Skip;
    /// Version that the write is conditional on.
    domain::ConfigVersion current;
    std::string json;
};

/// Another change came between reading and writing.
struct VersionConflict
{
    ItemKey key;
    std::optional<domain::ConfigVersion> expected;
    /// The version to read again; empty when the item does not exist.
    std::optional<domain::ConfigVersion> current;

    std::string message() const;
    std::string remedy() const;
};

/// The writes that bring the store to a document, or the conflicts that forbid them all.
struct ApplicationPlan
{
    std::vector<ApplicationStep> steps;
    std::vector<VersionConflict> conflicts;
};

/// Compares a document with the stored items.
ApplicationPlan planApplication(
        const ConfigDocument &document, const std::vector<ConfigItem> &stored);

} // namespace oriolerill::config
