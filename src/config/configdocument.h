#pragma once

#include "config/configitem.h"
#include "config/configsnapshot.h"

#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace oriolerill::config {

/// One change that an operator asks for.
struct DocumentItem
{
    ItemKey key;
    /// The change only applies to this version of the item.
    std::optional<domain::ConfigVersion> expected;
    bool isDelete = false;
    /// Specification; empty for deletions.
    std::string json;
};

/// An operators' document: changes that are checked as a whole.
struct ConfigDocument
{
    std::vector<DocumentItem> items;
};

struct DocumentResult
{
    /// Only to be applied when there are no problems.
    ConfigDocument document;
    std::vector<Problem> problems;

    bool isValid() const { return problems.empty(); }
};

/// Reads and checks a document; reports every problem at once. The snapshot is the configuration
/// that the document is to be applied to; items may name services of either.
DocumentResult parseDocument(std::string_view text, const ConfigSnapshot &current);
/// The same without a configuration at hand: names of services are not checked.
DocumentResult parseDocument(std::string_view text);

} // namespace oriolerill::config
