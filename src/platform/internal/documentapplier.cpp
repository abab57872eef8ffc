#include "platform/documentapplier.h"

namespace oriolerill::platform {

namespace asio = boost::asio;
using config::ApplicationAction;
using config::ApplicationPlan;
using config::ApplicationStep;
using config::ConfigItem;
using domain::ConfigVersion;
using domain::ErrorKind;
using domain::Expected;
using domain::TimePoint;

namespace {

asio::awaitable<Expected<ConfigVersion>> write(
        IObjectStore &store, const ApplicationStep &step, TimePoint deadline)
{
    const std::string key = step.key.objectKey();
    switch (step.action) {
    case ApplicationAction::Create:
        return store.create(key, step.json, deadline);
    case ApplicationAction::Update:
        return store.update(key, step.json, step.current, deadline);
    case ApplicationAction::Delete:
    case ApplicationAction::Skip:
        break;
    }
    return store.remove(key, step.current, deadline);
}

asio::awaitable<config::VersionConflict> describeConflict(
        IObjectStore &store, const ApplicationStep &step, TimePoint deadline)
{
    config::VersionConflict conflict;
    conflict.key = step.key;
    if (step.action != ApplicationAction::Create)
        conflict.expected = step.current;
    const Expected<StoredObject> object = co_await store.read(step.key.objectKey(), deadline);
    if (object)
        conflict.current = object->version;
    co_return conflict;
}

} // namespace

asio::awaitable<Expected<std::vector<ConfigItem>>> readConfigItems(
        IObjectStore &store, TimePoint deadline)
{
    const Expected<ObjectList> list
            = co_await store.list(std::string(config::ObjectPrefix), deadline);
    if (!list)
        co_return list.error();
    std::vector<ConfigItem> items;
    for (const StoredObject &object : list->objects) {
        const std::optional<config::ItemKey> key = config::parseObjectKey(object.key);
        if (key)
            items.push_back({*key, object.version, object.isDeleted, object.value});
    }
    co_return items;
}

asio::awaitable<Expected<ApplicationReport>> applyDocument(
        IObjectStore &store, config::ConfigDocument document, TimePoint deadline)
{
    const Expected<std::vector<ConfigItem>> stored = co_await readConfigItems(store, deadline);
    if (!stored)
        co_return stored.error();
    ApplicationPlan plan = config::planApplication(document, *stored);
    ApplicationReport report;
    report.conflicts = std::move(plan.conflicts);
    if (!report.conflicts.empty())
        co_return report;
    for (const ApplicationStep &step : plan.steps) {
        if (step.action == ApplicationAction::Skip) {
            report.applied.push_back({step.key, step.action, step.current});
            continue;
        }
        const Expected<ConfigVersion> written = co_await write(store, step, deadline);
        if (written) {
            report.applied.push_back({step.key, step.action, *written});
            continue;
        }
        if (written.error().kind != ErrorKind::Conflict)
            co_return written.error();
        config::VersionConflict conflict = co_await describeConflict(store, step, deadline);
        report.conflicts.push_back(std::move(conflict));
        co_return report;
    }
    co_return report;
}

} // namespace oriolerill::platform
