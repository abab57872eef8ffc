#include "admin/adminapi.h"

#include "admin/internal/requesttarget.h"
#include "config/versiontext.h"
#include "transport/httpserver.h"

#include <boost/json/array.hpp>
#include <boost/json/object.hpp>
#include <boost/json/parse.hpp>
#include <boost/json/serialize.hpp>

#include <algorithm>
#include <charconv>
#include <utility>

namespace oriolerill::admin {

namespace asio = boost::asio;
namespace json = boost::json;
using domain::Error;
using domain::ErrorKind;
using transport::errorResponse;
using transport::HttpRequest;
using transport::HttpResponse;

namespace {

constexpr unsigned Forbidden = 403;
constexpr std::string_view ConfigPrefix = "config/";

HttpResponse textResponse(std::string body, const char *type)
{
    HttpResponse response;
    response.fields.add("Content-Type", type);
    response.body = std::move(body);
    return response;
}

HttpResponse jsonResponse(std::string body)
{
    return textResponse(std::move(body), "application/json");
}

HttpResponse notFound(const std::string &what)
{
    return errorResponse(Error{ErrorKind::NotFound, what + " does not exist",
            "see docs/api.md for the paths, or GET /v1/items for the items"});
}

HttpResponse wrongMethod(const HttpRequest &request, const char *allowed)
{
    HttpResponse response = errorResponse(Error{ErrorKind::InvalidInput,
            request.method + " is not possible here", std::string("use ") + allowed});
    constexpr unsigned MethodNotAllowed = 405;
    response.status = MethodNotAllowed;
    response.fields.add("Allow", allowed);
    return response;
}

HttpResponse badParameter(const std::string &name, const std::string &remedy)
{
    return errorResponse(
            Error{ErrorKind::InvalidInput, "parameter " + name + " has a bad value", remedy});
}

HttpResponse toResponse(const ApplyResult &result)
{
    HttpResponse response = jsonResponse(result.toJson());
    if (!result.error)
        return response;
    response.status = errorResponse(*result.error).status;
    // The token is valid, but the operator has no right to make this change.
    if (result.error->kind == ErrorKind::Unauthorized)
        response.status = Forbidden;
    return response;
}

/// An item with its kind, name and version; a value that is not valid JSON becomes a string.
json::object toObject(const objectstore::StoredObject &object)
{
    const std::size_t slash = object.key.find('/', ConfigPrefix.size());
    json::error_code code;
    json::value spec = json::parse(object.value, code);
    if (code)
        spec = json::string(object.value);
    return {{"kind", object.key.substr(ConfigPrefix.size(), slash - ConfigPrefix.size())},
            {"name", slash == std::string::npos ? std::string() : object.key.substr(slash + 1)},
            {"version", config::toText(object.version)}, {"spec", std::move(spec)}};
}

/// The version in an entity tag.
std::string_view unquoted(std::string_view tag)
{
    const bool isQuoted = tag.size() >= 2 && tag.front() == '"' && tag.back() == '"';
    return isQuoted ? tag.substr(1, tag.size() - 2) : tag;
}

std::string keyOf(const std::string &kind, const std::string &name)
{
    return std::string(ConfigPrefix) + kind + '/' + name;
}

/// A number from 1 to the maximum; the fallback for an empty text, 0 for an invalid one.
std::uint32_t parseCount(const std::string &text, std::uint32_t fallback, std::uint32_t maximum)
{
    if (text.empty())
        return fallback;
    std::uint32_t number = 0;
    const char *const end = text.data() + text.size();
    const auto [stop, status] = std::from_chars(text.data(), end, number);
    return status == std::errc() && stop == end && number <= maximum ? number : 0;
}

} // namespace

AdminApi::AdminApi(AdminContext context, AdminOptions options)
    : m_context(context)
    , m_options(std::move(options))
    , m_authenticator(m_context.config, m_options.bootstrapToken)
    , m_audit(m_context.store, m_options.auditWriter)
    , m_applier(m_context.store, m_context.planner, m_audit)
{}

asio::awaitable<HttpResponse> AdminApi::handle(HttpRequest request)
{
    const Target target(request.target);
    if (target.path() == "/healthz")
        co_return health();
    if (target.path() == "/metrics")
        co_return metrics();
    auto principal = m_authenticator.authenticate(request.fields);
    if (!principal)
        co_return errorResponse(principal.error());
    Response response = co_await route(request, target, *principal);
    const std::string area = target.segments().size() > 1 ? target.segments()[1] : "";
    // Only existing paths become label values, so that clients cannot create metric series.
    const bool isKnown = response.status != 404;
    m_context.metrics.increment("oriolerill_admin_requests_total",
            {{"area", isKnown ? area : "other"}, {"status", std::to_string(response.status)}});
    co_return response;
}

asio::awaitable<HttpResponse> AdminApi::route(
        const HttpRequest &request, const Target &target, Principal principal)
{
    const std::string path = target.path();
    if (path == "/v1/apply")
        co_return co_await applyDocument(request, target, std::move(principal));
    if (path.starts_with("/v1/items"))
        co_return co_await routeItems(request, target, std::move(principal));
    if (path != "/v1/status" && path != "/v1/report" && path != "/v1/changes")
        co_return notFound(path);
    if (request.method != "GET")
        co_return wrongMethod(request, "GET");
    if (path == "/v1/changes")
        co_return co_await listChanges(target);
    co_return path == "/v1/status" ? status(target) : report(target);
}

asio::awaitable<HttpResponse> AdminApi::routeItems(
        const HttpRequest &request, const Target &target, Principal principal)
{
    constexpr std::size_t KindIndex = 2;
    constexpr std::size_t NameIndex = 3;
    const std::vector<std::string> &segments = target.segments();
    if (segments.size() > NameIndex + 1 || segments[1] != "items")
        co_return notFound(target.path());
    const std::string kind = segments.size() > KindIndex ? segments[KindIndex] : "";
    if (segments.size() <= NameIndex) {
        if (request.method != "GET")
            co_return wrongMethod(request, "GET");
        co_return co_await listItems(kind);
    }
    if (request.method == "GET")
        co_return co_await readItem(kind, segments[NameIndex]);
    if (request.method == "PUT" || request.method == "DELETE")
        co_return co_await changeItem(request, target, std::move(principal));
    co_return wrongMethod(request, "GET, PUT, DELETE");
}

asio::awaitable<HttpResponse> AdminApi::listItems(const std::string &kind)
{
    std::string prefix(ConfigPrefix);
    if (!kind.empty())
        prefix += kind + '/';
    auto listed = co_await m_context.store.list(std::move(prefix), storeDeadline());
    if (!listed)
        co_return errorResponse(listed.error());
    json::array items;
    for (const objectstore::StoredObject &object : listed->objects) {
        if (!object.isDeleted)
            items.push_back(toObject(object));
    }
    const json::object document
            = {{"items", std::move(items)}, {"version", config::toText(listed->storeVersion)}};
    co_return jsonResponse(json::serialize(document));
}

asio::awaitable<HttpResponse> AdminApi::readItem(const std::string &kind, const std::string &name)
{
    auto object = co_await m_context.store.read(keyOf(kind, name), storeDeadline());
    if (!object && object.error().kind != ErrorKind::NotFound)
        co_return errorResponse(object.error());
    if (!object || object->isDeleted)
        co_return notFound(kind + '/' + name);
    Response response = jsonResponse(json::serialize(toObject(*object)));
    response.fields.add("ETag", '"' + config::toText(object->version) + '"');
    co_return response;
}

asio::awaitable<HttpResponse> AdminApi::applyDocument(
        const HttpRequest &request, const Target &target, Principal principal)
{
    if (request.method != "POST")
        co_return wrongMethod(request, "POST");
    const std::string dryRun = target.parameter("dry_run");
    if (!dryRun.empty() && dryRun != "true" && dryRun != "false")
        co_return badParameter("dry_run", "use true or false");
    ApplyRequest change;
    change.document = request.body;
    change.isDryRun = dryRun == "true";
    co_return co_await apply(std::move(principal), std::move(change));
}

asio::awaitable<HttpResponse> AdminApi::changeItem(
        const HttpRequest &request, const Target &target, Principal principal)
{
    json::object item = {{"kind", target.segments()[2]}, {"name", target.segments()[3]}};
    const auto expected = request.fields.value("If-Match");
    if (expected) {
        const auto version = config::parseVersion(unquoted(*expected));
        if (!version)
            co_return badParameter("If-Match", "use the ETag of the item, as \"1.7\"");
        item["version"] = config::toText(*version);
    }
    if (request.method == "DELETE") {
        item["delete"] = true;
    } else {
        json::error_code code;
        item["spec"] = json::parse(request.body, code);
        if (code)
            co_return badParameter("body", "send the item as JSON: " + code.message());
    }
    ApplyRequest change;
    change.onlyCreate = request.fields.valueOr("If-None-Match", "") == "*";
    change.isDryRun = target.parameter("dry_run") == "true";
    change.document = json::serialize(json::object{{"items", json::array{std::move(item)}}});
    co_return co_await apply(std::move(principal), std::move(change));
}

asio::awaitable<HttpResponse> AdminApi::apply(Principal principal, ApplyRequest request)
{
    const auto now = std::chrono::system_clock::now();
    const ApplyResult result = co_await m_applier.apply(
            std::move(principal), std::move(request), now, storeDeadline());
    for (const ItemResult &item : result.items) {
        if (item.state == ItemState::Done && item.action != ItemAction::Keep)
            m_context.metrics.increment("oriolerill_admin_changes_total", {{"kind", item.kind}});
    }
    co_return toResponse(result);
}

asio::awaitable<HttpResponse> AdminApi::listChanges(const Target &target)
{
    constexpr std::uint32_t MaxHours = 168;
    constexpr std::uint32_t DefaultHours = 24;
    constexpr std::uint32_t MaxRecords = 1000;
    constexpr std::uint32_t DefaultRecords = 100;
    const std::uint32_t hours = parseCount(target.parameter("hours"), DefaultHours, MaxHours);
    const std::uint32_t limit = parseCount(target.parameter("limit"), DefaultRecords, MaxRecords);
    if (hours == 0)
        co_return badParameter("hours", "use a whole number from 1 to 168");
    if (limit == 0)
        co_return badParameter("limit", "use a whole number from 1 to 1000");
    const auto now = std::chrono::system_clock::now();
    auto records = co_await m_audit.list(now, hours, limit, storeDeadline());
    if (!records)
        co_return errorResponse(records.error());
    std::string body = "{\"changes\":[";
    for (std::size_t i = 0; i < records->size(); ++i)
        body += (i == 0 ? "" : ",") + (*records)[i];
    co_return jsonResponse(body + "]}");
}

HttpResponse AdminApi::status(const Target &target) const
{
    std::optional<domain::ConfigVersion> wanted;
    const std::string version = target.parameter("version");
    if (!version.empty()) {
        wanted = config::parseVersion(version);
        if (!wanted)
            return badParameter("version", "use a version as 1.7");
    }
    return jsonResponse(statusReport(wanted).toJson());
}

HttpResponse AdminApi::report(const Target &target) const
{
    const std::string format = target.parameter("format");
    const observability::BurnSums sums = m_context.burn.sums(std::chrono::system_clock::now());
    if (format == "counters")
        return jsonResponse(sums.toJson());
    if (!format.empty() && format != "json" && format != "text")
        return badParameter("format", "use json, text or counters");
    const std::vector<observability::ProgressNote> progress = statusReport(std::nullopt).progress();
    const observability::BurnReport report(sums, m_options.objectives, progress);
    return format == "text" ? textResponse(report.toText(), "text/plain")
                            : jsonResponse(report.toJson());
}

HttpResponse AdminApi::health() const
{
    if (m_isLeaving) {
        return errorResponse(Error{ErrorKind::Unavailable,
                "entry " + m_options.entry.value() + " is leaving", "use another entry"});
    }
    return textResponse("ok\n", "text/plain");
}

HttpResponse AdminApi::metrics() const
{
    const auto sums = m_context.burn.sums(std::chrono::system_clock::now());
    const observability::BurnReport report(sums, m_options.objectives);
    return textResponse(
            m_context.metrics.exposition() + report.toMetrics(), "text/plain; version=0.0.4");
}

StatusReport AdminApi::statusReport(std::optional<domain::ConfigVersion> wanted) const
{
    const auto config = m_context.config.snapshot();
    const auto members = m_context.members.snapshot();
    return StatusReport(*config, *members, m_context.fleet.watermarks(), wanted);
}

domain::TimePoint AdminApi::storeDeadline() const
{
    return domain::TimePoint::clock::now() + m_options.storeTimeout;
}

} // namespace oriolerill::admin
