#include "config/itemparser.h"

#include "config/internal/specreader.h"

#include <boost/json.hpp>

#include <algorithm>

namespace oriolerill::config {

namespace json = boost::json;
using internal::SpecReader;

namespace {

constexpr std::uint32_t MaxConcurrency = 100'000;
constexpr std::uint32_t MaxRate = 1'000'000;
constexpr std::uint32_t MaxWeight = 1000;
constexpr std::uint32_t MaxSlots = 1024;
constexpr std::uint32_t MaxPriority = 1000;
constexpr std::size_t MaxNameLength = 63;

template<class Id>
std::set<Id> idsOf(const std::set<std::string> &texts)
{
    std::set<Id> ids;
    for (const std::string &text : texts)
        ids.emplace(text);
    return ids;
}

NonIdempotentCall parseCall(
        const json::value &value, const std::string &path, std::vector<Problem> &problems)
{
    if (!value.is_object()) {
        problems.push_back({path, "is not an object", "give {\"method\",\"pathPrefix\"}"});
        return {};
    }
    SpecReader reader(value.get_object(), path, problems);
    NonIdempotentCall call{reader.requiredText("method"), reader.requiredText("pathPrefix")};
    if (!call.pathPrefix.empty() && call.pathPrefix.front() != '/')
        reader.report("pathPrefix", "does not begin with a slash", "begin the prefix with \"/\"");
    reader.finish();
    return call;
}

Service parseService(SpecReader &reader, const ItemKey &key, const std::string &path,
        std::vector<Problem> &problems)
{
    Service service;
    service.id = domain::ServiceId(key.name);
    const std::string kind = reader.requiredText("kind");
    if (!kind.empty() && kind != "model" && kind != "plain")
        reader.report("kind", "is neither model nor plain", "give \"model\" or \"plain\"");
    service.kind = kind == "model" ? ServiceKind::Model : ServiceKind::Plain;
    service.ledgerSlots = reader.number("ledgerSlots", service.ledgerSlots, 1, MaxSlots);
    const json::array *const calls = reader.array("nonIdempotentCalls");
    for (std::size_t i = 0; calls != nullptr && i < calls->size(); ++i) {
        service.nonIdempotentCalls.push_back(parseCall(
                (*calls)[i], path + ".nonIdempotentCalls[" + std::to_string(i) + ']', problems));
    }
    return service;
}

Rollout parseRollout(SpecReader &reader, const ItemKey &key)
{
    Rollout rollout;
    rollout.id = domain::RolloutId(key.name);
    rollout.service = domain::ServiceId(reader.requiredText("service"));
    rollout.model = domain::ModelId(reader.requiredText("model"));
    rollout.adapter = reader.optionalText("adapter");
    rollout.modelVersion = reader.requiredText("modelVersion");
    rollout.manifest = reader.digest("manifest");
    rollout.dataCentres = idsOf<domain::DataCentreId>(reader.texts("dataCentres"));
    rollout.maxUnavailablePerDataCentre
            = reader.number("maxUnavailablePerDataCentre", 1, 1, MaxConcurrency);
    rollout.priority = reader.number("priority", 0, 0, MaxPriority);
    return rollout;
}

Withdrawal parseWithdrawal(SpecReader &reader, const ItemKey &key)
{
    Withdrawal withdrawal;
    withdrawal.dataCentre = domain::DataCentreId(key.name);
    withdrawal.reason = reader.optionalText("reason");
    return withdrawal;
}

EndpointLimit parseLimit(SpecReader &reader, const ItemKey &key)
{
    EndpointLimit limit;
    limit.service = domain::ServiceId(key.name);
    limit.maxConcurrency = reader.number("maxConcurrency", limit.maxConcurrency, 1, MaxConcurrency);
    limit.startConcurrency
            = reader.number("startConcurrency", limit.startConcurrency, 1, MaxConcurrency);
    if (limit.startConcurrency > limit.maxConcurrency)
        reader.report("startConcurrency", "is greater than maxConcurrency",
                "give at most " + std::to_string(limit.maxConcurrency));
    return limit;
}

Account parseAccount(SpecReader &reader, const ItemKey &key)
{
    Account account;
    account.id = domain::AccountId(key.name);
    account.tokenDigest = reader.digest("tokenSha256");
    account.maxConcurrency
            = reader.number("maxConcurrency", account.maxConcurrency, 1, MaxConcurrency);
    account.requestsPerSecond
            = reader.number("requestsPerSecond", account.requestsPerSecond, 1, MaxRate);
    account.weight = reader.number("weight", account.weight, 1, MaxWeight);
    account.services = idsOf<domain::ServiceId>(reader.texts("services"));
    account.isOperator = reader.flag("operator", false);
    return account;
}

bool isName(const std::string &name)
{
    const auto isAllowed = [](char c) {
        return (c >= 'a' && c <= 'z') || (c >= '0' && c <= '9') || c == '-' || c == '_' || c == '.';
    };
    return !name.empty() && name.size() <= MaxNameLength && name.front() != '.'
            && std::all_of(name.begin(), name.end(), isAllowed);
}

} // namespace

namespace {

std::optional<ItemSpec> parseMembers(const ItemKey &key, const json::value &spec,
        const std::string &path, std::vector<Problem> &problems, bool allowsUnknown)
{
    const std::size_t before = problems.size();
    if (!isName(key.name)) {
        problems.push_back({path, "the item's name \"" + key.name + "\" is not allowed",
                "use 1 to 63 of the characters a-z, 0-9, \"-\", \"_\" and \".\""});
    }
    if (!spec.is_object()) {
        problems.push_back({path, "is not an object", "give the members of the kind in braces"});
        return std::nullopt;
    }
    SpecReader reader(spec.get_object(), path, problems);
    ItemSpec parsed;
    if (key.kind == "service") {
        parsed = parseService(reader, key, path, problems);
    } else if (key.kind == "rollout") {
        parsed = parseRollout(reader, key);
    } else if (key.kind == "withdrawal") {
        parsed = parseWithdrawal(reader, key);
    } else if (key.kind == "limit") {
        parsed = parseLimit(reader, key);
    } else if (key.kind == "account") {
        parsed = parseAccount(reader, key);
    } else {
        problems.push_back({path, "the kind \"" + key.kind + "\" is not known",
                "use service, rollout, withdrawal, limit or account"});
        return std::nullopt;
    }
    if (!allowsUnknown)
        reader.finish();
    if (problems.size() != before)
        return std::nullopt;
    return parsed;
}

} // namespace

std::optional<ItemSpec> parseSpec(const ItemKey &key, const json::value &spec,
        const std::string &path, std::vector<Problem> &problems)
{
    return parseMembers(key, spec, path, problems, false);
}

std::optional<ItemSpec> parseItem(const ConfigItem &item)
{
    json::error_code code;
    const json::value spec = json::parse(item.json, code);
    if (code)
        return std::nullopt;
    // Unknown members are accepted: a newer release may have stored them.
    std::vector<Problem> problems;
    std::optional<ItemSpec> parsed = parseMembers(item.key, spec, "spec", problems, true);
    if (parsed)
        std::visit([&](auto &typed) { typed.version = item.version; }, *parsed);
    return parsed;
}

} // namespace oriolerill::config
