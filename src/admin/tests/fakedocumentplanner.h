#pragma once

#include "admin/idocumentplanner.h"
#include "admin/internal/versiontext.h"

#include <boost/json/parse.hpp>
#include <boost/json/serialize.hpp>
#include <boost/json/value.hpp>

#include <algorithm>

namespace oriolerill::admin {

/// Plans documents without rules for the specs; a kind "bad" is a fault.
class FakeDocumentPlanner : public IDocumentPlanner
{
public:
    std::vector<ItemProblem> check(std::string_view document) const override
    {
        return plan(document, {}).problems;
    }

    DocumentPlan plan(
            std::string_view document, const std::vector<CurrentItem> &current) const override
    {
        DocumentPlan plan;
        boost::json::error_code code;
        const auto value = boost::json::parse(std::string(document), code);
        if (code)
            return {{{"", "no JSON", "send JSON"}}, {}, {}};
        std::size_t index = 0;
        for (const auto &entry : value.at("items").as_array()) {
            const boost::json::object &item = entry.as_object();
            const std::string path = "items[" + std::to_string(index++) + "]";
            if (item.at("kind") == "bad")
                plan.problems.push_back({path + ".kind", "unknown kind", "use a known kind"});
            else
                addItem(plan, item, current);
        }
        return plan;
    }

private:
    static void addItem(DocumentPlan &plan, const boost::json::object &item,
            const std::vector<CurrentItem> &current)
    {
        PlannedItem planned;
        planned.kind = item.at("kind").as_string().c_str();
        planned.name = item.at("name").as_string().c_str();
        const bool isDeleted = item.contains("delete") && item.at("delete").as_bool();
        if (!isDeleted)
            planned.spec = boost::json::serialize(item.at("spec"));
        const auto found = std::find_if(current.begin(), current.end(), [&](const auto &other) {
            return other.kind == planned.kind && other.name == planned.name;
        });
        if (found != current.end()) {
            planned.currentSpec = found->spec;
            planned.currentVersion = found->version;
        }
        if (isDeleted)
            planned.action = planned.currentVersion ? ItemAction::Delete : ItemAction::Keep;
        else if (!planned.currentVersion)
            planned.action = ItemAction::Create;
        else if (planned.spec != planned.currentSpec)
            planned.action = ItemAction::Update;
        if (item.contains("version")) {
            const auto expected = internal::parseVersion(item.at("version").as_string().c_str());
            if (planned.currentVersion != expected)
                plan.conflicts.push_back(
                        {planned.kind, planned.name, *expected, planned.currentVersion});
        }
        plan.items.push_back(std::move(planned));
    }
};

} // namespace oriolerill::admin
