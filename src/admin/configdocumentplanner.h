#pragma once

#include "admin/idocumentplanner.h"

namespace oriolerill::admin {

/// Plans documents by the rules of the configuration module.
class ConfigDocumentPlanner : public IDocumentPlanner
{
public:
    DocumentPlan plan(
            std::string_view document, const std::vector<CurrentItem> &current) const override;
    std::vector<ItemProblem> check(std::string_view document) const override;
};

} // namespace oriolerill::admin
