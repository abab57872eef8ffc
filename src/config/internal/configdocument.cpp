#include "config/configdocument.h"

#include "config/internal/specreader.h"
#include "config/itemparser.h"
#include "config/versiontext.h"

#include <boost/json.hpp>

#include <set>

namespace oriolerill::config {

namespace json = boost::json;
using internal::SpecReader;

namespace {

using ServiceIds = std::set<domain::ServiceId>;

/// Returns the services that an item refers to.
class ServiceReferences
{
public:
    ServiceIds operator()(const Rollout &rollout) const { return {rollout.service}; }
    ServiceIds operator()(const EndpointLimit &limit) const { return {limit.service}; }
    ServiceIds operator()(const Account &account) const { return account.services; }
    ServiceIds operator()(const Service &) const { return {}; }
    ServiceIds operator()(const Withdrawal &) const { return {}; }
};

struct ParsedItem
{
    std::string path;
    ItemSpec spec;
};

class DocumentParser
{
public:
    DocumentResult parse(std::string_view text);
    void checkReferences(const ConfigSnapshot &current);

    DocumentResult &result() { return m_result; }

private:
    void parseItem(const json::value &value, const std::string &path);
    void parseContent(const json::object &object, const std::string &path, DocumentItem item);
    void report(std::string path, std::string message, std::string remedy)
    {
        m_result.problems.push_back({std::move(path), std::move(message), std::move(remedy)});
    }

    DocumentResult m_result;
    std::vector<ParsedItem> m_parsed;
    std::set<ItemKey> m_seenKeys;
};

DocumentResult DocumentParser::parse(std::string_view text)
{
    json::error_code code;
    const json::value root = json::parse(json::string_view(text.data(), text.size()), code);
    if (code) {
        report("", "the document is not JSON: " + code.message(), "check it with a JSON editor");
        return m_result;
    }
    if (!root.is_object()) {
        report("", "the document is not an object", "give {\"items\":[...]}");
        return m_result;
    }
    SpecReader reader(root.get_object(), "", m_result.problems);
    const json::array *const items = reader.array("items");
    reader.finish();
    if (items == nullptr && !root.get_object().contains("items"))
        report("items", "is missing", "give {\"items\":[...]}");
    for (std::size_t i = 0; items != nullptr && i < items->size(); ++i)
        parseItem((*items)[i], "items[" + std::to_string(i) + ']');
    return m_result;
}

void DocumentParser::parseItem(const json::value &value, const std::string &path)
{
    if (!value.is_object()) {
        report(path, "is not an object", "give {\"kind\",\"name\",\"spec\"}");
        return;
    }
    SpecReader reader(value.get_object(), path, m_result.problems);
    DocumentItem item;
    item.key.kind = reader.requiredText("kind");
    item.key.name = reader.requiredText("name");
    item.isDelete = reader.flag("delete", false);
    const std::string version = reader.optionalText("version");
    item.expected = parseVersion(version);
    if (!version.empty() && !item.expected) {
        reader.report("version", "is not a version",
                "give the version that status shows, for example \"1.7\", or leave it out");
    }
    if (!item.key.name.empty() && !m_seenKeys.insert(item.key).second) {
        reader.report("name", "the item occurs more than once",
                "keep one change for " + item.key.kind + ' ' + item.key.name);
    }
    parseContent(value.get_object(), path, std::move(item));
}

void DocumentParser::parseContent(
        const json::object &object, const std::string &path, DocumentItem item)
{
    SpecReader reader(object, path, m_result.problems);
    for (const char *const name : {"kind", "name", "delete", "version"})
        reader.allow(name);
    const json::value *const spec = object.if_contains("spec");
    reader.allow("spec");
    reader.finish();
    if (item.isDelete) {
        if (spec != nullptr)
            reader.report("spec", "a deletion has no specification", "remove spec, or delete");
        m_result.document.items.push_back(std::move(item));
        return;
    }
    if (spec == nullptr) {
        reader.report("spec", "is missing", "give the specification of the item");
        return;
    }
    std::optional<ItemSpec> parsed = parseSpec(item.key, *spec, path + ".spec", m_result.problems);
    if (!parsed)
        return;
    m_parsed.push_back({path + ".spec", std::move(*parsed)});
    item.json = json::serialize(*spec);
    m_result.document.items.push_back(std::move(item));
}

void DocumentParser::checkReferences(const ConfigSnapshot &current)
{
    ServiceIds services;
    for (const auto &[id, service] : current.services)
        services.insert(id);
    for (const DocumentItem &item : m_result.document.items) {
        if (item.key.kind == "service" && item.isDelete)
            services.erase(domain::ServiceId(item.key.name));
        else if (item.key.kind == "service")
            services.insert(domain::ServiceId(item.key.name));
    }
    for (const ParsedItem &item : m_parsed) {
        for (const domain::ServiceId &service : std::visit(ServiceReferences(), item.spec)) {
            if (!services.contains(service)) {
                report(item.path, "the service " + service.value() + " does not exist",
                        "add an item of kind service, or correct the name");
            }
        }
    }
}

} // namespace

DocumentResult parseDocument(std::string_view text, const ConfigSnapshot &current)
{
    DocumentParser parser;
    parser.parse(text);
    parser.checkReferences(current);
    return std::move(parser.result());
}

DocumentResult parseDocument(std::string_view text)
{
    return DocumentParser().parse(text);
}

} // namespace oriolerill::config
