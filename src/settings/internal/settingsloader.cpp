#include "settings/settingsloader.h"

#include "settings/internal/settingskeys.h"

#include <cerrno>
#include <cstring>
#include <fstream>
#include <iterator>
#include <sstream>

namespace oriolerill::settings {

using internal::KeyTable;
using internal::SettingsFile;

namespace {

void setIfEmpty(domain::SocketAddress &advertiseAddress, const domain::SocketAddress &listenAddress)
{
    if (advertiseAddress.isEmpty())
        advertiseAddress = listenAddress;
}

void setDefaultAddresses(EntrySettings &settings)
{
    setIfEmpty(settings.advertisePeer, settings.listenPeer);
    setIfEmpty(settings.advertiseControl, settings.listenControl);
}

void setDefaultAddresses(AgentSettings &settings)
{
    setIfEmpty(settings.advertiseRequest, settings.listenRequest);
    setIfEmpty(settings.advertiseControl, settings.listenControl);
}

void setDefaultAddresses(RelaySettings & /*settings*/) {}
void setDefaultAddresses(RelayAgentSettings & /*settings*/) {}

/// Problems that concern more than one key.
std::vector<SettingsProblem> crossCheck(const std::string &file, const EntrySettings &settings)
{
    std::vector<SettingsProblem> problems;
    if (settings.defaultDeadline > settings.maxDeadline) {
        problems.push_back({file, 0, "[requests] default_deadline_ms is above max_deadline_ms",
                "lower default_deadline_ms or raise max_deadline_ms"});
    }
    return problems;
}

std::vector<SettingsProblem> crossCheck(const std::string &file, const AgentSettings &settings)
{
    std::vector<SettingsProblem> problems;
    if (settings.endpointKind == EndpointKind::Engine && settings.originAddress.isEmpty()) {
        problems.push_back({file, 0, "[origin] address is missing for an engine",
                "add the address of the weight store's origin, or set [endpoint] kind = plain"});
    }
    return problems;
}

std::vector<SettingsProblem> checkRegion(const std::string &file,
        const std::map<std::string, std::string> &regions, const domain::DataCentreId &dataCentre)
{
    if (regions.empty() || regions.count(dataCentre.value()) > 0)
        return {};
    return {{file, 0, "[fleet] regions lacks the data centre of this VM",
            "add " + dataCentre.value() + "=<its region>"}};
}

std::vector<SettingsProblem> crossCheck(const std::string &file, const RelaySettings &settings)
{
    return checkRegion(file, settings.regions, settings.dataCentre);
}

std::vector<SettingsProblem> crossCheck(const std::string &file, const RelayAgentSettings &settings)
{
    return checkRegion(file, settings.regions, settings.dataCentre);
}

template<class Settings>
LoadedSettings<Settings> parse(
        const std::string &file, std::string_view text, KeyTable (*keysOf)(Settings &))
{
    LoadedSettings<Settings> loaded;
    const SettingsFile lines(file, text);
    loaded.problems = keysOf(loaded.settings).assign(lines);
    setDefaultAddresses(loaded.settings);
    const auto found = crossCheck(file, loaded.settings);
    loaded.problems.insert(loaded.problems.end(), found.begin(), found.end());
    return loaded;
}

template<class Settings>
LoadedSettings<Settings> load(const std::string &file,
        LoadedSettings<Settings> (*parseText)(const std::string &, std::string_view))
{
    std::ifstream stream(file, std::ios::binary);
    std::ostringstream text;
    if (stream)
        text << stream.rdbuf();
    if (!stream) {
        LoadedSettings<Settings> failed;
        failed.problems.push_back(
                {file, 0, "cannot read the file: " + std::string(std::strerror(errno)),
                        "give the path of a readable settings file"});
        return failed;
    }
    return parseText(file, text.str());
}

std::string orDash(const std::string &text)
{
    return text.empty() ? "-" : text;
}

std::string defaultOf(const KeyDescription &key)
{
    return key.isRequired ? "required" : orDash(key.defaultValue);
}

} // namespace

LoadedSettings<EntrySettings> loadEntrySettings(const std::string &file)
{
    return load<EntrySettings>(file, parseEntrySettings);
}

LoadedSettings<AgentSettings> loadAgentSettings(const std::string &file)
{
    return load<AgentSettings>(file, parseAgentSettings);
}

LoadedSettings<EntrySettings> parseEntrySettings(const std::string &file, std::string_view text)
{
    return parse<EntrySettings>(file, text, internal::entryKeys);
}

LoadedSettings<AgentSettings> parseAgentSettings(const std::string &file, std::string_view text)
{
    return parse<AgentSettings>(file, text, internal::agentKeys);
}

LoadedSettings<RelaySettings> loadRelaySettings(const std::string &file)
{
    return load<RelaySettings>(file, parseRelaySettings);
}

LoadedSettings<RelayAgentSettings> loadRelayAgentSettings(const std::string &file)
{
    return load<RelayAgentSettings>(file, parseRelayAgentSettings);
}

LoadedSettings<RelaySettings> parseRelaySettings(const std::string &file, std::string_view text)
{
    return parse<RelaySettings>(file, text, internal::relayKeys);
}

LoadedSettings<RelayAgentSettings> parseRelayAgentSettings(
        const std::string &file, std::string_view text)
{
    return parse<RelayAgentSettings>(file, text, internal::relayAgentKeys);
}

std::vector<KeyDescription> relaySettingsKeys()
{
    RelaySettings settings;
    return internal::relayKeys(settings).descriptions();
}

std::vector<KeyDescription> relayAgentSettingsKeys()
{
    RelayAgentSettings settings;
    return internal::relayAgentKeys(settings).descriptions();
}

std::vector<KeyDescription> entrySettingsKeys()
{
    EntrySettings settings;
    return internal::entryKeys(settings).descriptions();
}

std::vector<KeyDescription> agentSettingsKeys()
{
    AgentSettings settings;
    return internal::agentKeys(settings).descriptions();
}

std::string settingsHelp(const std::vector<KeyDescription> &keys)
{
    std::ostringstream help;
    std::string section;
    for (const KeyDescription &key : keys) {
        if (key.section != section)
            help << (section.empty() ? "[" : "\n[") << key.section << "]\n";
        section = key.section;
        help << key.name << "\n    " << key.description << "\n    " << key.type;
        if (!key.unit.empty())
            help << ", " << key.unit;
        help << "; range: " << key.range << "; default: " << defaultOf(key) << '\n';
    }
    return help.str();
}

std::string settingsTable(const std::vector<KeyDescription> &keys)
{
    std::ostringstream table;
    table << "| key | type | unit | range | default | description |\n|---|---|---|---|---|---|\n";
    for (const KeyDescription &key : keys) {
        table << "| `[" << key.section << "] " << key.name << "` | " << key.type << " | "
              << orDash(key.unit) << " | " << key.range << " | " << defaultOf(key) << " | "
              << key.description << " |\n";
    }
    return table.str();
}

} // namespace oriolerill::settings
