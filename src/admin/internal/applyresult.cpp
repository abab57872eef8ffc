#include "admin/applyresult.h"

#include "config/versiontext.h"

#include <boost/json/array.hpp>
#include <boost/json/object.hpp>
#include <boost/json/serialize.hpp>

#include <algorithm>
#include <utility>

namespace oriolerill::admin {

namespace json = boost::json;

namespace {

json::value toValue(const std::optional<domain::ConfigVersion> &version)
{
    return version ? json::value(config::toText(*version)) : json::value(nullptr);
}

json::object toObject(const ItemResult &item)
{
    return {{"kind", item.kind}, {"name", item.name},
            {"action", std::string(toString(item.action))},
            {"state", std::string(toString(item.state))}, {"version", toValue(item.version)}};
}

json::object toObject(const ItemProblem &problem)
{
    return {{"path", problem.path}, {"message", problem.message}, {"remedy", problem.remedy}};
}

json::object toObject(const ItemConflict &conflict)
{
    return {{"kind", conflict.kind}, {"name", conflict.name},
            {"expected", config::toText(conflict.expected)},
            {"current", toValue(conflict.current)}};
}

template<class Item>
json::array toArray(const std::vector<Item> &items)
{
    json::array array;
    for (const Item &item : items)
        array.push_back(toObject(item));
    return array;
}

} // namespace

std::string_view toString(ItemState state)
{
    switch (state) {
    case ItemState::Planned:
        return "planned";
    case ItemState::Done:
        return "done";
    case ItemState::Conflict:
        return "conflict";
    case ItemState::Unknown:
        return "unknown";
    case ItemState::NotTried:
        return "not_tried";
    }
    return "unknown";
}

std::string_view toString(ItemAction action)
{
    switch (action) {
    case ItemAction::Create:
        return "create";
    case ItemAction::Update:
        return "update";
    case ItemAction::Delete:
        return "delete";
    case ItemAction::Keep:
        return "keep";
    }
    return "keep";
}

std::optional<domain::ConfigVersion> ApplyResult::highestVersion() const
{
    std::optional<domain::ConfigVersion> highest;
    for (const ItemResult &item : items) {
        if (item.state == ItemState::Done && item.action != ItemAction::Keep)
            highest = std::max(highest, item.version);
    }
    return highest;
}

std::string ApplyResult::toJson() const
{
    json::object document = {{"dryRun", isDryRun}, {"items", toArray(items)},
            {"version", toValue(highestVersion())}};
    if (error) {
        document["error"] = json::object{{"kind", std::string(toString(error->kind))},
                {"message", error->message}, {"remedy", error->remedy},
                {"problems", toArray(problems)}, {"conflicts", toArray(conflicts)}};
    }
    return json::serialize(document);
}

} // namespace oriolerill::admin
