#include "admin/documentapplier.h"

#include "observability/log.h"

#include <boost/json/object.hpp>
#include <boost/json/parse.hpp>
#include <boost/json/serialize.hpp>

#include <algorithm>
#include <chrono>
#include <utility>

namespace oriolerill::admin {

namespace asio = boost::asio;
namespace json = boost::json;
using domain::Error;
using domain::ErrorKind;
using domain::Expected;

namespace {

constexpr std::string_view Prefix = "config/";

std::string keyOf(const std::string &kind, const std::string &name)
{
    return std::string(Prefix) + kind + '/' + name;
}

ApplyResult initialResult(const DocumentPlan &plan, bool isDryRun)
{
    ApplyResult result;
    result.isDryRun = isDryRun;
    for (const PlannedItem &item : plan.items) {
        const bool isKept = item.action == ItemAction::Keep;
        result.items.push_back({item.kind, item.name, item.action,
                isKept ? ItemState::Done : ItemState::Planned, item.currentVersion});
    }
    return result;
}

Error invalidDocument(std::size_t count)
{
    return Error{ErrorKind::InvalidInput,
            "the document has " + std::to_string(count) + (count == 1 ? " fault" : " faults"),
            "correct them and apply the document again; nothing was changed"};
}

Error changedItems()
{
    return Error{ErrorKind::Conflict, "items have changed since the versions named in the document",
            "re-read the items at their current versions, merge and apply the document again"};
}

std::vector<ItemProblem> forbiddenItems(const Principal &principal, const DocumentPlan &plan)
{
    std::vector<ItemProblem> problems;
    for (const PlannedItem &item : plan.items) {
        if (item.action == ItemAction::Keep || principal.mayChange(item))
            continue;
        problems.push_back({item.kind + '/' + item.name,
                principal.name() + " may not change this " + item.kind,
                "ask an operator of the service; accounts and withdrawals need an operator of all "
                "services"});
    }
    return problems;
}

std::vector<ItemConflict> existingItems(const DocumentPlan &plan)
{
    std::vector<ItemConflict> conflicts;
    for (const PlannedItem &item : plan.items) {
        if (item.currentVersion)
            conflicts.push_back({item.kind, item.name, {}, item.currentVersion});
    }
    return conflicts;
}

/// Sets the error and its details when the plan must not be executed.
void checkPlan(ApplyResult &result, const DocumentPlan &plan, const Principal &principal,
        const ApplyRequest &request)
{
    if (!plan.problems.empty()) {
        result.error = invalidDocument(plan.problems.size());
        result.problems = plan.problems;
        return;
    }
    result.problems = forbiddenItems(principal, plan);
    if (!result.problems.empty()) {
        result.error
                = Error{ErrorKind::Unauthorized, "the document goes beyond the operator's rights",
                        "leave out the items listed; nothing was changed"};
        return;
    }
    result.conflicts = plan.conflicts;
    if (request.onlyCreate && result.conflicts.empty())
        result.conflicts = existingItems(plan);
    if (!result.conflicts.empty())
        result.error = changedItems();
}

bool hasChanges(const DocumentPlan &plan)
{
    return std::any_of(plan.items.begin(), plan.items.end(),
            [](const PlannedItem &item) { return item.action != ItemAction::Keep; });
}

std::string auditRecord(const Principal &principal, domain::WallTime now,
        const std::vector<PlannedItem> &plan, const ApplyResult &result, bool isComplete)
{
    const auto sinceEpoch
            = std::chrono::duration_cast<std::chrono::milliseconds>(now.time_since_epoch());
    json::array items;
    for (std::size_t i = 0; i < plan.size(); ++i) {
        if (plan[i].action == ItemAction::Keep)
            continue;
        items.push_back({{"kind", plan[i].kind}, {"name", plan[i].name},
                {"action", std::string(toString(plan[i].action))}, {"before", plan[i].currentSpec},
                {"after", plan[i].spec},
                {"state", isComplete ? std::string(toString(result.items[i].state)) : "started"}});
    }
    return json::serialize(json::object{{"who", principal.name()},
            {"atMs", static_cast<std::int64_t>(sinceEpoch.count())}, {"items", std::move(items)}});
}

} // namespace

DocumentApplier::DocumentApplier(
        objectstore::IObjectStore &store, const IDocumentPlanner &planner, AuditLog &audit)
    : m_store(store)
    , m_planner(planner)
    , m_audit(audit)
{}

asio::awaitable<ApplyResult> DocumentApplier::apply(
        Principal principal, ApplyRequest request, domain::WallTime now, domain::TimePoint deadline)
{
    ApplyResult result;
    result.isDryRun = request.isDryRun;
    auto current = co_await readItems(deadline);
    if (!current) {
        result.error = current.error();
        co_return result;
    }
    const DocumentPlan plan = m_planner.plan(request.document, *current);
    result = initialResult(plan, request.isDryRun);
    checkPlan(result, plan, principal, request);
    if (result.error || request.isDryRun || !hasChanges(plan))
        co_return result;

    std::string started = auditRecord(principal, now, plan.items, result, false);
    auto entry = co_await m_audit.begin(now, std::move(started), deadline);
    if (!entry) {
        result.error = entry.error();
        for (ItemResult &item : result.items) {
            if (item.action != ItemAction::Keep)
                item.state = ItemState::NotTried;
        }
        co_return result;
    }
    co_await write(plan.items, result, deadline);
    std::string finished = auditRecord(principal, now, plan.items, result, true);
    auto completed = co_await m_audit.complete(*entry, std::move(finished), deadline);
    if (!completed) {
        observability::logEvent(observability::Severity::Warning, "audit_incomplete",
                {{"key", entry->key}, {"error", completed.error().message}});
    }
    co_await m_audit.prune(now, deadline);
    co_return result;
}

asio::awaitable<Expected<std::vector<CurrentItem>>> DocumentApplier::readItems(
        domain::TimePoint deadline)
{
    auto listed = co_await m_store.list(std::string(Prefix), deadline);
    if (!listed)
        co_return listed.error();
    std::vector<CurrentItem> items;
    for (objectstore::StoredObject &object : listed->objects) {
        const std::size_t slash = object.key.find('/', Prefix.size());
        if (object.isDeleted || slash == std::string::npos)
            continue;
        items.push_back({object.key.substr(Prefix.size(), slash - Prefix.size()),
                object.key.substr(slash + 1), std::move(object.value), object.version});
    }
    co_return items;
}

asio::awaitable<void> DocumentApplier::write(
        const std::vector<PlannedItem> &items, ApplyResult &result, domain::TimePoint deadline)
{
    for (std::size_t i = 0; i < items.size(); ++i) {
        ItemResult &item = result.items[i];
        if (item.action == ItemAction::Keep)
            continue;
        if (result.error) {
            item.state = ItemState::NotTried;
            continue;
        }
        auto version = co_await writeItem(items[i], deadline);
        if (version) {
            item.state = ItemState::Done;
            item.version = *version;
            continue;
        }
        result.error = version.error();
        const ErrorKind kind = version.error().kind;
        if (kind == ErrorKind::Conflict || kind == ErrorKind::NotFound)
            co_await recordConflict(item, result, deadline);
        else
            item.state = kind == ErrorKind::RateLimited ? ItemState::NotTried : ItemState::Unknown;
    }
}

asio::awaitable<Expected<domain::ConfigVersion>> DocumentApplier::writeItem(
        const PlannedItem &item, domain::TimePoint deadline)
{
    std::string key = keyOf(item.kind, item.name);
    const domain::ConfigVersion version = item.currentVersion.value_or(domain::ConfigVersion());
    if (item.action == ItemAction::Delete)
        co_return co_await m_store.remove(std::move(key), version, deadline);
    std::string value = item.spec;
    if (item.action == ItemAction::Create)
        co_return co_await m_store.create(std::move(key), std::move(value), deadline);
    co_return co_await m_store.update(std::move(key), std::move(value), version, deadline);
}

asio::awaitable<void> DocumentApplier::recordConflict(
        ItemResult &item, ApplyResult &result, domain::TimePoint deadline)
{
    result.error = changedItems();
    item.state = ItemState::Conflict;
    ItemConflict conflict = {item.kind, item.name, item.version.value_or(domain::ConfigVersion())};
    auto stored = co_await m_store.read(keyOf(item.kind, item.name), deadline);
    if (stored && !stored->isDeleted)
        conflict.current = stored->version;
    item.version = conflict.current;
    result.conflicts.push_back(std::move(conflict));
}

} // namespace oriolerill::admin
