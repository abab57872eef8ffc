#include "admin/internal/statustext.h"

#include <boost/json/parse.hpp>
#include <boost/json/value.hpp>
#include <boost/json/value_to.hpp>

#include <algorithm>
#include <exception>
#include <map>
#include <set>
#include <sstream>

namespace oriolerill::admin::internal {

namespace json = boost::json;

namespace {

std::string textOf(const json::object &object, const char *name)
{
    return json::value_to<std::string>(object.at(name));
}

bool isTrue(const json::object &object, const char *name)
{
    return object.at(name).as_bool();
}

/// A number, or the given text for null.
std::string countOf(const json::object &object, const char *name, const std::string &unknown)
{
    const json::value &value = object.at(name);
    return value.is_null() ? unknown : std::to_string(json::value_to<std::uint64_t>(value));
}

/// Merges the lists of all documents by name. An object from an entry of the data centre that the
/// object concerns takes precedence.
class MergedStatus
{
public:
    void add(const json::object &document)
    {
        const std::string ownDataCentre = textOf(document, "dataCentre");
        for (const json::value &value : document.at("rollouts").as_array())
            addRollout(ownDataCentre, value.as_object());
        for (const json::value &value : document.at("dataCentres").as_array()) {
            const json::object &dataCentre = value.as_object();
            mergeObject(m_dataCentres, textOf(dataCentre, "name"), dataCentre,
                    textOf(dataCentre, "name") == ownDataCentre);
        }
        for (const json::value &value : document.at("entries").as_array()) {
            const json::object &entry = value.as_object();
            mergeObject(m_entries, textOf(entry, "name"), entry,
                    textOf(entry, "dataCentre") == ownDataCentre);
        }
        for (const json::value &value : document.at("endpoints").as_array())
            m_endpoints[ownDataCentre][textOf(value.as_object(), "name")] = value.as_object();
    }

    std::string text() const
    {
        std::ostringstream text;
        writeRollouts(text);
        writeDataCentres(text);
        writeEntries(text);
        writeEndpoints(text);
        return text.str();
    }

    std::size_t entries() const { return m_entries.size(); }
    std::size_t entriesWithVersion() const
    {
        return static_cast<std::size_t>(std::count_if(m_entries.begin(), m_entries.end(),
                [](const auto &entry) { return isTrue(entry.second, "inForce"); }));
    }

private:
    using Objects = std::map<std::string, json::object>;

    static void mergeObject(Objects &objects, const std::string &name, const json::object &object,
            bool isAuthoritative)
    {
        if (isAuthoritative || !objects.contains(name))
            objects[name] = object;
    }

    void addRollout(const std::string &ownDataCentre, const json::object &rollout)
    {
        const std::string name = textOf(rollout, "name");
        m_rollouts.try_emplace(name, rollout);
        for (const json::value &value : rollout.at("dataCentres").as_array()) {
            const json::object &progress = value.as_object();
            const std::string dataCentre = textOf(progress, "dataCentre");
            mergeObject(m_progress[name], dataCentre, progress, dataCentre == ownDataCentre);
        }
    }

    void writeRollouts(std::ostream &text) const
    {
        text << "rollouts:" << (m_rollouts.empty() ? " none" : "") << '\n';
        for (const auto &[name, rollout] : m_rollouts) {
            text << "  " << name << " (service " << textOf(rollout, "service") << ", version "
                 << textOf(rollout, "version") << ')'
                 << (isTrue(rollout, "superseded") ? ": superseded" : "") << '\n';
            const auto found = m_progress.find(name);
            if (found == m_progress.end())
                continue;
            for (const auto &[dataCentre, progress] : found->second)
                text << "    " << dataCentre << ": " << progressOf(progress) << '\n';
        }
    }

    static std::string progressOf(const json::object &progress)
    {
        const std::string serving = countOf(progress, "serving", "0");
        if (progress.at("ready").is_null() && serving == "0")
            return "no endpoint known";
        return countOf(progress, "ready", "some") + " of " + countOf(progress, "total", serving)
                + " ready, " + countOf(progress, "switching", "?") + " switching";
    }

    void writeDataCentres(std::ostream &text) const
    {
        text << "data centres:\n";
        for (const auto &[name, dataCentre] : m_dataCentres) {
            text << "  " << name << ": serving " << countOf(dataCentre, "serving", "?")
                 << ", in flight " << countOf(dataCentre, "inFlight", "?");
            if (isTrue(dataCentre, "withdrawn"))
                text << ", WITHDRAWN: " << textOf(dataCentre, "reason");
            text << (isTrue(dataCentre, "fresh") ? "" : ", not heard of") << '\n';
        }
    }

    void writeEntries(std::ostream &text) const
    {
        text << "entries:\n";
        for (const auto &[name, entry] : m_entries) {
            const json::value &watermark = entry.at("watermark");
            text << "  " << name << " (" << textOf(entry, "dataCentre") << "): configuration "
                 << (watermark.is_null() ? "unknown" : json::value_to<std::string>(watermark))
                 << (isTrue(entry, "inForce") ? "" : ", behind")
                 << (isTrue(entry, "leaving") ? ", leaving" : "")
                 << (isTrue(entry, "alive") ? "" : ", silent") << '\n';
        }
    }

    void writeEndpoints(std::ostream &text) const
    {
        constexpr std::size_t ShortDigest = 12;
        for (const auto &[dataCentre, endpoints] : m_endpoints) {
            text << "endpoints of " << dataCentre << ":\n";
            for (const auto &[name, endpoint] : endpoints) {
                const json::value &digest = endpoint.at("digest");
                text << "  " << name << " (" << textOf(endpoint, "service")
                     << "): " << textOf(endpoint, "state") << ", in flight "
                     << countOf(endpoint, "inFlight", "?") << " of "
                     << countOf(endpoint, "limit", "?");
                if (!digest.is_null())
                    text << ", digest " << textOf(endpoint, "digest").substr(0, ShortDigest);
                text << '\n';
            }
        }
    }

    Objects m_rollouts;
    std::map<std::string, Objects> m_progress;
    Objects m_dataCentres;
    Objects m_entries;
    std::map<std::string, Objects> m_endpoints;
};

} // namespace

domain::Expected<std::string> statusText(const std::vector<std::string> &documents)
{
    try {
        MergedStatus merged;
        std::string version;
        for (const std::string &document : documents) {
            const json::value value = json::parse(document);
            merged.add(value.as_object());
            version = textOf(value.as_object(), "version");
        }
        std::ostringstream text;
        text << "configuration " << version << " in force on " << merged.entriesWithVersion()
             << " of " << merged.entries() << " entries\n";
        return text.str() + merged.text();
    } catch (const std::exception &error) {
        return domain::Error{domain::ErrorKind::InvalidInput,
                std::string("the status cannot be read: ") + error.what(),
                "use the version of oriolerill that the entries run"};
    }
}

} // namespace oriolerill::admin::internal
