#include "admin/internal/remotecommands.h"

#include "admin/internal/statustext.h"
#include "observability/burnreport.h"

#include <boost/json/array.hpp>
#include <boost/json/object.hpp>
#include <boost/json/parse.hpp>
#include <boost/json/serialize.hpp>
#include <boost/json/value_to.hpp>

#include <exception>
#include <optional>
#include <utility>

namespace oriolerill::admin::internal {

namespace json = boost::json;
using domain::Error;
using domain::ErrorKind;
using domain::Expected;
using observability::BurnReport;
using observability::BurnSums;
using transport::HttpRequest;
using transport::HttpResponse;

namespace {

constexpr unsigned Ok = 200;

ExitCode exitCodeOf(unsigned status)
{
    switch (status) {
    case 200:
        return ExitCode::Ok;
    case 400:
    case 413:
        return ExitCode::BadInput;
    case 409:
        return ExitCode::Conflict;
    case 429:
    case 503:
    case 504:
        return ExitCode::Unavailable;
    default:
        return ExitCode::Failed;
    }
}

std::string memberText(const json::object &object, const char *name)
{
    const json::value *value = object.if_contains(name);
    if (value == nullptr || value->is_null())
        return "-";
    return value->is_string() ? json::value_to<std::string>(*value) : json::serialize(*value);
}

const json::array &memberArray(const json::object &object, const char *name)
{
    static const json::array none;
    const json::value *value = object.if_contains(name);
    return value != nullptr && value->is_array() ? value->get_array() : none;
}

/// The JSON object in a body; empty when the body is not a JSON object.
json::object parseObject(const std::string &body)
{
    json::error_code code;
    json::value value = json::parse(body, code);
    return !code && value.is_object() ? std::move(value.get_object()) : json::object();
}

/// "message; remedy" of an error response, with the details below it.
std::string errorText(const HttpResponse &response)
{
    const json::object document = parseObject(response.body);
    const json::value *value = document.if_contains("error");
    if (value == nullptr || !value->is_object())
        return "status " + std::to_string(response.status) + "; see the log of the entry";
    const json::object &error = value->get_object();
    std::string text = memberText(error, "message") + "; " + memberText(error, "remedy");
    for (const json::value &problem : memberArray(error, "problems")) {
        const json::object &fault = problem.as_object();
        text += "\n  " + memberText(fault, "path") + ": " + memberText(fault, "message") + "; "
                + memberText(fault, "remedy");
    }
    for (const json::value &value : memberArray(error, "conflicts")) {
        const json::object &conflict = value.as_object();
        text += "\n  " + memberText(conflict, "kind") + '/' + memberText(conflict, "name")
                + ": expected version " + memberText(conflict, "expected") + ", now "
                + memberText(conflict, "current");
    }
    return text;
}

std::vector<observability::ProgressNote> progressOf(const json::object &report)
{
    std::vector<observability::ProgressNote> notes;
    for (const json::value &value : memberArray(report, "inProgress")) {
        const json::object &note = value.as_object();
        notes.push_back(
                {memberText(note, "kind"), memberText(note, "name"), memberText(note, "state")});
    }
    return notes;
}

observability::Objectives objectivesOf(const json::object &report)
{
    const json::object &values = report.at("objectives").as_object();
    observability::Objectives objectives;
    objectives.availability = json::value_to<double>(values.at("availability"));
    objectives.firstByteTarget
            = std::chrono::milliseconds(json::value_to<std::int64_t>(values.at("firstByteMs")));
    objectives.firstByteShare = json::value_to<double>(values.at("firstByteShare"));
    return objectives;
}

} // namespace

RemoteCommands::RemoteCommands(const CommandContext &context, RemoteOptions options)
    : m_context(context)
    , m_options(std::move(options))
{}

RemoteCommands::Answer RemoteCommands::send(const domain::SocketAddress &entry,
        const std::string &method, const std::string &target, const std::string &body) const
{
    HttpRequest request;
    request.method = method;
    request.target = target;
    request.fields.add("Authorization", "Bearer " + m_options.token);
    request.body = body;
    return Answer{entry, m_context.client.send(entry, std::move(request))};
}

std::vector<RemoteCommands::Answer> RemoteCommands::queryAll(const std::string &target) const
{
    std::vector<Answer> answers;
    answers.reserve(m_options.entries.size());
    for (const domain::SocketAddress &entry : m_options.entries)
        answers.push_back(send(entry, "GET", target));
    return answers;
}

ExitCode RemoteCommands::reportFailure(const Answer &answer) const
{
    m_context.errors << answer.entry << ": ";
    if (!answer.response) {
        m_context.errors << answer.response.error() << '\n';
        return ExitCode::Unavailable;
    }
    if (m_options.isJson)
        m_context.output << answer.response->body << '\n';
    m_context.errors << errorText(*answer.response) << '\n';
    return exitCodeOf(answer.response->status);
}

ExitCode RemoteCommands::apply(const std::string &document, bool isDryRun) const
{
    const std::string target = isDryRun ? "/v1/apply?dry_run=true" : "/v1/apply";
    std::optional<Answer> answer;
    for (const domain::SocketAddress &entry : m_options.entries) {
        // Applying is idempotent, so another entry may be tried after a lost answer.
        answer = send(entry, "POST", target, document);
        if (answer->response)
            break;
        reportFailure(*answer);
    }
    if (!answer || !answer->response)
        return ExitCode::Unavailable;
    if (answer->response->status != Ok) {
        if (!m_options.isJson)
            showApplied(answer->response->body);
        return reportFailure(*answer);
    }
    if (m_options.isJson)
        m_context.output << answer->response->body << '\n';
    else
        showApplied(answer->response->body);
    return ExitCode::Ok;
}

void RemoteCommands::showApplied(const std::string &body) const
{
    const json::object document = parseObject(body);
    for (const json::value &value : memberArray(document, "items")) {
        const json::object &item = value.as_object();
        m_context.output << memberText(item, "kind") << '/' << memberText(item, "name") << ": "
                         << memberText(item, "action") << ", " << memberText(item, "state")
                         << ", version " << memberText(item, "version") << '\n';
    }
    if (memberText(document, "version") != "-")
        m_context.output << "see how far it is in force: oriolerill status --version "
                         << memberText(document, "version") << '\n';
}

ExitCode RemoteCommands::status(const std::string &version) const
{
    const std::string target = version.empty() ? "/v1/status" : "/v1/status?version=" + version;
    std::vector<std::string> documents;
    ExitCode code = ExitCode::Ok;
    for (const Answer &answer : queryAll(target)) {
        if (answer.response && answer.response->status == Ok)
            documents.push_back(answer.response->body);
        else
            code = reportFailure(answer);
    }
    if (documents.empty())
        return code;
    if (m_options.isJson) {
        std::string list;
        for (const std::string &document : documents)
            list += (list.empty() ? "" : ",") + document;
        m_context.output << "{\"entries\":[" << list << "]}\n";
        return ExitCode::Ok;
    }
    const Expected<std::string> text = statusText(documents);
    if (!text) {
        m_context.errors << text.error() << '\n';
        return ExitCode::Failed;
    }
    m_context.output << *text;
    return ExitCode::Ok;
}

ExitCode RemoteCommands::report() const
{
    BurnSums sums;
    std::vector<observability::MissingEntry> missing;
    std::optional<domain::SocketAddress> first;
    ExitCode code = ExitCode::Ok;
    for (const Answer &answer : queryAll("/v1/report?format=counters")) {
        if (!answer.response || answer.response->status != Ok) {
            code = reportFailure(answer);
            missing.push_back({answer.entry.toString(),
                    answer.response ? errorText(*answer.response)
                                    : answer.response.error().message});
            continue;
        }
        const Expected<BurnSums> counters = BurnSums::fromJson(answer.response->body);
        if (!counters) {
            missing.push_back({answer.entry.toString(), counters.error().message});
            continue;
        }
        sums.merge(*counters);
        if (!first)
            first = answer.entry;
    }
    if (!first)
        return code == ExitCode::Ok ? ExitCode::Failed : code;
    const Answer answer = send(*first, "GET", "/v1/report");
    if (!answer.response || answer.response->status != Ok)
        return reportFailure(answer);
    try {
        const json::object local = parseObject(answer.response->body);
        const std::size_t counted = m_options.entries.size() - missing.size();
        const BurnReport report(
                sums, objectivesOf(local), progressOf(local), counted, std::move(missing));
        m_context.output << (m_options.isJson ? report.toJson() + '\n' : report.toText());
    } catch (const std::exception &error) {
        m_context.errors << "the report cannot be read: " << error.what()
                         << "; use the version of oriolerill that the entries run\n";
        return ExitCode::Failed;
    }
    return ExitCode::Ok;
}

} // namespace oriolerill::admin::internal
