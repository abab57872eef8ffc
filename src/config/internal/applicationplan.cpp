#include "config/applicationplan.h"

#include "config/versiontext.h"

#include <boost/json.hpp>

#include <algorithm>

namespace oriolerill::config {

namespace json = boost::json;

namespace {

bool isSameJson(const std::string &a, const std::string &b)
{
    json::error_code codeA;
    json::error_code codeB;
    const json::value valueA = json::parse(a, codeA);
    const json::value valueB = json::parse(b, codeB);
    return !codeA && !codeB && valueA == valueB;
}

ApplicationStep planStep(const DocumentItem &item, const ConfigItem *stored)
{
    ApplicationStep step;
    step.key = item.key;
    step.json = item.json;
    if (stored != nullptr)
        step.current = stored->version;
    if (item.isDelete)
        step.action = stored == nullptr ? ApplicationAction::Skip : ApplicationAction::Delete;
    else if (stored == nullptr)
        step.action = ApplicationAction::Create;
    else if (!isSameJson(item.json, stored->json))
        step.action = ApplicationAction::Update;
    return step;
}

} // namespace

std::string VersionConflict::message() const
{
    const std::string found = current ? "is at version " + toText(*current) : "does not exist";
    return key.kind + ' ' + key.name + ' ' + found
            + (expected ? ", not at " + toText(*expected) : ", it has been changed meanwhile");
}

std::string VersionConflict::remedy() const
{
    if (!current)
        return "remove \"version\" from the document to create the item again";
    return "read the item again at version " + toText(*current)
            + ", merge the change and apply it with this version";
}

ApplicationPlan planApplication(
        const ConfigDocument &document, const std::vector<ConfigItem> &stored)
{
    ApplicationPlan plan;
    for (const DocumentItem &item : document.items) {
        const auto found = std::find_if(stored.begin(), stored.end(),
                [&](const ConfigItem &other) { return other.key == item.key && !other.isDeleted; });
        const ConfigItem *const current = found == stored.end() ? nullptr : &*found;
        ApplicationStep step = planStep(item, current);
        const bool isOtherVersion
                = item.expected && (current == nullptr || current->version != *item.expected);
        // If the stored item is equal, this document has been applied before: no conflict.
        if (isOtherVersion && step.action != ApplicationAction::Skip) {
            VersionConflict conflict{item.key, item.expected, std::nullopt};
            if (current != nullptr)
                conflict.current = current->version;
            plan.conflicts.push_back(std::move(conflict));
            continue;
        }
        plan.steps.push_back(std::move(step));
    }
    return plan;
}

} // namespace oriolerill::config
