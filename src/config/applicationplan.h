#pragma once

#include "config/configdocument.h"
#include "config/configitem.h"

#include <optional>
#include <string>
#include <vector>

namespace oriolerill::config {

/// The write that applies one item of a document to the store.
enum class ApplicationAction {
    /// The stored item equals the item of the document; nothing is written.
    Skip,
    Create,
    Update,
    Delete,
};

struct ApplicationStep
{
    ItemKey key;
    ApplicationAction action = ApplicationAction::Skip;
    /// Stored version; the write is conditional on it.
    domain::ConfigVersion current;
    std::string json;
};

/// The stored version of an item is not the expected one: it has been changed concurrently.
struct VersionConflict
{
    ItemKey key;
    std::optional<domain::ConfigVersion> expected;
    /// The stored version, to be read again; empty when the item does not exist.
    std::optional<domain::ConfigVersion> current;

    std::string message() const;
    std::string remedy() const;
};

/// The writes that apply a document to the store; with any conflict, none may be carried out.
struct ApplicationPlan
{
    std::vector<ApplicationStep> steps;
    std::vector<VersionConflict> conflicts;
};

/// Plans the application of a document by comparing it with the stored items.
ApplicationPlan planApplication(
        const ConfigDocument &document, const std::vector<ConfigItem> &stored);

} // namespace oriolerill::config
