#include "admin/configdocumentplanner.h"

#include "admin/internal/servicereference.h"
#include "config/applicationplan.h"
#include "config/configdocument.h"

#include <algorithm>
#include <utility>

namespace oriolerill::admin {

namespace {

std::vector<ItemProblem> toProblems(const std::vector<config::Problem> &problems)
{
    std::vector<ItemProblem> converted;
    converted.reserve(problems.size());
    for (const config::Problem &problem : problems)
        converted.push_back({problem.path, problem.message, problem.remedy});
    return converted;
}

std::vector<config::ConfigItem> toItems(const std::vector<CurrentItem> &current)
{
    std::vector<config::ConfigItem> items;
    items.reserve(current.size());
    for (const CurrentItem &item : current)
        items.push_back({{item.kind, item.name}, item.version, false, item.spec});
    return items;
}

/// Only the services, because the items of a document refer to no other stored items.
config::ConfigSnapshot toSnapshot(const std::vector<config::ConfigItem> &items)
{
    config::ConfigSnapshot snapshot;
    for (const config::ConfigItem &item : items) {
        if (item.key.kind == "service")
            snapshot.services[domain::ServiceId(item.key.name)].id
                    = domain::ServiceId(item.key.name);
    }
    return snapshot;
}

ItemAction toAction(config::ApplicationAction action)
{
    switch (action) {
    case config::ApplicationAction::Skip:
        return ItemAction::Keep;
    case config::ApplicationAction::Create:
        return ItemAction::Create;
    case config::ApplicationAction::Update:
        return ItemAction::Update;
    case config::ApplicationAction::Delete:
        return ItemAction::Delete;
    }
    return ItemAction::Keep;
}

PlannedItem toPlanned(const config::ApplicationStep &step, const std::vector<CurrentItem> &current)
{
    PlannedItem item;
    item.kind = step.key.kind;
    item.name = step.key.name;
    item.action = toAction(step.action);
    item.spec = step.json;
    const auto found = std::find_if(current.begin(), current.end(), [&](const CurrentItem &other) {
        return other.kind == item.kind && other.name == item.name;
    });
    if (found != current.end()) {
        item.currentSpec = found->spec;
        item.currentVersion = found->version;
    }
    return item;
}

bool isChanged(const config::ConfigDocument &document, const CurrentItem &item)
{
    return std::any_of(document.items.begin(), document.items.end(), [&](const auto &change) {
        return change.key.kind == item.kind && change.key.name == item.name;
    });
}

/// Problems for deleted services that are referenced by stored items which the document keeps
/// unchanged.
std::vector<ItemProblem> referencedServiceProblems(
        const config::ConfigDocument &document, const std::vector<CurrentItem> &current)
{
    std::vector<ItemProblem> problems;
    for (std::size_t i = 0; i < document.items.size(); ++i) {
        const config::DocumentItem &change = document.items[i];
        if (change.key.kind != "service" || !change.isDelete)
            continue;
        for (const CurrentItem &item : current) {
            const auto service = internal::referencedService(item.kind, item.name, item.spec);
            if (service.value() != change.key.name || isChanged(document, item))
                continue;
            problems.push_back({"items[" + std::to_string(i) + ']',
                    "the service is still needed by " + item.kind + ' ' + item.name,
                    "delete " + item.kind + ' ' + item.name + " in the same document"});
        }
    }
    return problems;
}

} // namespace

std::vector<ItemProblem> ConfigDocumentPlanner::check(std::string_view document) const
{
    return toProblems(config::parseDocument(document).problems);
}

DocumentPlan ConfigDocumentPlanner::plan(
        std::string_view document, const std::vector<CurrentItem> &current) const
{
    const std::vector<config::ConfigItem> stored = toItems(current);
    const auto parsed = config::parseDocument(document, toSnapshot(stored));
    DocumentPlan plan;
    plan.problems = toProblems(parsed.problems);
    if (plan.problems.empty())
        plan.problems = referencedServiceProblems(parsed.document, current);
    if (!plan.problems.empty())
        return plan;
    const config::ApplicationPlan application = config::planApplication(parsed.document, stored);
    for (const config::VersionConflict &conflict : application.conflicts) {
        plan.conflicts.push_back({conflict.key.kind, conflict.key.name,
                conflict.expected.value_or(domain::ConfigVersion()), conflict.current});
    }
    for (const config::ApplicationStep &step : application.steps)
        plan.items.push_back(toPlanned(step, current));
    return plan;
}

} // namespace oriolerill::admin
