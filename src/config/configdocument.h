#pragma once

#include "config/configitem.h"
#include "config/configsnapshot.h"

#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace oriolerill::config {

/// One change that an operator requests.
struct DocumentItem
{
    ItemKey key;
    /// If set, the change is applied only to this version of the item.
    std::optional<domain::ConfigVersion> expected;
    bool isDelete = false;
    /// Specification of the item; empty for a deletion.
    std::string json;
};

/// An operator's document: changes that are checked together.
struct ConfigDocument
{
    std::vector<DocumentItem> items;
};

struct DocumentResult
{
    /// To be applied only when there are no problems.
    ConfigDocument document;
    std::vector<Problem> problems;

    bool isValid() const { return problems.empty(); }
};

/// Parses and validates a document, and reports all its problems. The snapshot is the configuration
/// that the document is to be applied to; items may refer to services of either.
DocumentResult parseDocument(std::string_view text, const ConfigSnapshot &current);
/// The same without a configuration: references to services are not checked.
DocumentResult parseDocument(std::string_view text);

} // namespace oriolerill::config
